package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a slow reaction to a worker on which all runs are stalled while it answers as
// usual. Each run was given the time in which a slow one would advance, and new ones arrived
// meanwhile: callers of 200 ms waited for half a second, callers of 900 ms for 1.5 s.
func TestRunsOnHungWorkerAreStopped(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minHangJobs)...)
	r.reportProgress(20*time.Millisecond, 10, keys...)
	r.Check(r.stops(), qt.HasLen, 0)
	r.reportProgress(minHangAge, 10, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.DeepEquals, keys)
}

// Guards against treating a worker as hung because some of its runs are stalled while another
// run advances.
func TestAdvancingRunRulesOutAHang(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minHangJobs+1)...)
	r.reportProgress(20*time.Millisecond, 10, keys...)
	r.now += minHangAge
	var a HoldAnswer
	for i, k := range keys {
		percent := int64(10)
		if i == 0 {
			percent = 30
		}
		a.Active = append(a.Active, Active{Key: k, Percent: percent})
	}
	r.answerHold(testWorker, a)
	r.Check(r.m.Worker().Slow, qt.IsFalse)
	r.Check(r.stops(), qt.HasLen, 0)
}

// Guards against counting a run that has just started, and has not advanced yet, as stalled.
func TestNewRunDoesNotCountAsStalled(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minHangJobs)...)
	r.reportProgress(40*time.Millisecond, 30, keys...)
	r.reportProgress(minHangAge-10*time.Millisecond, 60, keys...)
	r.reportProgress(10*time.Millisecond, 60, append(keys, r.startJobs(false, "new")...)...)
	r.Check(r.m.Worker().Slow, qt.IsFalse)
	r.Check(r.stops(), qt.HasLen, 0)
}
