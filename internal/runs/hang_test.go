package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Whatever runs on a worker stands still, and it answers as ever. Each run was given the
// time in which one that is merely slow would advance, and new ones came all the while:
// a caller of 200 ms waited for half a second, and of 900 ms for a second and a half.
func TestRunsOnHungWorkerAreStopped(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minHangJobs)...)
	r.reportProgress(20*time.Millisecond, 10, keys...)
	r.Check(r.stops(), qt.HasLen, 0)
	r.reportProgress(minHangAge, 10, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.DeepEquals, keys)
}

// A run stands still beside one that advances, or the runs of one job alone do. That tells
// nothing of the worker.
func TestSingleStalledRunIsNotAHang(t *testing.T) {
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

// A run that has just begun has not advanced yet, which does not make the others hang.
func TestNewRunDoesNotCountAsStalled(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minHangJobs)...)
	r.reportProgress(40*time.Millisecond, 30, keys...)
	r.reportProgress(minHangAge-10*time.Millisecond, 60, keys...)
	r.reportProgress(10*time.Millisecond, 60, append(keys, r.startJobs(false, "new")...)...)
	r.Check(r.m.Worker().Slow, qt.IsFalse)
	r.Check(r.stops(), qt.HasLen, 0)
}
