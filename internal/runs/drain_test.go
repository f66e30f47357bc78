package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// drainedRig is a rig whose worker is in the failure domain "z1".
func drainedRig(t *testing.T) *rig {
	r := newRig(t)
	rep := r.report(testWorker, 2)
	rep.Domain = "z1"
	r.m.Heard(r.now, rep)
	r.actions()
	return r
}

func (r *rig) drain(revision int64, domains ...string) {
	r.m.SetDrains(r.now, &wire.Drains{Revision: revision, Domains: domains})
}

// Guards against starts and offers in a drained failure domain, and against the end of what runs there.
func TestDrainedWorkerTakesNothingAndEndsWhatRuns(t *testing.T) {
	r := drainedRig(t)
	r.send(r.now, 1)
	r.started(key(1), Done)
	r.actions()
	r.drain(1, "z2")
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.drain(2, "z1", "z2")
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.Check(r.m.Load(r.now, testEntry).Free, qt.Equals, sched.Room{})
	r.Check(sortOut(r.actions()).stops, qt.HasLen, 0)
	r.send(r.now, 2)
	got := sortOut(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Draining)
	r.Check(got.ends[0].Ran, qt.Equals, errkind.RanNo)
	// The answers of a sound worker do not bring it back, the operators do.
	r.held(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(1)}}})
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.Check(sortOut(r.actions()).ends, qt.HasLen, 1)
	r.drain(3)
	r.held(testWorker, HoldAnswer{})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.send(r.now, 3)
	r.Check(sortOut(r.actions()).starts, qt.DeepEquals, []Key{key(3)})
}

// Guards against tasks begun after a drain whose text or answer was awaited when it came.
func TestDrainGivesBackWhatIsNotAtTheWorker(t *testing.T) {
	r := drainedRig(t)
	r.sendWithoutText(1)
	r.actions()
	r.drain(1, "z1")
	got := sortOut(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Draining)
	r.fetched(true)
	r.Check(sortOut(r.actions()).starts, qt.HasLen, 0)

	r = drainedRig(t)
	r.send(r.now, 1)
	r.actions()
	r.drain(1, "z1")
	r.started(key(1), NoAnswer)
	got = sortOut(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Check(got.stops, qt.DeepEquals, []Key{key(1)})
}

// Guards against a new worker of a drained domain being used.
func TestWorkerThatComesDuringADrainIsNotUsed(t *testing.T) {
	r := drainedRig(t)
	r.drain(1, "z1")
	rep := r.report("worker-2", 1)
	rep.Domain = "z1"
	r.m.Heard(r.now, rep)
	r.held("worker-2", HoldAnswer{})
	r.Check(r.m.Worker().ID, qt.Equals, "worker-2")
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.drain(2)
	r.hold()
	r.held("worker-2", HoldAnswer{})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
}
