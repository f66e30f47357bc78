package replay

import (
	"slices"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// takeover determines the outcome of jobs whose home entry has terminated: the
// guards fence that incarnation and report which of its tasks they started. A
// takeover never starts a task.
type takeover struct {
	fencedEntry  identity.Incarnation
	fencedGuards []identity.Incarnation // guards that the fence was sent to
	reports      map[identity.Incarnation]*wire.FenceReport
	calls        []*call
	collections  map[string]*collection // by job key
}

// collection collects the results of one job from the guards that store them.
type collection struct {
	call          *call
	pendingGuards int // guards whose response is outstanding
	results       map[int]wire.Result
}

// startTakeover sends a fence for the terminated home of c's job to all connected
// guards, or adds c to the takeover that is in progress.
func (e *entry) startTakeover(c *call) {
	t := e.takeovers[c.job.home]
	if t != nil {
		t.calls = append(t.calls, c)
		return
	}
	t = &takeover{fencedEntry: c.job.home, calls: []*call{c},
		reports: make(map[identity.Incarnation]*wire.FenceReport), collections: make(map[string]*collection)}
	e.takeovers[c.job.home] = t
	for _, g := range e.sim.guards {
		if l := e.links[g.incarnation]; l != nil && l.isUp {
			t.fencedGuards = append(t.fencedGuards, g.incarnation)
			l.sendToGuard(&wire.Frame{Fence: &wire.Fence{FencedEntry: t.fencedEntry}})
		}
	}
	if len(t.fencedGuards) == 0 {
		delete(e.takeovers, t.fencedEntry)
		e.sim.answer(c, unknownAnswer)
	}
}

// handleFenceReport stores the report of a guard. When all guards have reported,
// it answers the waiting calls.
func (e *entry) handleFenceReport(from identity.Incarnation, r *wire.FenceReport) {
	t := e.takeovers[r.FencedEntry]
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
		delete(e.takeovers, r.FencedEntry)
	}
}

// answerFromReports answers one call by the reports of the guards: with the results
// if the guards store all of them, with "not run" if every guard of the trace has
// reported and none can have started a task of the job, and otherwise with an
// unknown outcome.
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

// unknownAnswer is the answer for a job some of whose tasks have no known outcome.
var unknownAnswer = &answer{kind: errkind.OutcomeUnknown, ran: errkind.RanUnknown}

// collectResults requests the results of a job from the guards that started its
// tasks.
func (e *entry) collectResults(t *takeover, c *call, holders []identity.Incarnation) {
	t.collections[c.job.key] = &collection{call: c, pendingGuards: len(holders), results: make(map[int]wire.Result)}
	for _, inc := range holders {
		e.links[inc].sendToGuard(&wire.Frame{Collect: &wire.Collect{Member: c.job.member, Key: c.job.key}})
	}
}

// handleCollected adds the results that one guard stores, and answers the call when
// all guards have responded.
func (e *entry) handleCollected(msg *wire.Collected) {
	for fencedEntry, t := range e.takeovers {
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
			delete(e.takeovers, fencedEntry)
		}
		e.sim.answer(col.call, col.answer())
		return
	}
}

// answer returns the complete results, or unknownAnswer if one is missing or is an
// error.
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
