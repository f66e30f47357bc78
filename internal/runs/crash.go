package runs

import (
	"wigeontray/internal/wire"
)

// unannounced tells whether an end of the worker now would be a crash.
func (m *Machine) unannounced() bool {
	return m.life.id != "" && !m.life.left && !m.worker.Leaving
}

// blame gives the runs that may have caused a crash of the worker: those that were suspected
// of an earlier one, or else all that the worker had taken. A start that got no answer may have
// come after the crash; it is blamed only if nothing else was there. Entries hear of the tasks of
// the other entries: a caller who is left without an answer sends its job to another one.
func (m *Machine) blame() map[Key]bool {
	suspects, taken, ordered := make(map[Key]bool), make(map[Key]bool), make(map[Key]bool)
	for k, r := range m.runs {
		switch {
		case r.state == awaiting:
		case r.answered && r.crashes > 0:
			suspects[k] = true
		case r.answered:
			taken[k] = true
		case r.tries > 1:
			ordered[k] = true
		}
	}
	for _, blamed := range []map[Key]bool{suspects, taken, ordered} {
		if len(blamed) > 0 {
			m.reportCrash(blamed)
			return blamed
		}
	}
	return nil
}

// reportCrash tells each entry of the blamed tasks of the other entries.
func (m *Machine) reportCrash(blamed map[Key]bool) {
	for _, name := range m.names() {
		var tasks []wire.TaskName
		for _, r := range m.inOrder() {
			if r.entry != name && blamed[r.key] {
				tasks = append(tasks, wire.TaskName{Job: r.key.Job, Step: r.key.Step, Index: r.key.Index})
			}
		}
		if len(tasks) > 0 && m.entries[name].linked {
			m.actions = append(m.actions, Action{Send: &Send{To: name, Frame: &wire.Frame{WorkerCrash: &wire.WorkerCrash{Tasks: tasks}}}})
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
