package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeontray/internal/errkind"
)

// Report is the result of a replay.
type Report struct {
	Trace       string   `json:"trace"`
	Placement   string   `json:"placement"`
	Weighting   string   `json:"weighting"`
	Seed        uint64   `json:"seed"`
	Violations  []string `json:"violations,omitempty"` // violated invariants
	Unmet       []string `json:"unmet,omitempty"`      // stated outcomes and limits that were not met
	StatedCount int      `json:"stated"`               // stated outcomes and limits that were checked

	Jobs     int `json:"jobs"`     // submissions in the measured window
	Served   int `json:"served"`   // those of Jobs that were answered completely
	Tasks    int `json:"tasks"`    // task runs on upstreams
	Messages int `json:"messages"` // frames between entries and guards

	// OverIdeal is the response time at the caller divided by the ideal one, over
	// the jobs that were served completely.
	OverIdeal Quantiles `json:"over_ideal"`
	// OverFairIdeal is the same for the ideal with the order of the dispatch queue.
	OverFairIdeal Quantiles `json:"over_fair_ideal"`
	// ResponseMs is the response time in milliseconds.
	ResponseMs Quantiles `json:"response_ms"`

	MessagesPerTask  float64        `json:"messages_per_task"`
	MessageOverhead  float64        `json:"wasted"`             // messages beyond one start and one result per task, as a share of those two
	ByMessage        map[string]int `json:"by_message"`         // messages by frame type
	Refusals         map[string]int `json:"refusals,omitempty"` // error answers, by kind
	Retries          map[string]int `json:"retries,omitempty"`  // retried task attempts, by error kind
	Utilisation      float64        `json:"utilisation"`        // share of the slot time with a running task
	Goodput          float64        `json:"goodput"`            // share of the slot time spent on jobs that were served
	Fairness         float64        `json:"fairness"`           // Jain's index over the teams' ratio of served work to fair share
	FailingShare     float64        `json:"failing_share"`      // share of the task runs on a failing worker, from 5 s after the first failure
	MaxLateMs        float64        `json:"late_ms"`            // highest time from deadline to answer
	EvenAfterSeconds float64        `json:"even_after_s"`       // seconds from the last recovery until the load was even
	PeakStartRatio   float64        `json:"herd_peak"`          // highest starts per second of a returned worker, relative to the mean
	// Teams contains the response times in milliseconds by team.
	Teams map[string]Quantiles `json:"teams,omitempty"`
}

// Quantiles are the quantiles of a distribution that reports contain.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Range and resolution of the histograms. Ratios are recorded in thousandths and
// times in microseconds.
const (
	ratioScale      = 1000
	maxRatio        = 1_000_000
	maxMicros       = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / scale }
	return Quantiles{at(50), at(95), at(99)}
}

// buildReport computes the report after the last event.
func (sim *simulation) buildReport(events []Event) *Report {
	r := &Report{
		Trace: sim.trace.Name, Placement: sim.policy.Placement.String(), Weighting: sim.policy.Weighting.String(),
		Seed: sim.opt.Seed, Violations: sim.checker.violations,
		Tasks: sim.counters.runs, Messages: sim.counters.totalMessages(), ByMessage: sim.counters.messages,
		Retries: sim.counters.retries, Refusals: map[string]int{},
	}
	sim.measureResponses(r, events)
	sim.messages(r)
	sim.measureShares(r)
	sim.measureRecovery(r, events)
	sim.checkExpectations(r)
	return r
}

// measureResponses computes response times, refusals and lateness over the
// measured window.
func (sim *simulation) measureResponses(r *Report, events []Event) {
	overIdeal := hdrhistogram.New(1, maxRatio, histogramDigits)
	overFairIdeal := hdrhistogram.New(1, maxRatio, histogramDigits)
	responseMicros := hdrhistogram.New(1, maxMicros, histogramDigits)
	teams := make(map[string]*hdrhistogram.Histogram)
	idealTimes, fairIdealTimes := idealResponseTimes(events, sim.totalSlots()), idealFairResponseTimes(events, sim.totalSlots())
	for _, c := range sim.calls {
		if !c.isMeasured {
			continue
		}
		r.Jobs++
		if lateness := c.answered.Sub(c.sentAt.Add(c.job.req.Deadline)); c.answerCount > 0 {
			r.MaxLateMs = max(r.MaxLateMs, lateness.Seconds()*1000)
		}
		kind, _ := c.outcome()
		switch {
		case c.isConnectionLost:
			r.Refusals["lost"]++
			continue
		case kind != errkind.None:
			r.Refusals[kind.String()]++
			continue
		}
		r.Served++
		responseTime := c.answered.Sub(c.sentAt)
		_ = responseMicros.RecordValue(responseTime.Microseconds())
		recordRatio(overIdeal, responseTime, idealTimes[c.job.name])
		recordRatio(overFairIdeal, responseTime, fairIdealTimes[c.job.name])
		team := c.job.req.Team
		if teams[team] == nil {
			teams[team] = hdrhistogram.New(1, maxMicros, histogramDigits)
		}
		_ = teams[team].RecordValue(responseTime.Microseconds())
	}
	r.OverIdeal, r.OverFairIdeal = quantiles(overIdeal, ratioScale), quantiles(overFairIdeal, ratioScale)
	r.ResponseMs = quantiles(responseMicros, 1000)
	r.Teams = make(map[string]Quantiles)
	for name, h := range teams {
		r.Teams[name] = quantiles(h, 1000)
	}
}

// recordRatio records the ratio of a response time to the ideal one.
func recordRatio(h *hdrhistogram.Histogram, took, ideal time.Duration) {
	if ideal > 0 {
		_ = h.RecordValue(min(maxRatio, int64(ratioScale*took.Seconds()/ideal.Seconds())))
	}
}

// messages sets the number of messages per task and their overhead in r.
func (sim *simulation) messages(r *Report) {
	if r.Tasks > 0 {
		r.MessagesPerTask = float64(r.Messages) / float64(r.Tasks)
		r.MessageOverhead = float64(r.Messages-2*r.Tasks) / float64(2*r.Tasks)
	}
}

func (sim *simulation) totalSlots() int {
	n := 0
	for _, worker := range sim.trace.Workers {
		n += worker.Slots
	}
	return n
}

// measureShares computes utilisation, goodput and fairness over the measured window.
func (sim *simulation) measureShares(r *Report) {
	from, until := sim.measuredWindow()
	if sim.trace.MeasureUntil == 0 {
		until = sim.clock.now
	}
	capacity := until.Sub(from).Seconds() * float64(sim.totalSlots())
	var servedSeconds float64
	offeredByTeam, servedByTeam := make(map[string]float64), make(map[string]float64)
	for _, c := range sim.calls {
		var workSeconds float64
		for _, runTime := range c.job.req.Tasks {
			workSeconds += runTime.Seconds()
		}
		team := c.job.req.Team
		if c.isMeasured {
			offeredByTeam[team] += workSeconds
		}
		if kind, _ := c.outcome(); c.answerCount == 0 || kind != errkind.None {
			continue
		}
		if c.isMeasured {
			servedByTeam[team] += workSeconds
		}
		if !c.answered.Before(from) && c.answered.Before(until) {
			servedSeconds += workSeconds
		}
	}
	r.Utilisation = sim.counters.busyTime.Seconds() / capacity
	r.Goodput = servedSeconds / capacity
	r.Fairness = jainIndex(servedByTeam, fairShares(offeredByTeam, sim.policy.Teams, capacity))
	if sim.counters.runsAfterFailure > 0 {
		r.FailingShare = float64(sim.counters.failedRuns) / float64(sim.counters.runsAfterFailure)
	}
}

// checkExpectations checks the outcomes and limits that the trace states.
func (sim *simulation) checkExpectations(r *Report) {
	for _, c := range sim.calls {
		if c.expected != nil {
			r.StatedCount++
		}
		if reason := c.unmetReason(); reason != "" {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s at %v: %s", c.job.name, c.sentAt.Sub(sim.traceStart), reason))
		}
	}
	for _, l := range sim.trace.Limits {
		r.StatedCount++
		got, ok := r.measureValue(l.Measure)
		if !ok || l.AtLeast && got < l.Value || !l.AtLeast && got > l.Value {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, want %s", l.Measure, got, l))
		}
	}
}

// OK reports whether all invariants held and all stated outcomes were met.
func (r *Report) OK() bool { return len(r.Violations) == 0 && len(r.Unmet) == 0 }

// String returns the limit in the form of the trace.
func (l Limit) String() string {
	if l.AtLeast {
		return fmt.Sprintf(">= %g", l.Value)
	}
	return fmt.Sprintf("<= %g", l.Value)
}

// measureValue returns the value of the measure with the given name in a trace.
func (r *Report) measureValue(name string) (float64, bool) {
	m := map[string]float64{
		"p50-over-ideal": r.OverIdeal.P50, "p95-over-ideal": r.OverIdeal.P95, "p99-over-ideal": r.OverIdeal.P99,
		"p50-ms": r.ResponseMs.P50, "p95-ms": r.ResponseMs.P95, "p99-ms": r.ResponseMs.P99,
		"wasted": r.MessageOverhead, "utilisation": r.Utilisation, "goodput": r.Goodput, "fairness": r.Fairness,
		"failing-share": r.FailingShare, "late-ms": r.MaxLateMs, "even-after-s": r.EvenAfterSeconds, "herd-peak": r.PeakStartRatio,
		"served": ratio(r.Served, r.Jobs),
	}
	v, ok := m[name]
	return v, ok
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// formatCounts formats counts in the order of their keys.
func formatCounts(m map[string]int) string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf(" %s=%d", k, m[k])
	}
	if out == "" {
		return "-"
	}
	return out[1:]
}
