package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wigeontray/internal/operator"
	"wigeontray/internal/replay"
)

type replayCmd struct {
	Trace []string `arg:"" type:"existingfile" help:"Trace files; docs/trace-format.md describes the format."`
	Seed  uint64   `default:"1" help:"Seed of the random numbers."`
	JSON  bool     `help:"Write JSON instead of a table."`
}

// Run replays the traces and fails if a guarantee was violated or an expected
// outcome was not met.
func (c *replayCmd) Run(e *commandEnv) error {
	defer e.startProgress("replaying")()
	err := replay.RunFiles(e.stdout, c.Trace, c.Seed, c.JSON)
	if errors.Is(err, replay.ErrUnmet) {
		return fmt.Errorf("%w: %w", errFailed, err)
	}
	return err
}

type compareCmd struct {
	Seed   uint64 `default:"1" help:"Seed of the random numbers."`
	Only   string `help:"Run only workloads and placements whose name contains this text."`
	Traces string `type:"existingdir" help:"Folder with traces to compare besides the generated workloads."`
	JSON   bool   `help:"Write JSON instead of a table."`
}

// Run prints the results of every placement policy on every workload.
func (c *compareCmd) Run(e *commandEnv) error {
	opts := replay.CompareOptions{Seed: c.Seed, Only: c.Only, JSON: c.JSON}
	if c.Traces != "" {
		paths, err := filepath.Glob(filepath.Join(c.Traces, "*.trace"))
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		if opts.Traces, err = replay.LoadFiles(paths); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	defer e.startProgress("comparing")()
	return replay.Compare(e.stdout, opts)
}

type checkCmd struct {
	File []string `arg:"" help:"Settings (.ini) and record (.json) files; folders are searched recursively."`
}

// isCheckable reports whether the file extension is that of a settings file or a record.
func isCheckable(path string) bool {
	ext := filepath.Ext(path)
	return ext == ".ini" || ext == ".json"
}

// Run validates every file and prints the result for each. A file that is named explicitly is
// validated whatever its extension.
func (c *checkCmd) Run(e *commandEnv) error {
	var files []string
	for _, root := range c.File {
		err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() && (path == root || isCheckable(path)) {
				files = append(files, path)
			}
			return err
		})
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	results, err := operator.Check(files)
	if writeErr := operator.WriteJSON(e.stdout, results); writeErr != nil {
		return writeErr
	}
	return err
}
