package runs

import (
	"wigeontray/internal/wire"
)

// unannounced tells whether an end of the worker now would be a crash.
func (m *Machine) unannounced() bool {
	return m.life.id != "" && !m.life.left && !m.worker.Leaving
}

// blame is what a crash of the worker says of a run.
type blame uint8

const (
	innocent blame = iota
	possible       // it may have been there
	certain        // it was there
)

// blameRuns tells which runs may have caused a crash of the worker: all that the worker may have
// taken, also those whose start has no answer, as it may have crashed before it could answer, and
// those that were being stopped. Only a run that was there for certain counts towards the end of
// its job as failed, and beside one that was suspected of an earlier crash only that one.
func (m *Machine) blameRuns() map[Key]blame {
	blamed, suspects := make(map[Key]blame), false
	for _, r := range m.runs {
		suspects = suspects || r.crashes > 0 && r.state != awaiting
	}
	for k, r := range m.runs {
		switch {
		case r.state == awaiting:
		case r.state == running && (r.crashes > 0 || !suspects) && m.ranToTheCrash(r):
			blamed[k] = certain
		default:
			blamed[k] = possible
		}
	}
	return blamed
}

// ranToTheCrash tells whether a run that the worker had taken was there when it crashed. An end
// before that would have been seen, unless the worker left orders unanswered already; if it did,
// a run that was far from its end when the worker answered last counts as there.
func (m *Machine) ranToTheCrash(r *run) bool {
	heard := m.life.heard
	doubted := m.doubtFrom < heard && heard < m.doubtful
	return !doubted || heard < r.present+r.expect/2
}

// reportCrash tells each entry of the blamed tasks of the other entries: a caller who is left
// without an answer sends its job to another one.
func (m *Machine) reportCrash(blamed map[Key]blame) {
	for _, name := range m.names() {
		var c wire.WorkerCrash
		for _, r := range m.inOrder() {
			task := wire.TaskName{Job: r.key.Job, Step: r.key.Step, Index: r.key.Index}
			switch {
			case r.entry == name:
			case blamed[r.key] == certain:
				c.Tasks = append(c.Tasks, task)
			case blamed[r.key] == possible:
				c.Suspects = append(c.Suspects, task)
			}
		}
		if len(c.Tasks)+len(c.Suspects) > 0 && m.entries[name].linked {
			m.actions = append(m.actions, Action{Send: &Send{To: name, Frame: &wire.Frame{WorkerCrash: &c}}})
		}
	}
}

// hasSuspect tells whether a task is here that has run under a crash. Two of them apart, the
// next crash tells which one is the cause.
func (m *Machine) hasSuspect() bool {
	for _, r := range m.runs {
		if r.crashes > 0 {
			return true
		}
	}
	return false
}
