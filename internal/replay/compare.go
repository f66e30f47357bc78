package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"wigeontray/internal/dispatch"
)

// placements lists the placement policies in the order of the comparison.
var placements = []dispatch.Placement{
	dispatch.Random, dispatch.TwoChoices, dispatch.TwoChoicesLoad,
	dispatch.LeastKnownLoad, dispatch.LateBinding, dispatch.DefaultPlacement,
}

// runSpec is one replay to run: a trace and its options.
type runSpec struct {
	trace *Trace
	opt   Options
}

// CompareOptions selects what Compare runs. The zero value selects all
// generated workloads and placements.
type CompareOptions struct {
	Seed   uint64   // of the generated workloads and of the replays
	Only   string   // substring of the trace or placement names to run
	Traces []*Trace // run in addition to the generated workloads
	JSON   bool     // write the reports as JSON instead of as tables
}

// Compare replays every workload with every placement and writes the measured
// values. The same seed gives the same values.
func Compare(out io.Writer, opt CompareOptions) error {
	reports, err := runAll(comparisonRuns(opt))
	if err != nil {
		return err
	}
	if opt.JSON {
		return writeJSON(out, reports)
	}
	return writeTable(out, reports)
}

// comparisonRuns lists the replays of a comparison: the workloads of each site
// with each placement and the weighting of the site, and with the default
// placement and the other weighting.
func comparisonRuns(opt CompareOptions) []runSpec {
	var specs []runSpec
	for _, site := range []Site{Ayni, Leeuwin} {
		for _, t := range Scenarios(site, opt.Seed) {
			specs = append(specs, comparisonVariants(t, opt)...)
		}
	}
	for _, t := range opt.Traces {
		specs = append(specs, comparisonVariants(t, opt)...)
	}
	return specs
}

// comparisonVariants lists the replays of one trace.
func comparisonVariants(t *Trace, opt CompareOptions) []runSpec {
	var specs []runSpec
	otherWeighting := dispatch.PreferFewMessages
	if t.Policy.Weighting == otherWeighting {
		otherWeighting = dispatch.PreferResponseTime
	}
	for _, p := range placements {
		if strings.Contains(t.Name, opt.Only) || strings.Contains(p.String(), opt.Only) {
			specs = append(specs, runSpec{t, Options{Seed: opt.Seed, Placement: &p}})
		}
	}
	if strings.Contains(t.Name, opt.Only) {
		specs = append(specs, runSpec{t, Options{Seed: opt.Seed, Weighting: &otherWeighting}})
	}
	return specs
}

// runAll runs replays in parallel, at most GOMAXPROCS at a time. The reports are
// in the order of runs.
func runAll(runs []runSpec) ([]*Report, error) {
	reports, errs := make([]*Report, len(runs)), make([]error, len(runs))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, r := range runs {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			reports[i], errs[i] = Run(r.trace, r.opt)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func writeJSON(out io.Writer, reports []*Report) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(reports); err != nil {
		return fmt.Errorf("write reports: %w", err)
	}
	return nil
}

// Headers of the two tables. Both tables have the same replays in the same order.
const (
	responseHeader = "trace\tplacement\tweighting\tjobs\tserved\tover ideal p50\tp95\tp99\tover fair ideal p50\tp99\tms p50\tp99\tmessages/task\twasted"
	capacityHeader = "trace\tplacement\tweighting\tused\tgoodput\tfairness\ton failing\tlate ms\teven after s\tpeak\tchecks\trefusals\tretries"
)

// writeTable writes the reports as two tables: response times and messages, then
// capacity, recovery, refusals and retries.
func writeTable(out io.Writer, reports []*Report) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, responseHeader)
	for _, r := range reports {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.2f%%\n",
			r.Trace, r.Placement, r.Weighting, r.Jobs, r.Served,
			r.OverIdeal.P50, r.OverIdeal.P95, r.OverIdeal.P99, r.OverFairIdeal.P50, r.OverFairIdeal.P99,
			r.ResponseMs.P50, r.ResponseMs.P99, r.MessagesPerTask, 100*r.MessageOverhead)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, capacityHeader)
	for _, r := range reports {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.0f\t%.0f\t%.2f\t%s\t%s\t%s\n",
			r.Trace, r.Placement, r.Weighting, r.Utilisation, r.Goodput, r.Fairness, 100*r.FailingShare,
			r.MaxLateMs, r.EvenAfterSeconds, r.PeakStartRatio, r.checkSummary(), formatCounts(r.Refusals), formatCounts(r.Retries))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// checkSummary returns "ok", or the counts of violated invariants and unmet
// outcomes.
func (r *Report) checkSummary() string {
	if r.OK() {
		return "ok"
	}
	return fmt.Sprintf("%d broken, %d unmet", len(r.Violations), len(r.Unmet))
}
