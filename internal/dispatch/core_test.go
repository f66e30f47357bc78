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

const testSeed = 7

var epoch = time.Unix(1_790_000_000, 0)

// bench is a Core with guards g0, g1, ... and a clock.
type bench struct {
	*Core
	c   *qt.C
	now time.Time
}

func newBench(t *testing.T, guards, slots int) *bench {
	b := &bench{Core: New("ayni/reserva", DefaultPolicy(), testSeed), c: qt.New(t), now: epoch}
	for i := range guards {
		b.up(i, slots)
	}
	return b
}

func inc(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprintf("g%d-1", i)) }

func (b *bench) up(i, slots int) {
	b.GuardUp(b.now, &wire.Hello{Incarnation: inc(i), Worker: fmt.Sprintf("w%d", i), Slots: slots, Load: wire.Load{Slots: slots, Healthy: true}})
}

// submit sends a job of n tasks with a deadline in a second.
func (b *bench) submit(key string, n int) *errkind.Error {
	s := &Spec{ID: JobID{"ayni", key}, Deadline: b.now.Add(time.Second), Tasks: make([][]byte, n)}
	return b.Submit(b.now, s)
}

// starts takes the Start actions and gives guard by task of job key.
func (b *bench) taken() (starts []Action, finished []*Outcome, cancels []Action) {
	for _, a := range b.Actions() {
		switch {
		case a.Start != nil:
			starts = append(starts, a)
		case a.Finish != nil:
			finished = append(finished, a.Finish)
		case a.Cancel != nil:
			cancels = append(cancels, a)
		}
	}
	return starts, finished, cancels
}

func (b *bench) answer(a Action, kind errkind.Kind, ran errkind.Ran) {
	b.Result(b.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Kind: kind, Ran: ran, Status: 200})
}

func (b *bench) advance(d time.Duration) {
	for end := b.now.Add(d); ; {
		next := b.NextTick()
		if next.IsZero() || next.After(end) {
			b.now = end
			return
		}
		b.now = next
		b.Tick(next)
	}
}

// Answers of a job's tasks come in any order, and twice after a reconnect. A
// caller would see results swapped, or an answer before the last task's.
func TestWholeAnswerInOrder(t *testing.T) {
	b := newBench(t, 2, 2)
	b.c.Assert(b.submit("k", 3) == nil, qt.IsTrue)
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 3)
	for i := len(starts) - 1; i >= 0; i-- {
		_, fin, _ := b.taken()
		b.c.Assert(fin, qt.HasLen, 0)
		a := starts[i]
		for range 2 {
			b.Result(b.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Status: 200 + a.Start.Ref.Task})
		}
	}
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 1)
	for i, r := range fin[0].Results {
		b.c.Check(r.Status, qt.Equals, 200+i)
	}
}

// Another entry fills a worker at the same moment, and the guard refuses the
// task. The caller must not see that, and the task must not go back to a guard
// that said for good that it will not start it.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	b := newBench(t, 3, 1)
	b.submit("k", 1)
	seen := map[identity.Incarnation]bool{}
	for range 2 {
		starts, fin, _ := b.taken()
		b.c.Assert(fin, qt.HasLen, 0)
		b.c.Assert(starts, qt.HasLen, 1)
		b.c.Assert(seen[starts[0].Guard], qt.IsFalse)
		seen[starts[0].Guard] = true
		b.answer(starts[0], errkind.Busy, errkind.RanNo)
	}
	starts, _, _ := b.taken()
	b.c.Assert(starts[0].Start.WaitMs > 0, qt.IsTrue)
	b.answer(starts[0], errkind.Draining, errkind.RanNo)
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 1)
	b.c.Assert(fin[0].Err.Kind, qt.Equals, errkind.NotRun)
	b.c.Assert(fin[0].Err.Ran, qt.Equals, errkind.RanNo)
}

// One task of a job fails on its upstream while others run or wait. A caller
// that got the rest would act on half an answer; one that had to wait for the
// stragglers would learn late what can no longer change.
func TestOneFailureFailsTheJobAtOnce(t *testing.T) {
	b := newBench(t, 1, 3)
	b.submit("k", 4)
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 3)
	b.answer(starts[0], errkind.None, 0)
	b.Offer(b.now, inc(0), &wire.Offer{ID: 1, HoldMs: 25, Load: wire.Load{Running: 2, Queued: 1, Slots: 3}})
	starts2, _, _ := b.taken()
	b.c.Assert(starts2, qt.HasLen, 1)
	b.answer(starts[1], errkind.UpstreamFailed, errkind.RanYes)
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 1)
	b.c.Assert(fin[0].Results, qt.IsNil)
	b.c.Assert(fin[0].Err.Ran, qt.Equals, errkind.RanYes)
	b.c.Assert(fin[0].Failures, qt.HasLen, 3)
	b.answer(starts[2], errkind.None, 0) // late
	_, fin, _ = b.taken()
	b.c.Assert(fin, qt.HasLen, 0)
}

// A caller cancels while part of the job runs. Told "not run" for a task that
// a guard holds, it would book the escort a second time elsewhere.
func TestCancelTellsTheTruthAtOnce(t *testing.T) {
	b := newBench(t, 1, 1)
	b.submit("k", 2)
	b.submit("waits", 2)
	b.taken()
	b.Cancel(b.now, JobID{"ayni", "k"})
	b.Cancel(b.now, JobID{"ayni", "waits"})
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 2)
	b.c.Assert(fin[0].Err.Ran, qt.Equals, errkind.RanUnknown)
	b.c.Assert(fin[0].Failures[0].Ran, qt.Equals, errkind.RanUnknown)
	b.c.Assert(fin[0].Failures[1].Ran, qt.Equals, errkind.RanNo)
	b.c.Assert(fin[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// The deadline passes while one task runs and another waits for a slot. The
// caller must be answered at that moment, and told which of them may have run.
func TestDeadlinePasses(t *testing.T) {
	b := newBench(t, 1, 1)
	b.submit("k", 2)
	b.submit("waits", 1)
	b.advance(999 * time.Millisecond)
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 0)
	b.advance(time.Millisecond)
	_, fin, _ = b.taken()
	b.c.Assert(fin, qt.HasLen, 2)
	b.c.Assert(fin[0].Err.Kind, qt.Equals, errkind.TimedOut)
	b.c.Assert(fin[0].Failures[0].Kind, qt.Equals, errkind.TimedOut)
	b.c.Assert(fin[0].Failures[1], qt.Equals, TaskFailure{1, errkind.DeadlineExpired, errkind.RanNo, "the deadline passed"})
	b.c.Assert(fin[1].Err.Kind, qt.Equals, errkind.DeadlineExpired)
	b.c.Assert(fin[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// A link breaks and returns with the same guard behind it. The start may have
// been lost on it, so it is repeated there, and there only; sent to another
// guard, the task could run twice.
func TestLinkReturns(t *testing.T) {
	b := newBench(t, 2, 1)
	b.submit("k", 1)
	starts, _, _ := b.taken()
	first := starts[0]
	b.GuardDown(b.now, first.Guard)
	b.advance(500 * time.Millisecond)
	starts, fin, _ := b.taken()
	b.c.Assert(len(starts)+len(fin), qt.Equals, 0)
	b.GuardUp(b.now, &wire.Hello{Incarnation: first.Guard, Slots: 1})
	starts, _, _ = b.taken()
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Guard, qt.Equals, first.Guard)
	b.c.Assert(starts[0].Start.LeftMs, qt.Equals, int64(500))
}

// A worker dies with a task on it and is restarted. Its memory is gone, so
// nobody can tell whether the task ran; the caller is told so without waiting
// for a link that cannot come back.
func TestGuardRestarts(t *testing.T) {
	b := newBench(t, 1, 1)
	b.submit("k", 1)
	b.taken()
	b.GuardDown(b.now, inc(0))
	b.GuardUp(b.now, &wire.Hello{Incarnation: "g0-2", Worker: "w0", Slots: 1})
	starts, fin, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 0)
	b.c.Assert(fin, qt.HasLen, 1)
	b.c.Assert(fin[0].Err.Kind, qt.Equals, errkind.WorkerLost)
	b.c.Assert(fin[0].Err.Ran, qt.Equals, errkind.RanUnknown)
}

// One report shows every slot as taken by others, and then nothing comes as
// this entry has no task anywhere. Its queue would wait until the deadline
// beside idle workers.
func TestOldReportsAreDoubted(t *testing.T) {
	b := newBench(t, 0, 0)
	p := DefaultPolicy()
	p.Weighting = WeighMessages // makes no reservations, which would bring an offer
	b.Configure(b.now, p)
	for i := range 2 {
		b.up(i, 2)
		b.Load(b.now, inc(i), &wire.Load{Seq: 1, Running: 2, Slots: 2, Healthy: true})
	}
	b.submit("k", 1)
	b.advance(300 * time.Millisecond)
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 1)
}

// Every slot is taken and a task waits. Bound to a worker now, it could land
// behind a straggler while another worker falls idle, and the caller would wait
// for nothing. It is bound when a slot is offered, and a slot that nobody needs
// is given back at once.
func TestWaitingTaskTakesTheFirstOffer(t *testing.T) {
	b := newBench(t, 2, 1)
	b.submit("k", 3)
	reserved := 0
	for _, a := range b.Actions() {
		if a.Reserve != nil {
			reserved++
		}
	}
	b.c.Assert(reserved, qt.Equals, 2)
	full := wire.Load{Seq: 5, Running: 1, Slots: 1, Healthy: true}
	b.Offer(b.now, inc(1), &wire.Offer{ID: 9, HoldMs: 25, Load: full})
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Guard, qt.Equals, inc(1))
	b.c.Assert(starts[0].Start.Offered, qt.Equals, uint64(9))
	b.Offer(b.now, inc(0), &wire.Offer{ID: 4, HoldMs: 25, Load: full})
	acts := b.Actions()
	b.c.Assert(acts, qt.HasLen, 1)
	b.c.Assert(acts[0].Reserve, qt.DeepEquals, &wire.Reserve{})
}

// Jobs with long deadlines are answered quickly. If their timers stayed, each
// would hold its tasks' bodies until the deadline, and an entry at the peak
// would run out of memory within a minute.
func TestAnsweredJobsLeaveNothingBehind(t *testing.T) {
	b := newBench(t, 2, 8)
	for i := range 100 {
		b.c.Assert(b.submit(fmt.Sprint(i), 4) == nil, qt.IsTrue)
		starts, _, _ := b.taken()
		for _, a := range starts {
			b.answer(a, errkind.None, errkind.RanYes)
		}
	}
	b.c.Assert(b.Jobs(), qt.Equals, 0)
	for _, tm := range b.timers.items {
		b.c.Check(tm.job == nil && tm.task == nil, qt.IsTrue)
	}
}
