package runs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/wire"
)

// finishJobs runs jobs of one task each, one after the other, that take runTime, and returns how often
// the worker was announced.
func (r *rig) finishJobs(jobs int, runTime time.Duration) (announcements int) {
	for i := range jobs {
		k := r.startJobs(false, fmt.Sprintf("%v-%d", runTime, i))[0]
		r.now += runTime
		r.finishedRuns++
		r.m.HandleBeat(r.now, testEntry, &wire.EntryHeartbeat{ClockMs: r.now.Milliseconds()})
		r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: r.finishedRuns, Key: k}}})
		for _, a := range r.actions() {
			if a.Send != nil && a.Send.Frame.GuardHeartbeat != nil && a.Send.Frame.GuardHeartbeat.Worker != nil {
				announcements++
			}
		}
	}
	return announcements
}

// Guards against long tasks that are placed on a slow worker because the entries do not know that it
// is slow: a worker of half the speed is not sick, and is never quarantined.
func TestSlownessOfWorkerIsAnnounced(t *testing.T) {
	r := newRig(t)
	announcements := r.finishJobs(40, 2*paceExpectedTime)
	got := r.m.Worker().SlownessPercent
	r.Check(got > 150 && got < 210, qt.IsTrue, qt.Commentf("%d", got))
	r.Check(announcements <= 3, qt.IsTrue, qt.Commentf("%d announcements", announcements))
	r.Check(r.m.Worker().Slow, qt.IsFalse)
	r.finishJobs(60, paceExpectedTime) // the worker has recovered
	got = r.m.Worker().SlownessPercent
	r.Check(got < 140, qt.IsTrue, qt.Commentf("%d", got))
}

// Guards against frames to every entry because of callers' estimates that are off by a few tens of
// percent.
func TestWrongEstimatesCauseNoAnnouncements(t *testing.T) {
	r := newRig(t)
	announcements := 0
	for range 5 {
		for _, percent := range []time.Duration{70, 140, 110, 75, 130, 90, 120, 65} {
			announcements += r.finishJobs(1, paceExpectedTime*percent/100)
		}
	}
	r.Check(announcements, qt.Equals, 0)
}
