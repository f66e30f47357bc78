package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeontray/internal/errkind"
)

// Report is what a replay found.
type Report struct {
	Trace      string   `json:"trace"`
	Placement  string   `json:"placement"`
	Weighting  string   `json:"weighting"`
	Seed       uint64   `json:"seed"`
	Violations []string `json:"violations,omitempty"` // broken promises
	Unmet      []string `json:"unmet,omitempty"`      // outcomes and limits that the trace states
	Stated     int      `json:"stated"`               // outcomes and limits that were checked

	Jobs     int `json:"jobs"` // submissions inside the measured window
	Served   int `json:"served"`
	Tasks    int `json:"tasks"` // runs on upstreams
	Messages int `json:"messages"`

	// Response over ideal, at the caller, over jobs that were served whole.
	OverIdeal Quantiles `json:"over_ideal"`
	// OverFair is the same against the ideal with the product's own order.
	OverFair Quantiles `json:"over_fair_ideal"`
	// ResponseMs is the response time itself.
	ResponseMs Quantiles `json:"response_ms"`

	MessagesPerTask float64        `json:"messages_per_task"`
	Wasted          float64        `json:"wasted"` // share of messages beyond one request and one answer a task
	ByMessage       map[string]int `json:"by_message"`
	Refusals        map[string]int `json:"refusals,omitempty"` // answers that are errors, by kind
	Retries         map[string]int `json:"retries,omitempty"`  // by kind
	Utilisation     float64        `json:"utilisation"`        // share of slot time that was used
	Goodput         float64        `json:"goodput"`            // share of slot time that served jobs used
	Fairness        float64        `json:"fairness"`           // Jain's index over teams' served share
	FailingShare    float64        `json:"failing_share"`      // of all tasks, those on a failing worker after 5 s
	LateMs          float64        `json:"late_ms"`            // latest answer after its deadline
	EvenAfter       float64        `json:"even_after_s"`       // last recovery until load was even
	HerdPeak        float64        `json:"herd_peak"`          // most starts a second on a returned worker over the mean
	// Teams gives each team's median response.
	Teams map[string]Quantiles `json:"teams,omitempty"`
}

// Quantiles of a distribution.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Range and resolution of the histograms: ratios are recorded in thousandths,
// times in microseconds.
const (
	ratioUnit  = 1000
	maxRatio   = 1_000_000
	maxMicros  = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / unit }
	return Quantiles{at(50), at(95), at(99)}
}

func (w *world) report(events []Event) *Report {
	r := &Report{
		Trace: w.trace.Name, Placement: w.policy.Placement.String(), Weighting: w.policy.Weighting.String(),
		Seed: w.opt.Seed, Violations: w.check.violations,
		Tasks: w.tally.runs, Messages: w.tally.total(), ByMessage: w.tally.messages,
		Retries: w.tally.retries, Refusals: map[string]int{},
	}
	w.responses(r, events)
	w.messages(r)
	w.shares(r)
	w.recovery(r, events)
	w.stated(r)
	return r
}

func (w *world) responses(r *Report, events []Event) {
	over := hdrhistogram.New(1, maxRatio, histDigits)
	fair := hdrhistogram.New(1, maxRatio, histDigits)
	took := hdrhistogram.New(1, maxMicros, histDigits)
	teams := make(map[string]*hdrhistogram.Histogram)
	first, firstFair := ideal(events, w.slots()), idealFair(events, w.slots())
	for _, c := range w.calls {
		if !c.counted {
			continue
		}
		r.Jobs++
		if late := c.answered.Sub(c.sent.Add(c.job.req.Deadline)); c.answers > 0 {
			r.LateMs = max(r.LateMs, late.Seconds()*1000)
		}
		kind, _ := c.outcome()
		switch {
		case c.lost:
			r.Refusals["lost"]++
			continue
		case kind != errkind.None:
			r.Refusals[kind.String()]++
			continue
		}
		r.Served++
		d := c.answered.Sub(c.sent)
		_ = took.RecordValue(d.Microseconds())
		record(over, d, first[c.job.name])
		record(fair, d, firstFair[c.job.name])
		team := c.job.req.Team
		if teams[team] == nil {
			teams[team] = hdrhistogram.New(1, maxMicros, histDigits)
		}
		_ = teams[team].RecordValue(d.Microseconds())
	}
	r.OverIdeal, r.OverFair = quantiles(over, ratioUnit), quantiles(fair, ratioUnit)
	r.ResponseMs = quantiles(took, 1000)
	r.Teams = make(map[string]Quantiles)
	for name, h := range teams {
		r.Teams[name] = quantiles(h, 1000)
	}
}

func record(h *hdrhistogram.Histogram, took, ideal time.Duration) {
	if ideal > 0 {
		_ = h.RecordValue(min(maxRatio, int64(ratioUnit*took.Seconds()/ideal.Seconds())))
	}
}

func (w *world) messages(r *Report) {
	if r.Tasks > 0 {
		r.MessagesPerTask = float64(r.Messages) / float64(r.Tasks)
		r.Wasted = float64(r.Messages-2*r.Tasks) / float64(2*r.Tasks)
	}
}

func (w *world) slots() int {
	n := 0
	for _, d := range w.trace.Workers {
		n += d.Slots
	}
	return n
}

// shares computes utilisation, goodput and fairness over the measured window.
func (w *world) shares(r *Report) {
	from, until := w.window()
	if w.trace.Until == 0 {
		until = w.clock.now
	}
	capacity := until.Sub(from).Seconds() * float64(w.slots())
	var served float64
	offered, got := make(map[string]float64), make(map[string]float64)
	for _, c := range w.calls {
		var work float64
		for _, d := range c.job.req.Tasks {
			work += d.Seconds()
		}
		team := c.job.req.Team
		if c.counted {
			offered[team] += work
		}
		if kind, _ := c.outcome(); c.answers == 0 || kind != errkind.None {
			continue
		}
		if c.counted {
			got[team] += work
		}
		if !c.answered.Before(from) && c.answered.Before(until) {
			served += work
		}
	}
	r.Utilisation = w.tally.busy.Seconds() / capacity
	r.Goodput = served / capacity
	r.Fairness = jain(got, entitled(offered, w.policy.Teams, capacity))
	if w.tally.after > 0 {
		r.FailingShare = float64(w.tally.failed) / float64(w.tally.after)
	}
}

// stated checks what the trace states.
func (w *world) stated(r *Report) {
	for _, c := range w.calls {
		if c.want != nil {
			r.Stated++
		}
		if why := c.unmet(); why != "" {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s at %v: %s", c.job.name, c.sent.Sub(w.begin), why))
		}
	}
	for _, l := range w.trace.Limits {
		r.Stated++
		got, ok := r.measure(l.Measure)
		if !ok || l.AtLeast && got < l.Value || !l.AtLeast && got > l.Value {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, want %s", l.Measure, got, l))
		}
	}
}

// OK tells whether every promise held and every stated outcome was met.
func (r *Report) OK() bool { return len(r.Violations) == 0 && len(r.Unmet) == 0 }

// String gives the limit as the trace states it.
func (l Limit) String() string {
	if l.AtLeast {
		return fmt.Sprintf(">= %g", l.Value)
	}
	return fmt.Sprintf("<= %g", l.Value)
}

// measure gives a measure by its name in a trace.
func (r *Report) measure(name string) (float64, bool) {
	m := map[string]float64{
		"p50-over-ideal": r.OverIdeal.P50, "p95-over-ideal": r.OverIdeal.P95, "p99-over-ideal": r.OverIdeal.P99,
		"p50-ms": r.ResponseMs.P50, "p95-ms": r.ResponseMs.P95, "p99-ms": r.ResponseMs.P99,
		"wasted": r.Wasted, "utilisation": r.Utilisation, "goodput": r.Goodput, "fairness": r.Fairness,
		"failing-share": r.FailingShare, "late-ms": r.LateMs, "even-after-s": r.EvenAfter, "herd-peak": r.HerdPeak,
		"served": share(r.Served, r.Jobs),
	}
	v, ok := m[name]
	return v, ok
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// counts joins a map of counts in a fixed order.
func counts(m map[string]int) string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf(" %s=%d", k, m[k])
	}
	if out == "" {
		return "-"
	}
	return out[1:]
}
