package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// newDomainRig returns a rig whose worker is in the failure domain "z1".
func newDomainRig(t *testing.T) *rig {
	r := newRig(t)
	rep := r.newReport(testWorker, 2)
	rep.Domain = "z1"
	r.m.HandleReport(r.now, rep)
	r.actions()
	return r
}

func (r *rig) setDrains(revision int64, domains ...string) {
	r.m.SetDrains(r.now, &wire.Drains{Revision: revision, Domains: domains})
}

// Guards against starts and offers in a drained failure domain, and against stopping its active
// runs.
func TestDrainedWorkerRefusesTasksAndFinishesRuns(t *testing.T) {
	r := newDomainRig(t)
	r.sendTasks(r.now, 1)
	r.answerStart(key(1), Done)
	r.actions()
	r.setDrains(1, "z2")
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.setDrains(2, "z1", "z2")
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.Check(r.m.Load(r.now, testEntry).Free, qt.Equals, sched.Resources{})
	r.Check(groupActions(r.actions()).stops, qt.HasLen, 0)
	r.sendTasks(r.now, 2)
	got := groupActions(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Draining)
	r.Check(got.ends[0].Ran, qt.Equals, errkind.RanNo)
	// Answers of the healthy worker do not make it usable again; the end of the drain does.
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(1)}}})
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.Check(groupActions(r.actions()).ends, qt.HasLen, 1)
	r.setDrains(3)
	r.answerHold(testWorker, HoldAnswer{})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.sendTasks(r.now, 3)
	r.Check(groupActions(r.actions()).starts, qt.DeepEquals, []Key{key(3)})
}

// Guards against starting tasks after a drain began while their text or the answer to their start
// was awaited.
func TestDrainReturnsTasksNotYetAtTheWorker(t *testing.T) {
	r := newDomainRig(t)
	r.sendTasksWithoutText(1)
	r.actions()
	r.setDrains(1, "z1")
	got := groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Draining)
	r.answerFetch(true)
	r.Check(groupActions(r.actions()).starts, qt.HasLen, 0)

	r = newDomainRig(t)
	r.sendTasks(r.now, 1)
	r.actions()
	r.setDrains(1, "z1")
	r.answerStart(key(1), NoAnswer)
	got = groupActions(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Check(got.stops, qt.DeepEquals, []Key{key(1)})
}

// Guards against using a worker that registers in a drained failure domain.
func TestWorkerRegisteredDuringDrainIsNotUsed(t *testing.T) {
	r := newDomainRig(t)
	r.setDrains(1, "z1")
	rep := r.newReport("worker-2", 1)
	rep.Domain = "z1"
	r.m.HandleReport(r.now, rep)
	r.answerHold("worker-2", HoldAnswer{})
	r.Check(r.m.Worker().ID, qt.Equals, "worker-2")
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.setDrains(2)
	r.nextHold()
	r.answerHold("worker-2", HoldAnswer{})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
}
