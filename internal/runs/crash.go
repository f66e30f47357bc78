package runs

import (
	"cmp"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// isExitUnannounced reports whether the worker has not announced that it stops, so that its
// end now would be a crash.
func (m *Machine) isExitUnannounced() bool {
	return m.instance.ID != "" && !m.instance.isTerminating && m.instance.terminationAt == 0 && !m.worker.Leaving
}

// crashBlame is the degree to which a run is suspected of a crash of the worker.
type crashBlame uint8

const (
	blameNone     crashBlame = iota
	blamePossible            // may have been at the worker
	blameCertain             // was at the worker
)

// assignBlame returns the runs that may have caused a crash of the worker: all runs that it may
// have accepted. They include runs that were being stopped, and runs whose start is unanswered,
// as the worker may have crashed before it could answer. Only runs that were certainly there
// (blameCertain) count towards failing their job. If some of the runs are suspected of an earlier
// crash, only these can be blamed for certain.
func (m *Machine) assignBlame(now time.Duration) map[Key]crashBlame {
	blamed, hasSuspects := make(map[Key]crashBlame), false
	for _, r := range m.runs {
		hasSuspects = hasSuspects || r.crashCount > 0 && r.canBeBlamed()
	}
	for k, r := range m.runs {
		switch {
		case !r.canBeBlamed():
		case r.state == running && (r.crashCount > 0 || !hasSuspects) && m.wasRunningAtCrash(now, r):
			blamed[k] = blameCertain
		default:
			blamed[k] = blamePossible
		}
	}
	return blamed
}

// canBeBlamed reports whether a run may have been at the instance that has crashed.
func (r *run) canBeBlamed() bool { return r.state != awaitingText && !r.outlastsInstance }

// wasRunningAtCrash reports whether a run that the worker had accepted was still there when the
// worker crashed. An earlier end would have been seen, unless the worker was already leaving
// requests unanswered. In that case the run counts as present if less than half of its expected
// time had passed when the worker last answered or, if it has left Holds unanswered since, when
// the crash was noticed.
func (m *Machine) wasRunningAtCrash(now time.Duration, r *run) bool {
	inst := &m.instance
	wasLossy := m.lossySince < inst.lastAnswerAt && inst.lastAnswerAt < m.lossyUntil
	halfDoneAt := r.acceptedAt + r.expectedTime/2
	switch {
	case inst.wasSilent:
		return cmp.Or(inst.refusedAt, now) < halfDoneAt
	case wasLossy:
		return inst.lastAnswerAt < halfDoneAt
	}
	return true
}

// reportCrash sends each entry the blamed tasks of the other entries, because a caller that gets
// no answer resends its job to another entry. All blamed tasks are reported for the entries without a
// link to this guard.
func (m *Machine) reportCrash(blamed map[Key]crashBlame) {
	for _, recipient := range m.sortedEntries() {
		if crash := m.crashReportFor(recipient, blamed); crash != nil && m.entries[recipient].isLinked {
			m.actions = append(m.actions, Action{Send: &Send{To: recipient, Frame: &wire.Frame{WorkerCrash: crash}}})
		}
	}
	if crash := m.crashReportFor("", blamed); crash != nil {
		m.actions = append(m.actions, Action{CrashReport: crash})
	}
}

// crashReportFor returns the blamed tasks of all entries but the recipient, or nil if there are none.
func (m *Machine) crashReportFor(recipient identity.Incarnation, blamed map[Key]crashBlame) *wire.WorkerCrash {
	crash := new(wire.WorkerCrash)
	for _, r := range m.sortedRuns() {
		task := r.taskName()
		switch {
		case r.entry == recipient:
		case blamed[r.key] == blameCertain:
			crash.Tasks = append(crash.Tasks, task)
		case blamed[r.key] == blamePossible:
			crash.Suspects = append(crash.Suspects, task)
		}
	}
	if len(crash.Tasks)+len(crash.Suspects) == 0 {
		return nil
	}
	return crash
}

// recordSilentLoss keeps the tasks of the runs that end because their leases have expired at a worker that
// does not answer. Whether it has crashed is known only once another instance answers.
func (m *Machine) recordSilentLoss() {
	for _, r := range m.sortedRuns() {
		if r.canBeBlamed() {
			m.instance.lostInSilence = append(m.instance.lostInSilence, r.taskName())
		}
	}
}

// reportSilentCrash reports the tasks that were lost while the worker did not answer to all entries, as
// tasks that may have caused its crash.
func (m *Machine) reportSilentCrash() {
	if len(m.instance.lostInSilence) == 0 {
		return
	}
	crash := &wire.WorkerCrash{Suspects: m.instance.lostInSilence}
	for _, entry := range m.sortedEntries() {
		if m.entries[entry].isLinked {
			m.actions = append(m.actions, Action{Send: &Send{To: entry, Frame: &wire.Frame{WorkerCrash: crash}}})
		}
	}
	m.actions = append(m.actions, Action{CrashReport: crash})
}

func (r *run) taskName() wire.TaskName {
	return wire.TaskName{Job: r.key.Job, Step: r.key.Step, Index: r.key.Index}
}

// hasSuspect reports whether the worker has a task that may have run during an earlier crash.
// Suspects are kept on different workers, so that the next crash identifies the cause.
func (m *Machine) hasSuspect() bool {
	for _, r := range m.runs {
		if r.crashCount > 0 {
			return true
		}
	}
	return false
}
