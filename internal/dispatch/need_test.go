package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// upWith adds a guard whose worker has accelerators and memory.
func (b *bench) upWith(i, slots, accelerators, memoryMB int) {
	b.GuardUp(b.now, &wire.Hello{
		Incarnation: inc(i), Worker: fmt.Sprintf("w%d", i), Slots: slots,
		Accelerator: accelerators, MemoryMB: memoryMB, Load: wire.Load{Slots: slots, Healthy: true},
	})
}

func (b *bench) submitNeed(key string, n int, need Need) *errkind.Error {
	return b.Submit(b.now, &Spec{ID: JobID{"ayni", key}, Deadline: b.now.Add(time.Second), Tasks: make([][]byte, n), Need: need})
}

// A job asks for more accelerators, or more memory, than any worker has. Admitted,
// it would wait for its deadline, and its caller would then try it again.
func TestNeverFitsAnyWorker(t *testing.T) {
	b := newBench(t, 0, 0)
	big := Need{Accelerators: 3}
	b.c.Assert(b.submitNeed("nobody", 1, big).Kind, qt.Equals, errkind.NoWorkers)
	b.upWith(0, 8, 2, 64_000)
	for key, need := range map[string]Need{"accelerators": big, "memory": {MemoryMB: 64_001}} {
		err := b.submitNeed(key, 1, need)
		b.c.Assert(err.Kind, qt.Equals, errkind.NeverFits)
		b.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	}
	b.c.Assert(b.submitNeed("fits", 1, Need{Accelerators: 2, MemoryMB: 64_000}) == nil, qt.IsTrue)
	b.GuardDown(b.now, inc(0))
	b.c.Assert(b.submitNeed("in doubt", 1, big).Kind, qt.Equals, errkind.NeverFits)
	b.GuardLeaving(b.now, inc(0))
	b.up(1, 8)
	b.c.Assert(b.submitNeed("leaving", 1, Need{Accelerators: 2}).Kind, qt.Equals, errkind.NoWorkers)
}

// A big job fits one worker alone and fills it. Jobs behind it that any worker
// can run would wait for all of its tasks, though the other worker is idle.
func TestFewWorkersDoNotHoldUpOthers(t *testing.T) {
	b := newBench(t, 0, 0)
	b.upWith(0, 1, 1, 0)
	b.up(1, 4)
	b.c.Assert(b.submitNeed("big", 100, Need{Accelerators: 1}) == nil, qt.IsTrue)
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Guard, qt.Equals, inc(0))
	b.c.Assert(b.submit("small", 4) == nil, qt.IsTrue)
	b.c.Assert(b.queue.Len(), qt.Equals, 0)
	small, _, _ := b.taken()
	b.c.Assert(small, qt.HasLen, 4)
	b.answer(small[0], errkind.None, errkind.RanYes)
	none, _, _ := b.taken()
	b.c.Assert(none, qt.HasLen, 0)
	b.answer(starts[0], errkind.None, errkind.RanYes)
	next, _, _ := b.taken()
	b.c.Assert(next, qt.HasLen, 1)
	b.c.Assert(next[0].Guard, qt.Equals, inc(0))
}

// A worker has more slots than accelerators. With its slots filled by tasks that
// take two each, they would share accelerators, and fail or crawl.
func TestAcceleratorsBoundATask(t *testing.T) {
	b := newBench(t, 0, 0)
	b.upWith(0, 8, 5, 0)
	b.submitNeed("k", 3, Need{Accelerators: 2})
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 2)
	b.c.Assert(b.submit("plain", 1) == nil, qt.IsTrue)
	plain, _, _ := b.taken()
	b.c.Assert(plain, qt.HasLen, 1)
	b.Cancel(b.now, JobID{"ayni", "k"})
	b.answer(starts[0], errkind.None, errkind.RanYes)
	b.answer(starts[1], errkind.None, errkind.RanYes)
	b.c.Assert(b.pool.Workers[0].UsedAccelerators, qt.Equals, int16(0))
	b.c.Assert(b.submitNeed("next", 2, Need{Accelerators: 2}) == nil, qt.IsTrue)
	starts, _, _ = b.taken()
	b.c.Assert(starts, qt.HasLen, 2)
}

// Every slot is taken by other entries, so that tasks wait for offers, and the
// first offer comes from a worker that does not fit the first task. That task
// must not go there, nor keep the slot from the task behind it.
func TestOfferOfAWorkerThatDoesNotFit(t *testing.T) {
	b := newBench(t, 0, 0)
	b.upWith(0, 1, 1, 0)
	b.up(1, 1)
	for i := range 2 {
		b.Load(b.now, inc(i), &wire.Load{Seq: 1, Slots: 1, Running: 1, Healthy: true})
	}
	b.c.Assert(b.submitNeed("few", 1, Need{Accelerators: 1}) == nil, qt.IsTrue)
	b.c.Assert(b.submit("any", 1) == nil, qt.IsTrue)
	for _, i := range []int{1, 0} {
		key := [...]string{"few", "any"}[i]
		b.Offer(b.now, inc(i), &wire.Offer{ID: uint64(i + 1), Load: wire.Load{Seq: 2, Slots: 1, Running: 1, Healthy: true}})
		starts, _, _ := b.taken()
		b.c.Assert(starts, qt.HasLen, 1)
		b.c.Assert(starts[0].Start.Ref.Key, qt.Equals, key)
		b.c.Assert(starts[0].Guard, qt.Equals, inc(i))
	}
}

// The only worker with accelerators dies for good while others live. The jobs
// that wait for it are told at once, and truly, that they did not run.
func TestLastFittingWorkerGone(t *testing.T) {
	b := newBench(t, 0, 0)
	p := DefaultPolicy()
	p.Grace = 100 * time.Millisecond
	b.Configure(b.now, p)
	b.upWith(0, 1, 1, 0)
	b.up(1, 1)
	b.submitNeed("sent", 1, Need{Accelerators: 1})
	b.submitNeed("waits", 1, Need{Accelerators: 1})
	b.submit("other", 1)
	b.taken()
	b.GuardDown(b.now, inc(0))
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 0)
	b.advance(p.Grace)
	_, fin, _ = b.taken()
	b.c.Assert(fin, qt.HasLen, 2)
	b.c.Assert(fin[0].ID.Key, qt.Equals, "sent")
	b.c.Assert(fin[0].Err.Kind, qt.Equals, errkind.WorkerLost)
	b.c.Assert(fin[1].ID.Key, qt.Equals, "waits")
	b.c.Assert(fin[1].Err.Kind, qt.Equals, errkind.NoWorkers)
	b.c.Assert(fin[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// The only worker with accelerators has died, and will be replaced. A caller that
// is told "no worker could ever run this" gives up for good on a request that
// would be served in a minute.
func TestNeedOfADeadWorkerIsNotCalledImpossible(t *testing.T) {
	b := newBench(t, 0, 0)
	b.upWith(0, 1, 2, 64_000)
	b.up(1, 1)
	b.GuardDown(b.now, inc(0))
	b.advance(DefaultPolicy().Grace)
	err := b.submitNeed("fitted once", 1, Need{Accelerators: 2, MemoryMB: 64_000})
	b.c.Assert(err.Kind, qt.Equals, errkind.NoWorkers)
	b.c.Assert(err.After > 0, qt.IsTrue)
	b.c.Assert(b.submitNeed("fitted never", 1, Need{Accelerators: 3}).Kind, qt.Equals, errkind.NeverFits)
}

// The only worker with accelerators is replaced by its next incarnation. Jobs
// that wait for it would be refused just when it has come back.
func TestFittingWorkerRestarts(t *testing.T) {
	b := newBench(t, 1, 1)
	b.upWith(1, 1, 1, 0)
	b.submitNeed("sent", 1, Need{Accelerators: 1})
	b.submitNeed("waits", 1, Need{Accelerators: 1})
	b.taken()
	b.GuardDown(b.now, inc(1))
	b.GuardUp(b.now, &wire.Hello{Incarnation: "g1-2", Worker: "w1", Slots: 1, Accelerator: 1, Load: wire.Load{Slots: 1, Healthy: true}})
	starts, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 1)
	b.c.Assert(fin[0].ID.Key, qt.Equals, "sent")
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Start.Ref.Key, qt.Equals, "waits")
}
