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

// harness is a dispatcher with guards g0, g1, ... and a simulated clock.
type harness struct {
	*Dispatcher
	c   *qt.C
	now time.Time
}

func newHarness(t *testing.T, guards, slots int) *harness {
	h := &harness{Dispatcher: New("ayni/reserva", DefaultPolicy(), testSeed), c: qt.New(t), now: epoch}
	for i := range guards {
		h.connectGuard(i, slots)
	}
	return h
}

func guardID(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprintf("g%d-1", i)) }

func (h *harness) connectGuard(i, slots int) {
	h.GuardConnected(h.now, &wire.Hello{Incarnation: guardID(i), Worker: fmt.Sprintf("w%d", i), Slots: slots, Load: wire.Load{Slots: slots, Healthy: true}})
}

// submitJob submits a job of n tasks whose deadline is one second away.
func (h *harness) submitJob(key string, n int) *errkind.Error {
	s := &Spec{ID: JobID{"ayni", key}, Deadline: h.now.Add(time.Second), Tasks: make([][]byte, n)}
	return h.Submit(h.now, s)
}

// takeActions returns the Start, Finish and Cancel actions since the last call.
func (h *harness) takeActions() (starts []Action, finished []*Outcome, cancels []Action) {
	for _, a := range h.Actions() {
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

func (h *harness) sendResult(a Action, kind errkind.Kind, ran errkind.Ran) {
	h.Result(h.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Kind: kind, Ran: ran, Status: 200})
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		next := h.NextTick()
		if next.IsZero() || next.After(end) {
			h.now = end
			return
		}
		h.now = next
		h.Tick(next)
	}
}

// Results of a job's tasks arrive in any order, and twice after a reconnect.
// The outcome must hold all of them in task order and must not be reported
// before the last one.
func TestResultsAreCompleteAndOrdered(t *testing.T) {
	h := newHarness(t, 2, 2)
	h.c.Assert(h.submitJob("k", 3) == nil, qt.IsTrue)
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 3)
	for i := len(starts) - 1; i >= 0; i-- {
		_, finished, _ := h.takeActions()
		h.c.Assert(finished, qt.HasLen, 0)
		a := starts[i]
		for range 2 {
			h.Result(h.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Status: 200 + a.Start.Ref.Task})
		}
	}
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 1)
	for i, r := range finished[0].Results {
		h.c.Check(r.Status, qt.Equals, 200+i)
	}
}

// Another entry fills a worker at the same moment, so that the guard refuses
// the task. The caller must not see that, and the task must not be sent again
// to a guard that refused it, since a refusal is final.
func TestRefusedTaskMovesToAnotherGuard(t *testing.T) {
	h := newHarness(t, 3, 1)
	h.submitJob("k", 1)
	seen := map[identity.Incarnation]bool{}
	for range 2 {
		starts, finished, _ := h.takeActions()
		h.c.Assert(finished, qt.HasLen, 0)
		h.c.Assert(starts, qt.HasLen, 1)
		h.c.Assert(seen[starts[0].Guard], qt.IsFalse)
		seen[starts[0].Guard] = true
		h.sendResult(starts[0], errkind.Busy, errkind.RanNo)
	}
	starts, _, _ := h.takeActions()
	h.c.Assert(starts[0].Start.WaitMs > 0, qt.IsTrue)
	h.sendResult(starts[0], errkind.Draining, errkind.RanNo)
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 1)
	h.c.Assert(finished[0].Err.Kind, qt.Equals, errkind.NotRun)
	h.c.Assert(finished[0].Err.Ran, qt.Equals, errkind.RanNo)
}

// One task of a job fails on its upstream while others are running or waiting.
// The caller must not get partial results, and must not wait for the slower
// tasks when the answer can no longer change.
func TestTaskFailureFailsJobImmediately(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.submitJob("k", 4)
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 3)
	h.sendResult(starts[0], errkind.None, 0)
	h.Offer(h.now, guardID(0), &wire.Offer{ID: 1, HoldMs: 25, Load: wire.Load{Running: 2, Queued: 1, Slots: 3}})
	offeredStarts, _, _ := h.takeActions()
	h.c.Assert(offeredStarts, qt.HasLen, 1)
	h.sendResult(starts[1], errkind.UpstreamFailed, errkind.RanYes)
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 1)
	h.c.Assert(finished[0].Results, qt.IsNil)
	h.c.Assert(finished[0].Err.Ran, qt.Equals, errkind.RanYes)
	h.c.Assert(finished[0].Failures, qt.HasLen, 3)
	h.sendResult(starts[2], errkind.None, 0) // late
	_, finished, _ = h.takeActions()
	h.c.Assert(finished, qt.HasLen, 0)
}

// A caller cancels while part of the job is running. If a task held by a guard
// were reported as not run, the caller would book elsewhere and the booking
// could happen twice.
func TestCancelReportsWhichTasksMayHaveRun(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submitJob("k", 2)
	h.submitJob("waits", 2)
	h.takeActions()
	h.Cancel(h.now, JobID{"ayni", "k"})
	h.Cancel(h.now, JobID{"ayni", "waits"})
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 2)
	h.c.Assert(finished[0].Err.Ran, qt.Equals, errkind.RanUnknown)
	h.c.Assert(finished[0].Failures[0].Ran, qt.Equals, errkind.RanUnknown)
	h.c.Assert(finished[0].Failures[1].Ran, qt.Equals, errkind.RanNo)
	h.c.Assert(finished[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// The deadline passes while one task is running and another is waiting for a
// slot. The caller must get an answer at that moment that states which of them
// may have run.
func TestDeadlineExpiry(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submitJob("k", 2)
	h.submitJob("waits", 1)
	h.advance(999 * time.Millisecond)
	_, finished, _ := h.takeActions()
	h.c.Assert(finished, qt.HasLen, 0)
	h.advance(time.Millisecond)
	_, finished, _ = h.takeActions()
	h.c.Assert(finished, qt.HasLen, 2)
	h.c.Assert(finished[0].Err.Kind, qt.Equals, errkind.TimedOut)
	h.c.Assert(finished[0].Failures[0].Kind, qt.Equals, errkind.TimedOut)
	h.c.Assert(finished[0].Failures[1], qt.Equals, TaskFailure{1, errkind.DeadlineExpired, errkind.RanNo, "the deadline passed"})
	h.c.Assert(finished[1].Err.Kind, qt.Equals, errkind.DeadlineExpired)
	h.c.Assert(finished[1].Err.Ran, qt.Equals, errkind.RanNo)
}

// A link breaks and the same guard reconnects. The start message may have been
// lost, so it is repeated to that guard only; sent to another guard, the task
// could run twice.
func TestReconnectResendsStarts(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.submitJob("k", 1)
	starts, _, _ := h.takeActions()
	first := starts[0]
	h.GuardDisconnected(h.now, first.Guard)
	h.advance(500 * time.Millisecond)
	starts, finished, _ := h.takeActions()
	h.c.Assert(len(starts)+len(finished), qt.Equals, 0)
	h.GuardConnected(h.now, &wire.Hello{Incarnation: first.Guard, Slots: 1})
	starts, _, _ = h.takeActions()
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Guard, qt.Equals, first.Guard)
	h.c.Assert(starts[0].Start.LeftMs, qt.Equals, int64(500))
}

// A worker crashes with a task on it and is restarted. Its state is lost, so
// nothing can determine whether the task ran. The job must fail as unknown
// without waiting for the old incarnation to reconnect.
func TestGuardRestartFailsSentTasks(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submitJob("k", 1)
	h.takeActions()
	h.GuardDisconnected(h.now, guardID(0))
	h.GuardConnected(h.now, &wire.Hello{Incarnation: "g0-2", Worker: "w0", Slots: 1})
	starts, finished, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 0)
	h.c.Assert(finished, qt.HasLen, 1)
	h.c.Assert(finished[0].Err.Kind, qt.Equals, errkind.WorkerLost)
	h.c.Assert(finished[0].Err.Ran, qt.Equals, errkind.RanUnknown)
}

// One report shows all slots as used by other entries, and no further report
// arrives because this entry has no task at any worker. Its queue must not wait
// until the deadline while workers are idle.
func TestStaleLoadReportsDecay(t *testing.T) {
	h := newHarness(t, 0, 0)
	p := DefaultPolicy()
	p.Weighting = PreferFewMessages // uses no reservations, which would lead to offers
	h.Configure(h.now, p)
	for i := range 2 {
		h.connectGuard(i, 2)
		h.Load(h.now, guardID(i), &wire.Load{Seq: 1, Running: 2, Slots: 2, Healthy: true})
	}
	h.submitJob("k", 1)
	h.advance(300 * time.Millisecond)
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 1)
}

// Guards against a task that is assigned while every slot is in use, and so waits behind a slow task
// while another worker becomes idle. It must be assigned when a slot is offered; an offered slot
// that is not needed must be declined immediately.
func TestWaitingTaskUsesFirstOffer(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.submitJob("k", 3)
	reserved := 0
	for _, a := range h.Actions() {
		if a.Reserve != nil {
			reserved++
		}
	}
	h.c.Assert(reserved, qt.Equals, 2)
	full := wire.Load{Seq: 5, Running: 1, Slots: 1, Healthy: true}
	h.Offer(h.now, guardID(1), &wire.Offer{ID: 9, HoldMs: 25, Load: full})
	starts, _, _ := h.takeActions()
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Guard, qt.Equals, guardID(1))
	h.c.Assert(starts[0].Start.OfferID, qt.Equals, uint64(9))
	h.Offer(h.now, guardID(0), &wire.Offer{ID: 4, HoldMs: 25, Load: full})
	actions := h.Actions()
	h.c.Assert(actions, qt.HasLen, 1)
	h.c.Assert(actions[0].Reserve, qt.DeepEquals, &wire.Reserve{})
}

// Jobs with long deadlines finish quickly. If their timers stayed in the heap,
// each would keep its tasks' bodies in memory until the deadline, and an entry
// at peak load would run out of memory within a minute.
func TestFinishedJobsReleaseTimers(t *testing.T) {
	h := newHarness(t, 2, 8)
	for i := range 100 {
		h.c.Assert(h.submitJob(fmt.Sprint(i), 4) == nil, qt.IsTrue)
		starts, _, _ := h.takeActions()
		for _, a := range starts {
			h.sendResult(a, errkind.None, errkind.RanYes)
		}
	}
	h.c.Assert(h.Jobs(), qt.Equals, 0)
	for _, pending := range h.timers.items {
		h.c.Check(pending.job == nil && pending.task == nil, qt.IsTrue)
	}
}
