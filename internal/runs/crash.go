package runs

import (
	"wigeontray/internal/wire"
)

// isExitUnannounced tells whether an end of the worker now would be a crash.
func (m *Machine) isExitUnannounced() bool {
	return m.instance.id != "" && !m.instance.hasLeft && !m.worker.Leaving
}

// crashBlame is what a crash of the worker says of a run.
type crashBlame uint8

const (
	blameNone     crashBlame = iota
	blamePossible            // it may have been there
	blameCertain             // it was there
)

// assignBlame tells which runs may have caused a crash of the worker: all that the worker may have
// taken, also those whose start has no answer, as it may have crashed before it could answer, and
// those that were being stopped. Only a run that was there for certain counts towards the end of
// its job as failed, and beside one that was suspected of an earlier crash only that one.
func (m *Machine) assignBlame() map[Key]crashBlame {
	blamed, hasSuspects := make(map[Key]crashBlame), false
	for _, r := range m.runs {
		hasSuspects = hasSuspects || r.crashCount > 0 && r.state != awaitingText
	}
	for k, r := range m.runs {
		switch {
		case r.state == awaitingText:
		case r.state == running && (r.crashCount > 0 || !hasSuspects) && m.wasRunningAtCrash(r):
			blamed[k] = blameCertain
		default:
			blamed[k] = blamePossible
		}
	}
	return blamed
}

// wasRunningAtCrash tells whether a run that the worker had taken was there when it crashed. An end
// before that would have been seen, unless the worker left orders unanswered already; if it did,
// a run that was far from its end when the worker answered last counts as there.
func (m *Machine) wasRunningAtCrash(r *run) bool {
	lastAnswerAt := m.instance.lastAnswerAt
	wasLossy := m.lossySince < lastAnswerAt && lastAnswerAt < m.lossyUntil
	return !wasLossy || lastAnswerAt < r.answeredAt+r.expectedTime/2
}

// reportCrash tells each entry of the blamed tasks of the other entries: a caller who is left
// without an answer sends its job to another one.
func (m *Machine) reportCrash(blamed map[Key]crashBlame) {
	for _, recipient := range m.sortedEntries() {
		var crash wire.WorkerCrash
		for _, r := range m.sortedRuns() {
			task := wire.TaskName{Job: r.key.Job, Step: r.key.Step, Index: r.key.Index}
			switch {
			case r.entry == recipient:
			case blamed[r.key] == blameCertain:
				crash.Tasks = append(crash.Tasks, task)
			case blamed[r.key] == blamePossible:
				crash.Suspects = append(crash.Suspects, task)
			}
		}
		if len(crash.Tasks)+len(crash.Suspects) > 0 && m.entries[recipient].isLinked {
			m.actions = append(m.actions, Action{Send: &Send{To: recipient, Frame: &wire.Frame{WorkerCrash: &crash}}})
		}
	}
}

// hasSuspect tells whether a task is here that has run under a crash. Two of them apart, the
// next crash tells which one is the cause.
func (m *Machine) hasSuspect() bool {
	for _, r := range m.runs {
		if r.crashCount > 0 {
			return true
		}
	}
	return false
}
