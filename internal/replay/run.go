package replay

import (
	"fmt"
	"slices"
	"time"

	"wigeontray/internal/errkind"
)

// Run replays t. The error reports a trace that cannot be carried out; broken
// promises and unmet outcomes are in the report.
func Run(t *Trace, opt Options) (*Report, error) {
	if len(t.Entries) == 0 || len(t.Workers) == 0 {
		return nil, fmt.Errorf("replay %s: needs an entry and a worker", t.Name)
	}
	events := t.timeline()
	w := newWorld(t, opt)
	var failed error
	last := w.begin
	for i := range events {
		ev := &events[i]
		at := w.begin.Add(ev.At)
		w.clock.at(at, func() {
			if err := w.apply(ev); err != nil && failed == nil {
				failed = fmt.Errorf("replay %s at %v: %w", t.Name, ev.At, err)
			}
		})
		if ev.Request != nil {
			at = at.Add(ev.Request.Deadline)
		}
		if at.After(last) {
			last = at
		}
	}
	for w.clock.step(last.Add(tailTime)) && failed == nil {
	}
	if failed != nil {
		return nil, failed
	}
	w.check.unanswered(w.calls)
	return w.report(events), nil
}

// timeline joins the events of the trace and its loads in order of time.
func (t *Trace) timeline() []Event {
	out := slices.Clone(t.Events)
	for i := range t.Loads {
		out = append(out, t.Loads[i].expand(i, t)...)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return resolve(out)
}

// resolve lets each resubmission carry the request of its first submission.
func resolve(events []Event) []Event {
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

// window is the measured interval.
func (w *world) window() (from, until time.Time) {
	until = w.begin.Add(w.trace.Until)
	if w.trace.Until == 0 {
		until = w.begin.Add(time.Hour)
	}
	return w.begin.Add(w.trace.From), until
}

// slack is the time after the deadline by which an answer must have come: one
// task length, and the way to the caller and back.
func (w *world) slack(j *jobState) time.Duration {
	return slices.Max(j.req.Tasks) + 2*w.trace.Delays.Client
}

// unmet checks what the trace states of one submission.
func (c *call) unmet() string {
	if c.want == nil {
		return ""
	}
	kind, ran := c.outcome()
	took := c.answered.Sub(c.sent)
	switch {
	case c.answers == 0 && !c.lost:
		return "no answer"
	case !c.want.has(kind, c.lost):
		return fmt.Sprintf("answered %v ran %v", kind, ran)
	case !c.want.AnyRan && !c.lost && kind != errkind.None && ran != c.want.Ran:
		return fmt.Sprintf("answered %v ran %v, want ran %v", kind, ran, c.want.Ran)
	case c.want.Before > 0 && took > c.want.Before:
		return fmt.Sprintf("answered after %v, want %v", took, c.want.Before)
	}
	return ""
}

func (c *call) outcome() (errkind.Kind, errkind.Ran) {
	if c.answer == nil {
		return errkind.None, errkind.RanUnknown
	}
	return c.answer.kind, c.answer.ran
}

// has tells whether the outcome is one of those wanted.
func (w *Want) has(kind errkind.Kind, lost bool) bool {
	if lost {
		return w.Lost
	}
	return slices.Contains(w.Kinds, kind)
}
