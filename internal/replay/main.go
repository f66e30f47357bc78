package replay

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// ErrUnmet is returned if a replay violated an invariant or did not meet a stated
// outcome. Commands exit with a non-zero code on it.
var ErrUnmet = errors.New("stated outcomes were not met")

// LoadFile reads a trace from a file.
func LoadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return Parse(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
}

// LoadFiles reads several traces, in the order of paths. It stops at the first error.
func LoadFiles(paths []string) ([]*Trace, error) {
	var out []*Trace
	for _, p := range paths {
		t, err := LoadFile(p)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// RunFiles replays trace files, writes the reports as a table or as JSON, and returns
// ErrUnmet if any replay violated an invariant or did not meet a stated outcome.
func RunFiles(out io.Writer, paths []string, seed uint64, asJSON bool) error {
	traces, err := LoadFiles(paths)
	if err != nil {
		return err
	}
	var runs []runSpec
	for _, t := range traces {
		runs = append(runs, runSpec{t, Options{Seed: seed}})
	}
	reports, err := runAll(runs)
	if err != nil {
		return err
	}
	if asJSON {
		err = writeJSON(out, reports)
	} else {
		err = writeOutcomes(out, reports)
	}
	if err != nil {
		return err
	}
	return checkReports(reports)
}

// writeOutcomes writes the table, followed by one line for each violated
// invariant and each unmet outcome.
func writeOutcomes(out io.Writer, reports []*Report) error {
	if err := writeTable(out, reports); err != nil {
		return err
	}
	for _, r := range reports {
		for _, v := range r.Violations {
			fmt.Fprintf(out, "%s: broken promise: %s\n", r.Trace, v)
		}
		for _, u := range r.Unmet {
			fmt.Fprintf(out, "%s: unmet: %s\n", r.Trace, u)
		}
		fmt.Fprintf(out, "%s: %d stated outcomes, %d unmet, %d broken promises\n",
			r.Trace, r.StatedCount, len(r.Unmet), len(r.Violations))
	}
	return nil
}

// checkReports returns ErrUnmet for the first report that is not OK.
func checkReports(reports []*Report) error {
	for _, r := range reports {
		if !r.OK() {
			return fmt.Errorf("%s: %w", r.Trace, ErrUnmet)
		}
	}
	return nil
}
