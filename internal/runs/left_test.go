package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
)

// Guards against overlapping runs of a task when a worker announces its end and terminates a
// few milliseconds later. The task was returned at once and started on another worker while it
// was still running, and a booking was made twice.
func TestRunsOfLeavingWorkerEndWithItsLease(t *testing.T) {
	r := newRig(t)
	r.startTask(0)
	r.m.HandleTermination(r.now, testWorker)
	got := groupActions(r.actions())
	r.Check(got.ends, qt.HasLen, 0)
	r.Check(got.stops, qt.DeepEquals, []Key{key(0)})
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	for _, h := range got.holds {
		r.Check(h.UntilMs, qt.Equals, int64(0)) // the lease is not renewed
	}
	// Without another answer, the run ends when the lease expires.
	r.advance(testTiming.Lease / 2)
	r.Check(groupActions(r.actions()).ends, qt.HasLen, 0)
	r.advance(testTiming.Lease/2 + clockSkewMargin)
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// Guards against waiting for the lease when a leaving worker still answers and lists the end
// of its last run.
func TestLeavingWorkerReportsItsLastEnd(t *testing.T) {
	r := newRig(t)
	r.startTask(0)
	r.m.HandleTermination(r.now, testWorker)
	r.actions()
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), Outcome: EndStopped}}})
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}

// Guards against keeping a worker without runs after it has announced its end.
func TestIdleLeavingWorkerIsRemovedImmediately(t *testing.T) {
	r := newRig(t)
	r.m.HandleTermination(r.now, testWorker)
	r.Check(r.m.Worker().ID, qt.Equals, "")
}
