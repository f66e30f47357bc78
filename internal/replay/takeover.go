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
	deadHome     identity.Incarnation
	fencedGuards []identity.Incarnation // guards that were sent the fence
	reports      map[identity.Incarnation]*wire.FenceReport
	calls        []*call
	collections  map[string]*collection // by key
}

// collection gathers the results of one job from the guards that hold them.
type collection struct {
	call          *call
	pendingGuards int // guards that have not answered
	results       map[int]wire.Result
}

// startTakeover asks all guards about the dead home of c's job.
func (e *entry) startTakeover(c *call) {
	t := e.takeovers[c.job.home]
	if t != nil {
		t.calls = append(t.calls, c)
		return
	}
	t = &takeover{deadHome: c.job.home, calls: []*call{c},
		reports: make(map[identity.Incarnation]*wire.FenceReport), collections: make(map[string]*collection)}
	e.takeovers[c.job.home] = t
	for _, g := range e.sim.guards {
		if l := e.links[g.incarnation]; l != nil && l.isUp {
			t.fencedGuards = append(t.fencedGuards, g.incarnation)
			l.sendToGuard(&wire.Frame{Fence: &wire.Fence{Gone: t.deadHome}})
		}
	}
	if len(t.fencedGuards) == 0 {
		delete(e.takeovers, t.deadHome)
		e.sim.answer(c, unknownAnswer)
	}
}

// handleFenceReport takes a guard's report; the last one decides all waiting calls.
func (e *entry) handleFenceReport(from identity.Incarnation, r *wire.FenceReport) {
	t := e.takeovers[r.Gone]
	if t == nil {
		return
	}
	if t.reports[from] = r; len(t.reports) < len(t.fencedGuards) {
		return
	}
	for _, c := range t.calls {
		e.answerFromReports(t, c)
	}
	t.calls = nil
	if len(t.collections) == 0 {
		delete(e.takeovers, r.Gone)
	}
}

// answerFromReports answers one call from the reports: the result if guards hold all of
// it, "not run" if all guards that ever were deny a start, else unknown.
func (e *entry) answerFromReports(t *takeover, c *call) {
	started, finished, holders := 0, 0, []identity.Incarnation{}
	provesNotRun := len(t.fencedGuards) == len(e.sim.guards)
	for _, inc := range t.fencedGuards {
		r := t.reports[inc]
		provesNotRun = provesNotRun && r.FloorMs <= c.job.createdMs
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
	case started == 0 && provesNotRun:
		e.jobs[c.job.key] = &jobRecord{answer: &answer{kind: errkind.NotRun, ran: errkind.RanNo}}
		e.sim.answer(c, e.jobs[c.job.key].answer)
	case finished == len(c.job.req.Tasks):
		e.collectResults(t, c, holders)
	default:
		e.sim.answer(c, unknownAnswer)
	}
}

// unknownAnswer is what can be said of a job whose tasks cannot all be traced.
var unknownAnswer = &answer{kind: errkind.OutcomeUnknown, ran: errkind.RanUnknown}

func (e *entry) collectResults(t *takeover, c *call, holders []identity.Incarnation) {
	t.collections[c.job.key] = &collection{call: c, pendingGuards: len(holders), results: make(map[int]wire.Result)}
	for _, inc := range holders {
		e.links[inc].sendToGuard(&wire.Frame{Collect: &wire.Collect{Member: c.job.member, Key: c.job.key}})
	}
}

// handleCollected takes the results that one guard holds.
func (e *entry) handleCollected(msg *wire.Collected) {
	for deadHome, t := range e.takeovers {
		col := t.collections[msg.Key]
		if col == nil {
			continue
		}
		for _, r := range msg.Results {
			col.results[r.Ref.Task] = r
		}
		if col.pendingGuards--; col.pendingGuards > 0 {
			return
		}
		delete(t.collections, msg.Key)
		if len(t.collections)+len(t.calls) == 0 {
			delete(e.takeovers, deadHome)
		}
		e.sim.answer(col.call, col.answer())
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
