package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// observeRuns records n runs with the given run time.
func (h *harness) observeRuns(n int, runTime time.Duration) {
	for range n {
		h.runTimes.Observe(runTime)
	}
}

// runJobs submits single-task jobs and answers every start immediately: guards
// in broken fail the task, the others complete it. It returns the number of
// starts per guard.
func (h *harness) runJobs(jobs int, broken map[identity.Incarnation]bool) map[identity.Incarnation]int {
	startsByGuard := map[identity.Incarnation]int{}
	for i := range jobs {
		h.submitJob(fmt.Sprintf("job%06d-%d", i, h.now.UnixNano()), 1)
		starts, _, _ := h.takeActions()
		for _, a := range starts {
			startsByGuard[a.Guard]++
			if broken[a.Guard] {
				h.sendResult(a, errkind.UpstreamFailed, errkind.RanYes)
			} else {
				h.sendResult(a, errkind.None, errkind.RanYes)
			}
		}
		h.Actions()
		h.advance(2 * time.Millisecond)
	}
	return startsByGuard
}

// Guards against one worker failing most jobs: it fails each task at once and so always looks idle,
// although ten others are healthy. It must be quarantined after a few failures, probed with single
// tasks, and be in full use soon after it has recovered.
func TestFailingWorkerIsQuarantinedAndRestored(t *testing.T) {
	h := newHarness(t, 11, 8)
	broken := map[identity.Incarnation]bool{guardID(4): true}
	h.c.Assert(h.runJobs(500, broken)[guardID(4)] <= maxFailuresBeforeQuarantine, qt.IsTrue)
	startsByGuard := h.runJobs(5000, broken)
	h.c.Assert(startsByGuard[guardID(4)] < 25, qt.IsTrue, qt.Commentf("%v", startsByGuard)) // 0.5%
	h.runJobs(10_000, nil)
	h.c.Assert(h.runJobs(1100, nil)[guardID(4)] >= 50, qt.IsTrue)
}

// maxFailuresBeforeQuarantine is the number of tasks that a worker may fail at
// one entry before it is quarantined.
const maxFailuresBeforeQuarantine = 3

// A release breaks every upstream. If all workers were quarantined one after
// the other, jobs would still be refused for lack of workers after the
// rollback.
func TestFleetWideFaultKeepsHalfOfWorkers(t *testing.T) {
	h := newHarness(t, 11, 8)
	broken := map[identity.Incarnation]bool{}
	for i := range 11 {
		broken[guardID(i)] = true
	}
	h.runJobs(1000, broken)
	h.c.Assert(h.pool.FleetStats.Usable >= 6, qt.IsTrue)
	h.c.Assert(h.submitJob("still admitted", 1) == nil, qt.IsTrue)
}

// A worker's VM freezes with tasks on it. Its link stays up for twenty seconds,
// and every task sent to it in that time would be lost.
func TestUnresponsiveWorkerGetsNoNewTasks(t *testing.T) {
	h := newHarness(t, 3, 4)
	h.observeRuns(100, 100*time.Millisecond)
	h.submitJob("frozen", 1)
	starts, _, _ := h.takeActions()
	frozen := starts[0].Guard
	h.advance(3 * time.Second)
	for i := range 20 {
		h.submitJob(fmt.Sprint("later", i), 1)
		starts, _, _ = h.takeActions()
		for _, a := range starts {
			h.c.Assert(a.Guard, qt.Not(qt.Equals), frozen)
			h.sendResult(a, errkind.None, errkind.RanYes)
		}
	}
	h.Load(h.now, frozen, &wire.Load{Seq: 9, Slots: 4, Healthy: true})
	h.c.Assert(h.pool.FleetStats.Usable, qt.Equals, 3)
}

// An upstream goes down while its guard keeps running. The guard reports no
// slots, and tasks sent to it would only be refused.
func TestUnhealthyUpstreamGetsNoTasks(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.Load(h.now, guardID(0), &wire.Load{Seq: 1})
	for i := range 4 {
		h.submitJob(fmt.Sprint("job", i), 1)
	}
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 4)
	for _, a := range starts {
		h.c.Assert(a.Guard, qt.Equals, guardID(1))
	}
}

// The only worker crashes and does not return. Jobs waiting for it could only
// wait for their deadline; they must fail as soon as the worker is removed.
func TestLossOfLastWorkerFailsJobs(t *testing.T) {
	h := newHarness(t, 1, 1)
	p := DefaultPolicy()
	p.GracePeriod = 100 * time.Millisecond
	h.Configure(h.now, p)
	h.submitJob("sent", 1)
	h.submitJob("waits", 1)
	h.takeActions()
	h.GuardDisconnected(h.now, guardID(0))
	h.c.Assert(h.submitJob("in doubt", 1) == nil, qt.IsTrue)
	h.advance(100 * time.Millisecond)
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 3)
	ran := map[string]errkind.Ran{}
	for _, o := range finished {
		ran[o.ID.Key] = o.Err.Ran
	}
	h.c.Assert(ran, qt.DeepEquals, map[string]errkind.Ran{
		"sent": errkind.RanUnknown, "waits": errkind.RanNo, "in doubt": errkind.RanNo,
	})
	err := h.submitJob("later", 1)
	h.c.Assert(err.Kind, qt.Equals, errkind.NoWorkers)
	h.c.Assert(err.After > 0, qt.IsTrue)
}

// More work arrives than can be done before its deadline. If it were admitted,
// it would run in part and then fail; it must be refused immediately, with a
// delay after which to retry.
func TestAdmissionRefusesLateJobs(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.observeRuns(100, 100*time.Millisecond)
	for i := range 8 {
		h.submitJob(fmt.Sprint("job", i), 1)
	}
	err := h.submitJob("too late", 1)
	h.c.Assert(err.Kind, qt.Equals, errkind.CannotFinishInTime)
	h.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	h.c.Assert(err.After >= minRetryDelay && err.After < time.Second, qt.IsTrue)
	h.advance(999 * time.Millisecond)
	_, finished, _ := h.takeActions()
	h.c.Assert(len(finished) > 0, qt.IsFalse)
}

// Each reason for refusing a job must be reported immediately and with the
// correct kind.
func TestAdmissionRefusals(t *testing.T) {
	h := newHarness(t, 1, 1)
	p := DefaultPolicy()
	p.MaxQueued = 10
	p.Entries = 2
	p.Teams = map[string]Quota{"small": {StartsPerSecond: 4, Burst: 4}}
	h.Configure(h.now, p)
	submitForTeam := func(key string, n int) *errkind.Error {
		return h.Submit(h.now, &Spec{ID: JobID{"ayni", key}, Team: "small", Deadline: h.now.Add(time.Hour), Tasks: make([][]byte, n)})
	}
	h.c.Assert(h.submitJob("none", 0).Kind, qt.Equals, errkind.BadRequest)
	h.c.Assert(h.submitJob("huge", 11).Kind, qt.Equals, errkind.NeverFits)
	h.c.Assert(h.Submit(h.now, &Spec{Deadline: h.now, Tasks: make([][]byte, 1)}).Kind, qt.Equals, errkind.DeadlineExpired)
	h.c.Assert(submitForTeam("first", 2) == nil, qt.IsTrue)
	err := submitForTeam("over", 1)
	h.c.Assert(err.Kind, qt.Equals, errkind.OverQuota)
	h.c.Assert(err.After, qt.Equals, 500*time.Millisecond)
	h.c.Assert(h.submitJob("fills", 9) == nil, qt.IsTrue)
	err = h.submitJob("full", 1)
	h.c.Assert(err.Kind, qt.Equals, errkind.Overloaded)
	h.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	h.advance(500 * time.Millisecond)
	h.c.Assert(submitForTeam("again", 1).Kind, qt.Equals, errkind.Overloaded)
}

// Every guard refuses every task, as when all upstreams drain at once. Sent to
// all guards in turn, each task would cause eleven times its messages during
// the outage.
func TestRetryBudgetLimitsOutageTraffic(t *testing.T) {
	h := newHarness(t, 11, 100)
	starts := 0
	const jobs = 2000
	for i := range jobs {
		h.submitJob(fmt.Sprint("job", i), 1)
		for {
			sent, _, _ := h.takeActions()
			if len(sent) == 0 {
				break
			}
			starts += len(sent)
			for _, a := range sent {
				h.sendResult(a, errkind.StoreUnavailable, errkind.RanNo)
			}
		}
	}
	h.c.Assert(starts <= jobs+jobs/5+21, qt.IsTrue, qt.Commentf("%d starts", starts))
}

// One of two workers is quarantined for its failures, and then the other one
// stops as planned. The quarantined worker is all that remains; refusing every
// job for lack of workers would turn a planned stop into an outage.
func TestLastWorkerIsRestoredFromQuarantine(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.runJobs(200, map[identity.Incarnation]bool{guardID(0): true})
	h.c.Assert(h.pool.FleetStats.Excluded, qt.Equals, 1)
	h.GuardDraining(h.now, guardID(1))
	h.c.Assert(h.submitJob("after the stop", 1) == nil, qt.IsTrue)
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Guard, qt.Equals, guardID(0))
}
