package replay

import (
	"fmt"
	"slices"
	"time"

	"wigeontray/internal/errkind"
)

// Run replays t. It returns an error if the trace cannot be executed; violated
// invariants and unmet outcomes are in the report.
func Run(t *Trace, opt Options) (*Report, error) {
	if len(t.Entries) == 0 || len(t.Workers) == 0 {
		return nil, fmt.Errorf("replay %s: trace needs at least one entry and one worker", t.Name)
	}
	events := t.timeline()
	sim := newSimulation(t, opt)
	var applyErr error
	lastDeadline := sim.traceStart
	for i := range events {
		ev := &events[i]
		at := sim.traceStart.Add(ev.At)
		sim.clock.at(at, func() {
			if err := sim.apply(ev); err != nil && applyErr == nil {
				applyErr = fmt.Errorf("replay %s at %v: %w", t.Name, ev.At, err)
			}
		})
		if ev.Request != nil {
			at = at.Add(ev.Request.Deadline)
		}
		if at.After(lastDeadline) {
			lastDeadline = at
		}
	}
	for sim.clock.step(lastDeadline.Add(endDelay)) && applyErr == nil {
	}
	if applyErr != nil {
		return nil, applyErr
	}
	sim.checker.checkUnanswered(sim.calls)
	return sim.buildReport(events), nil
}

// timeline merges the events of the trace with those of its loads, in order of
// time.
func (t *Trace) timeline() []Event {
	out := slices.Clone(t.Events)
	for i := range t.Loads {
		out = append(out, t.Loads[i].events(i, t)...)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return resolveResubmissions(out)
}

// resolveResubmissions sets the request of each resubmission to that of the first
// submission.
func resolveResubmissions(events []Event) []Event {
	first := make(map[string]*Request)
	for i := range events {
		ev := &events[i]
		switch ev.Op {
		case OpSubmit:
			first[ev.Target] = ev.Request
		case OpResubmit:
			ev.Request = first[ev.Target]
		}
	}
	return events
}

// measuredWindow returns the interval to measure. Without an end in the trace, it
// ends after one hour.
func (sim *simulation) measuredWindow() (from, until time.Time) {
	until = sim.traceStart.Add(sim.trace.MeasureUntil)
	if sim.trace.MeasureUntil == 0 {
		until = sim.traceStart.Add(time.Hour)
	}
	return sim.traceStart.Add(sim.trace.MeasureFrom), until
}

// answerSlack returns how long after the deadline an answer may arrive: the
// longest run time of a task plus the network delay from and to the caller.
func (sim *simulation) answerSlack(j *jobState) time.Duration {
	return slices.Max(j.req.Tasks) + 2*sim.trace.Delays.Client
}

// unmetReason returns how the answer differs from the outcome that the trace
// states for the call, or "" if it does not.
func (c *call) unmetReason() string {
	if c.expected == nil {
		return ""
	}
	kind, ran := c.outcome()
	responseTime := c.answered.Sub(c.sentAt)
	switch {
	case c.answerCount == 0 && !c.isConnectionLost:
		return "no answer"
	case !c.expected.accepts(kind, c.isConnectionLost):
		return fmt.Sprintf("answered %v ran %v", kind, ran)
	case !c.expected.AnyRan && !c.isConnectionLost && kind != errkind.None && ran != c.expected.Ran:
		return fmt.Sprintf("answered %v ran %v, want ran %v", kind, ran, c.expected.Ran)
	case c.expected.Before > 0 && responseTime > c.expected.Before:
		return fmt.Sprintf("answered after %v, want %v", responseTime, c.expected.Before)
	}
	return ""
}

// outcome returns the kind and the ran status of the answer.
func (c *call) outcome() (errkind.Kind, errkind.Ran) {
	if c.answer == nil {
		return errkind.None, errkind.RanUnknown
	}
	return c.answer.kind, c.answer.ran
}

// accepts reports whether the outcome is one of the expected ones.
func (o *ExpectedOutcome) accepts(kind errkind.Kind, lost bool) bool {
	if lost {
		return o.ConnectionLost
	}
	return slices.Contains(o.Kinds, kind)
}
