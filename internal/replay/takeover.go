package replay

import (
	"slices"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// takeover answers for the jobs of an entry that died: guards fence it, and tell
// what they started for it. Nothing is ever started again.
type takeover struct {
	gone    identity.Incarnation
	asked   []identity.Incarnation // guards that were sent the fence
	reports map[identity.Incarnation]*wire.FenceReport
	calls   []*call
	collect map[string]*collection // by key
}

// collection gathers the results of one job from the guards that hold them.
type collection struct {
	call    *call
	open    int // guards that have not answered
	results map[int]wire.Result
}

// takeOver asks all guards about the dead home of c's job.
func (e *entry) takeOver(c *call) {
	t := e.takeovers[c.job.home]
	if t != nil {
		t.calls = append(t.calls, c)
		return
	}
	t = &takeover{gone: c.job.home, calls: []*call{c},
		reports: make(map[identity.Incarnation]*wire.FenceReport), collect: make(map[string]*collection)}
	e.takeovers[c.job.home] = t
	for _, g := range e.w.guards {
		if l := e.links[g.incarnation]; l != nil && l.up {
			t.asked = append(t.asked, g.incarnation)
			l.toGuard(&wire.Frame{Fence: &wire.Fence{Gone: t.gone}})
		}
	}
	if len(t.asked) == 0 {
		delete(e.takeovers, t.gone)
		e.w.answer(c, unknownAnswer)
	}
}

// fenceReport takes a guard's report; the last one decides all waiting calls.
func (e *entry) fenceReport(from identity.Incarnation, r *wire.FenceReport) {
	t := e.takeovers[r.Gone]
	if t == nil {
		return
	}
	if t.reports[from] = r; len(t.reports) < len(t.asked) {
		return
	}
	for _, c := range t.calls {
		e.decide(t, c)
	}
	t.calls = nil
	if len(t.collect) == 0 {
		delete(e.takeovers, r.Gone)
	}
}

// decide answers one call from the reports: the result if guards hold all of
// it, "not run" if all guards that ever were deny a start, else unknown.
func (e *entry) decide(t *takeover, c *call) {
	started, finished, holders := 0, 0, []identity.Incarnation{}
	proof := len(t.asked) == len(e.w.guards)
	for _, inc := range t.asked {
		r := t.reports[inc]
		proof = proof && r.FloorMs <= c.job.birthMs
		for _, s := range r.Started {
			if s.Ref.Key != c.job.key {
				continue
			}
			started++
			if s.Done {
				finished++
			}
			holders = append(holders, inc)
		}
	}
	holders = slices.Compact(holders)
	switch {
	case started == 0 && proof:
		e.jobs[c.job.key] = &held{answer: &answer{kind: errkind.NotRun, ran: errkind.RanNo}}
		e.w.answer(c, e.jobs[c.job.key].answer)
	case finished == len(c.job.req.Tasks):
		e.startCollect(t, c, holders)
	default:
		e.w.answer(c, unknownAnswer)
	}
}

// unknownAnswer is what can be said of a job whose tasks cannot all be traced.
var unknownAnswer = &answer{kind: errkind.OutcomeUnknown, ran: errkind.RanUnknown}

func (e *entry) startCollect(t *takeover, c *call, holders []identity.Incarnation) {
	t.collect[c.job.key] = &collection{call: c, open: len(holders), results: make(map[int]wire.Result)}
	for _, inc := range holders {
		e.links[inc].toGuard(&wire.Frame{Collect: &wire.Collect{Member: c.job.member, Key: c.job.key}})
	}
}

// collected takes the results that one guard holds.
func (e *entry) collected(msg *wire.Collected) {
	for gone, t := range e.takeovers {
		col := t.collect[msg.Key]
		if col == nil {
			continue
		}
		for _, r := range msg.Results {
			col.results[r.Ref.Task] = r
		}
		if col.open--; col.open > 0 {
			return
		}
		delete(t.collect, msg.Key)
		if len(t.collect)+len(t.calls) == 0 {
			delete(e.takeovers, gone)
		}
		e.w.answer(col.call, col.answer())
		return
	}
}

func (c *collection) answer() *answer {
	a := &answer{}
	for i := range c.call.job.req.Tasks {
		r, ok := c.results[i]
		if !ok || r.Kind != errkind.None {
			return unknownAnswer
		}
		a.results = append(a.results, dispatch.TaskResult{Status: r.Status, Body: r.Body})
	}
	return a
}
