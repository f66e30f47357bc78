package recovery

import (
	"time"

	"wigeontray/internal/identity"
)

func (m *Machine) verdict(now time.Time, r *jobRecovery, e *entryState, ev evidence) Verdict {
	switch {
	case r.taskCount > 0 && len(r.results) == r.taskCount:
		if r.firstFailure() != nil {
			return Failed
		}
		return Complete
	case e.gone.IsZero():
		return m.verdictBeforeDeclaration(now, r)
	case ev.coversJob && !ev.missingReports:
		return m.verdictFromReports(now, r, ev)
	case m.canStillChange(now, r, ev) && now.Before(r.deadline):
		return Pending
	case m.canStillChange(now, r, ev):
		return RetryLater
	default:
		return Unknown
	}
}

// verdictBeforeDeclaration returns the verdict on a job whose home has not been
// declared gone. Guards may still return the complete result; nothing else can be
// decided yet.
func (m *Machine) verdictBeforeDeclaration(now time.Time, r *jobRecovery) Verdict {
	if now.Before(r.deadline) && now.Sub(r.startedAt) < m.opt.GracePeriod {
		return Pending
	}
	return RetryLater
}

// verdictFromReports returns the verdict on a job when all guards have reported.
func (m *Machine) verdictFromReports(now time.Time, r *jobRecovery, ev evidence) Verdict {
	if len(ev.started) == 0 {
		return NotRun
	}
	missingResults, lostResults := m.missingResults(now, r, ev)
	switch {
	case missingResults == 0:
		return Failed
	case lostResults == missingResults:
		return Unknown
	case now.Before(r.deadline):
		return Pending
	default:
		return RetryLater
	}
}

// missingResults counts the started tasks without a result, and those of them whose
// guard is lost.
func (m *Machine) missingResults(now time.Time, r *jobRecovery, ev evidence) (missingResults, lostResults int) {
	for g, starts := range ev.started {
		for _, s := range starts {
			if _, hasResult := r.results[s.Ref.Task]; hasResult {
				continue
			}
			missingResults++
			if m.isGuardLost(now, g) {
				lostResults++
			}
		}
	}
	return missingResults, lostResults
}

// canStillChange reports whether waiting can provide more information: a guard that
// has not reported or answered is linked or may reconnect, or a started task is
// still running.
func (m *Machine) canStillChange(now time.Time, r *jobRecovery, ev evidence) bool {
	if ev.mayStillReport {
		return true
	}
	for g, answered := range r.queried {
		if !answered && !m.isGuardLost(now, g) && m.lookupEntry(r.job.Home).isBelowFloor(g, r.job.BirthMs) {
			return true
		}
	}
	missingResults, lostResults := m.missingResults(now, r, ev)
	return r.isThrottled || missingResults > lostResults
}

// isGuardLost reports whether g has been disconnected for at least the grace period,
// or was never linked to this entry.
func (m *Machine) isGuardLost(now time.Time, g identity.Incarnation) bool {
	downSince, known := m.guardDownSince[g]
	return !known || !downSince.IsZero() && now.Sub(downSince) >= m.opt.GracePeriod
}
