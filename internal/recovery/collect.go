package recovery

import (
	"maps"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// sendCollects queries guards for results. It repeats the query to guards that
// reported a start until the task is done, and sends a single query to any other
// guard that may hold results.
func (m *Machine) sendCollects(now time.Time, r *jobRecovery, ev evidence) {
	isPollDue := !now.Before(r.nextPoll)
	if isPollDue {
		r.nextPoll = now.Add(m.opt.PollInterval)
	}
	r.isThrottled = false
	for _, g := range m.collectCandidates(r, ev) {
		_, started := ev.started[g]
		if started && isPollDue || m.shouldQuery(g, r) && m.takeCollectBudget(now, r) {
			r.queried[g] = r.queried[g] || started
			m.actions = append(m.actions, Action{Guard: g, Collect: &wire.Collect{Member: r.job.Member, Key: r.job.Key}})
		}
	}
}

// collectCandidates returns the linked guards that may hold results of a job,
// sorted. If the reports cover the job's birth, these are the guards that reported a
// start.
func (m *Machine) collectCandidates(r *jobRecovery, ev evidence) (out []identity.Incarnation) {
	e := m.lookupEntry(r.job.Home)
	if !e.gone.IsZero() && r.job.BirthMs >= e.maxFloorMs {
		out = slices.Sorted(maps.Keys(ev.started))
	} else {
		out = slices.Sorted(maps.Keys(m.guardDownSince))
	}
	return slices.DeleteFunc(out, func(g identity.Incarnation) bool {
		downSince, known := m.guardDownSince[g]
		return !known || !downSince.IsZero()
	})
}

// shouldQuery reports whether g should be queried although it has not reported a
// start: it has not been queried yet, and the home is not declared gone or the
// report does not cover the job's birth.
func (m *Machine) shouldQuery(g identity.Incarnation, r *jobRecovery) bool {
	if _, queried := r.queried[g]; queried {
		return false
	}
	e := m.lookupEntry(r.job.Home)
	return e.gone.IsZero() || e.isBelowFloor(g, r.job.BirthMs)
}

// takeCollectBudget takes one query from the budget of the current second. Without
// this limit, resubmissions by the callers of a crashed entry would query every
// guard about every job.
func (m *Machine) takeCollectBudget(now time.Time, r *jobRecovery) bool {
	if now.Sub(m.budgetWindowStart) >= time.Second {
		m.budgetWindowStart, m.collectBudget = now, maxCollectsPerSecond
	}
	if m.collectBudget == 0 {
		r.isThrottled = true
		return false
	}
	m.collectBudget--
	return true
}
