package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
)

// A worker announces its end with a task still at work, and ends a few milliseconds
// later. Given back at once, the task was started at another worker while it ran, and
// two escorts were booked.
func TestWorkerThatLeavesMayRunOnForAMoment(t *testing.T) {
	r := newRig(t)
	r.send(r.now, 0)
	r.started(key(0), Done)
	r.actions()
	r.m.Left(r.now, testWorker)
	s := sortOut(r.actions())
	r.Check(s.ends, qt.HasLen, 0)
	r.Check(s.stops, qt.DeepEquals, []Key{key(0)})
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	for _, h := range s.holds {
		r.Check(h.UntilMs, qt.Equals, int64(0)) // its lease is not renewed
	}
	// It answers nothing more: the run has ended when its lease is over.
	r.pass(testTiming.Lease / 2)
	r.Check(sortOut(r.actions()).ends, qt.HasLen, 0)
	r.pass(testTiming.Lease/2 + clockSkewMargin)
	ends := sortOut(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// A worker that leaves still answers, and lists the end of its last run. Nobody has to
// wait for the lease then.
func TestWorkerThatLeavesListsItsLastEnd(t *testing.T) {
	r := newRig(t)
	r.send(r.now, 0)
	r.started(key(0), Done)
	r.actions()
	r.m.Left(r.now, testWorker)
	r.actions()
	r.held(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), How: EndStopped}}})
	ends := sortOut(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// A worker that leaves with nothing at work is gone at once.
func TestIdleWorkerThatLeavesIsGone(t *testing.T) {
	r := newRig(t)
	r.m.Left(r.now, testWorker)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}
