package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
)

// A worker announces its end with a task still at work, and ends a few milliseconds
// later. Given back at once, the task was started at another worker while it ran, and
// two escorts were booked.
func TestRunsOfLeavingWorkerEndWithItsLease(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	r.m.Left(r.now, testWorker)
	got := groupActions(r.actions())
	r.Check(got.ends, qt.HasLen, 0)
	r.Check(got.stops, qt.DeepEquals, []Key{key(0)})
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	for _, h := range got.holds {
		r.Check(h.UntilMs, qt.Equals, int64(0)) // its lease is not renewed
	}
	// It answers nothing more: the run has ended when its lease is over.
	r.advance(testTiming.Lease / 2)
	r.Check(groupActions(r.actions()).ends, qt.HasLen, 0)
	r.advance(testTiming.Lease/2 + clockSkewMargin)
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// A worker that leaves still answers, and lists the end of its last run. Nobody has to
// wait for the lease then.
func TestLeavingWorkerReportsItsLastEnd(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	r.m.Left(r.now, testWorker)
	r.actions()
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), How: EndStopped}}})
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// A worker that leaves with nothing at work is gone at once.
func TestIdleLeavingWorkerIsRemovedImmediately(t *testing.T) {
	r := newRig(t)
	r.m.Left(r.now, testWorker)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}
