package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// connectGuardWith connects a guard whose worker has accelerators and memory.
func (h *harness) connectGuardWith(i, slots, accelerators, memoryMB int) {
	h.GuardConnected(h.now, &wire.Hello{
		Incarnation: guardID(i), Worker: fmt.Sprintf("w%d", i), Slots: slots,
		Accelerator: accelerators, MemoryMB: memoryMB, Load: wire.Load{Slots: slots, Healthy: true},
	})
}

func (h *harness) submitWithNeed(key string, n int, need Need) *errkind.Error {
	return h.Submit(h.now, &Spec{ID: JobID{"ayni", key}, Deadline: h.now.Add(time.Second), Tasks: make([][]byte, n), Need: need})
}

// A job needs more accelerators or more memory than any worker has. If it were
// admitted, it would wait for its deadline, and the caller would then submit it
// again.
func TestNeverFitsAnyWorker(t *testing.T) {
	h := newHarness(t, 0, 0)
	big := Need{Accelerators: 3}
	h.c.Assert(h.submitWithNeed("nobody", 1, big).Kind, qt.Equals, errkind.NoWorkers)
	h.connectGuardWith(0, 8, 2, 64_000)
	for key, need := range map[string]Need{"accelerators": big, "memory": {MemoryMB: 64_001}} {
		err := h.submitWithNeed(key, 1, need)
		h.c.Assert(err.Kind, qt.Equals, errkind.NeverFits)
		h.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	}
	h.c.Assert(h.submitWithNeed("fits", 1, Need{Accelerators: 2, MemoryMB: 64_000}) == nil, qt.IsTrue)
	h.GuardDisconnected(h.now, guardID(0))
	h.c.Assert(h.submitWithNeed("in doubt", 1, big).Kind, qt.Equals, errkind.NeverFits)
	h.GuardDraining(h.now, guardID(0))
	h.connectGuard(1, 8)
	h.c.Assert(h.submitWithNeed("leaving", 1, Need{Accelerators: 2}).Kind, qt.Equals, errkind.NoWorkers)
}

// A large job fits only one worker and fills it. Jobs behind it that any worker
// can run must not wait for its tasks while the other worker is idle.
func TestParkedTasksDoNotBlockOthers(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connectGuardWith(0, 1, 1, 0)
	h.connectGuard(1, 4)
	h.c.Assert(h.submitWithNeed("big", 100, Need{Accelerators: 1}) == nil, qt.IsTrue)
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Guard, qt.Equals, guardID(0))
	h.c.Assert(h.submitJob("small", 4) == nil, qt.IsTrue)
	h.c.Assert(h.queue.Len(), qt.Equals, 0)
	small, _, _ := h.takeActions()
	h.c.Assert(small, qt.HasLen, 4)
	h.sendResult(small[0], errkind.None, errkind.RanYes)
	none, _, _ := h.takeActions()
	h.c.Assert(none, qt.HasLen, 0)
	h.sendResult(starts[0], errkind.None, errkind.RanYes)
	next, _, _ := h.takeActions()
	h.c.Assert(next, qt.HasLen, 1)
	h.c.Assert(next[0].Guard, qt.Equals, guardID(0))
}

// A worker has more slots than accelerators. If all its slots were filled with
// tasks that use two accelerators each, the tasks would share accelerators and
// fail or run very slowly.
func TestAcceleratorsLimitConcurrentTasks(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connectGuardWith(0, 8, 5, 0)
	h.submitWithNeed("k", 3, Need{Accelerators: 2})
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 2)
	h.c.Assert(h.submitJob("plain", 1) == nil, qt.IsTrue)
	plain, _, _ := h.takeActions()
	h.c.Assert(plain, qt.HasLen, 1)
	h.Cancel(h.now, JobID{"ayni", "k"})
	h.sendResult(starts[0], errkind.None, errkind.RanYes)
	h.sendResult(starts[1], errkind.None, errkind.RanYes)
	h.c.Assert(h.pool.Workers[0].UsedAccelerators, qt.Equals, int16(0))
	h.c.Assert(h.submitWithNeed("next", 2, Need{Accelerators: 2}) == nil, qt.IsTrue)
	starts, _, _ = h.takeActions()
	h.c.Assert(starts, qt.HasLen, 2)
}

// Every slot is used by other entries, so that tasks wait for offers, and the
// first offer comes from a worker that does not fit the first task. That task
// must not be sent there, nor block the slot for the task behind it.
func TestOfferFromWorkerThatDoesNotFit(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connectGuardWith(0, 1, 1, 0)
	h.connectGuard(1, 1)
	for i := range 2 {
		h.Load(h.now, guardID(i), &wire.Load{Seq: 1, Slots: 1, Running: 1, Healthy: true})
	}
	h.c.Assert(h.submitWithNeed("few", 1, Need{Accelerators: 1}) == nil, qt.IsTrue)
	h.c.Assert(h.submitJob("any", 1) == nil, qt.IsTrue)
	for _, i := range []int{1, 0} {
		key := [...]string{"few", "any"}[i]
		h.Offer(h.now, guardID(i), &wire.Offer{ID: uint64(i + 1), Load: wire.Load{Seq: 2, Slots: 1, Running: 1, Healthy: true}})
		starts, _, _ := h.takeActions()
		h.c.Assert(starts, qt.HasLen, 1)
		h.c.Assert(starts[0].Start.Ref.Key, qt.Equals, key)
		h.c.Assert(starts[0].Guard, qt.Equals, guardID(i))
	}
}

// The only worker with accelerators crashes and does not return, while other
// workers keep running. The jobs waiting for it must fail immediately and be
// reported as not run.
func TestLossOfLastFittingWorkerFailsJobs(t *testing.T) {
	h := newHarness(t, 0, 0)
	p := DefaultPolicy()
	p.GracePeriod = 100 * time.Millisecond
	h.Configure(h.now, p)
	h.connectGuardWith(0, 1, 1, 0)
	h.connectGuard(1, 1)
	h.submitWithNeed("sent", 1, Need{Accelerators: 1})
	h.submitWithNeed("waits", 1, Need{Accelerators: 1})
	h.submitJob("other", 1)
	h.takeActions()
	h.GuardDisconnected(h.now, guardID(0))
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 0)
	h.advance(p.GracePeriod)
	_, finished, _ = h.takeActions()
	h.c.Assert(finished, qt.HasLen, 2)
	h.c.Assert(finished[0].ID.Key, qt.Equals, "sent")
	h.c.Assert(finished[0].Err.Kind, qt.Equals, errkind.WorkerLost)
	h.c.Assert(finished[1].ID.Key, qt.Equals, "waits")
	h.c.Assert(finished[1].Err.Kind, qt.Equals, errkind.NoWorkers)
	h.c.Assert(finished[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// The only worker with accelerators has crashed and will be replaced. If the
// refusal claimed that no worker could ever run the job, the caller would give
// up on a request that could be served a minute later.
func TestNeedOfLostWorkerIsRetryable(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.connectGuardWith(0, 1, 2, 64_000)
	h.connectGuard(1, 1)
	h.GuardDisconnected(h.now, guardID(0))
	h.advance(DefaultPolicy().GracePeriod)
	err := h.submitWithNeed("fitted once", 1, Need{Accelerators: 2, MemoryMB: 64_000})
	h.c.Assert(err.Kind, qt.Equals, errkind.NoWorkers)
	h.c.Assert(err.After > 0, qt.IsTrue)
	h.c.Assert(h.submitWithNeed("fitted never", 1, Need{Accelerators: 3}).Kind, qt.Equals, errkind.NeverFits)
}

// The only worker with accelerators is replaced by its next incarnation. Jobs
// waiting for it must not be refused just when it has returned.
func TestRestartOfFittingWorkerKeepsWaitingJobs(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.connectGuardWith(1, 1, 1, 0)
	h.submitWithNeed("sent", 1, Need{Accelerators: 1})
	h.submitWithNeed("waits", 1, Need{Accelerators: 1})
	h.takeActions()
	h.GuardDisconnected(h.now, guardID(1))
	h.GuardConnected(h.now, &wire.Hello{Incarnation: "g1-2", Worker: "w1", Slots: 1, Accelerator: 1, Load: wire.Load{Slots: 1, Healthy: true}})
	starts, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 1)
	h.c.Assert(finished[0].ID.Key, qt.Equals, "sent")
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Start.Ref.Key, qt.Equals, "waits")
}
