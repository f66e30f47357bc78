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

// learn lets the Core see n runs of the given length.
func (b *bench) learn(n int, run time.Duration) {
	for range n {
		b.runs.Observe(run)
	}
}

// serve answers every start for a while: guards in broken fail it at once, the
// others answer after their run. It gives the starts by guard.
func (b *bench) serve(jobs int, broken map[identity.Incarnation]bool) map[identity.Incarnation]int {
	count := map[identity.Incarnation]int{}
	for i := range jobs {
		b.submit(fmt.Sprintf("job%06d-%d", i, b.now.UnixNano()), 1)
		starts, _, _ := b.taken()
		for _, a := range starts {
			count[a.Guard]++
			if broken[a.Guard] {
				b.answer(a, errkind.UpstreamFailed, errkind.RanYes)
			} else {
				b.answer(a, errkind.None, errkind.RanYes)
			}
		}
		b.Actions()
		b.advance(2 * time.Millisecond)
	}
	return count
}

// One worker fails every task at once and so always looks idle. Callers would
// see most of their bookings fail while ten sound workers stand by. It is shut
// out after a few failures, probed with single tasks, and wholly back soon after
// it is sound again.
func TestFailingWorkerIsShutOutAndComesBack(t *testing.T) {
	b := newBench(t, 11, 8)
	broken := map[identity.Incarnation]bool{inc(4): true}
	b.c.Assert(b.serve(500, broken)[inc(4)] <= failedBeforeQuarantine, qt.IsTrue)
	late := b.serve(5000, broken)
	b.c.Assert(late[inc(4)] < 25, qt.IsTrue, qt.Commentf("%v", late)) // 0.5%
	b.serve(10_000, nil)
	b.c.Assert(b.serve(1100, nil)[inc(4)] >= 50, qt.IsTrue)
}

// failedBeforeQuarantine is how many tasks a worker may fail at one entry
// before it gets no more.
const failedBeforeQuarantine = 3

// A release breaks every upstream. Shut out one after the other, none would be
// left, and after the rollback callers would still be told that there is no
// worker.
func TestFleetWideFaultKeepsHalfThePool(t *testing.T) {
	b := newBench(t, 11, 8)
	broken := map[identity.Incarnation]bool{}
	for i := range 11 {
		broken[inc(i)] = true
	}
	b.serve(1000, broken)
	b.c.Assert(b.pool.FleetStats.Usable >= 6, qt.IsTrue)
	b.c.Assert(b.submit("still taken", 1) == nil, qt.IsTrue)
}

// A worker's VM freezes with tasks on it. Its link stays up for twenty seconds,
// and every task sent to it in that time would be lost to its caller.
func TestSilentWorkerGetsNoNewWork(t *testing.T) {
	b := newBench(t, 3, 4)
	b.learn(100, 100*time.Millisecond)
	b.submit("frozen", 1)
	starts, _, _ := b.taken()
	frozen := starts[0].Guard
	b.advance(3 * time.Second)
	for i := range 20 {
		b.submit(fmt.Sprint("later", i), 1)
		starts, _, _ = b.taken()
		for _, a := range starts {
			b.c.Assert(a.Guard, qt.Not(qt.Equals), frozen)
			b.answer(a, errkind.None, errkind.RanYes)
		}
	}
	b.Load(b.now, frozen, &wire.Load{Seq: 9, Slots: 4, Healthy: true})
	b.c.Assert(b.pool.FleetStats.Usable, qt.Equals, 3)
}

// An upstream goes down while its guard lives on. The guard reports no slots,
// and tasks sent to it would only be refused.
func TestUnhealthyUpstreamGetsNoWork(t *testing.T) {
	b := newBench(t, 2, 4)
	b.Load(b.now, inc(0), &wire.Load{Seq: 1})
	for i := range 4 {
		b.submit(fmt.Sprint("job", i), 1)
	}
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 4)
	for _, a := range starts {
		b.c.Assert(a.Guard, qt.Equals, inc(1))
	}
}

// The only worker dies and does not come back. Jobs that wait for it could only
// wait for their deadline; their callers are told at once when it is given up.
func TestLastWorkerGone(t *testing.T) {
	b := newBench(t, 1, 1)
	p := DefaultPolicy()
	p.Grace = 100 * time.Millisecond
	b.Configure(b.now, p)
	b.submit("sent", 1)
	b.submit("waits", 1)
	b.taken()
	b.GuardDown(b.now, inc(0))
	b.c.Assert(b.submit("in doubt", 1) == nil, qt.IsTrue)
	b.advance(100 * time.Millisecond)
	_, fin, _ := b.taken()
	b.c.Assert(fin, qt.HasLen, 3)
	ran := map[string]errkind.Ran{}
	for _, o := range fin {
		ran[o.ID.Key] = o.Err.Ran
	}
	b.c.Assert(ran, qt.DeepEquals, map[string]errkind.Ran{
		"sent": errkind.RanUnknown, "waits": errkind.RanNo, "in doubt": errkind.RanNo,
	})
	err := b.submit("later", 1)
	b.c.Assert(err.Kind, qt.Equals, errkind.NoWorkers)
	b.c.Assert(err.After > 0, qt.IsTrue)
}

// More work arrives than can be done before its deadline. Accepted, it would run
// in part and fail after all; the caller is told at once, and when to come back.
func TestRefusedInTime(t *testing.T) {
	b := newBench(t, 1, 1)
	b.learn(100, 100*time.Millisecond)
	for i := range 8 {
		b.submit(fmt.Sprint("job", i), 1)
	}
	err := b.submit("too late", 1)
	b.c.Assert(err.Kind, qt.Equals, errkind.CannotFinishInTime)
	b.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	b.c.Assert(err.After >= leastAfter && err.After < time.Second, qt.IsTrue)
	b.advance(999 * time.Millisecond)
	_, fin, _ := b.taken()
	b.c.Assert(len(fin) > 0, qt.IsFalse)
}

// Every refusal of the list, told at once and truthfully.
func TestRefusals(t *testing.T) {
	b := newBench(t, 1, 1)
	p := DefaultPolicy()
	p.MaxQueued = 10
	p.Entries = 2
	p.Teams = map[string]Quota{"small": {StartsPerSecond: 4, Burst: 4}}
	b.Configure(b.now, p)
	team := func(key string, n int) *errkind.Error {
		return b.Submit(b.now, &Spec{ID: JobID{"ayni", key}, Team: "small", Deadline: b.now.Add(time.Hour), Tasks: make([][]byte, n)})
	}
	b.c.Assert(b.submit("none", 0).Kind, qt.Equals, errkind.BadRequest)
	b.c.Assert(b.submit("huge", 11).Kind, qt.Equals, errkind.NeverFits)
	b.c.Assert(b.Submit(b.now, &Spec{Deadline: b.now, Tasks: make([][]byte, 1)}).Kind, qt.Equals, errkind.DeadlineExpired)
	b.c.Assert(team("first", 2) == nil, qt.IsTrue)
	err := team("over", 1)
	b.c.Assert(err.Kind, qt.Equals, errkind.OverQuota)
	b.c.Assert(err.After, qt.Equals, 500*time.Millisecond)
	b.c.Assert(b.submit("fills", 9) == nil, qt.IsTrue)
	err = b.submit("full", 1)
	b.c.Assert(err.Kind, qt.Equals, errkind.Overloaded)
	b.c.Assert(err.Ran, qt.Equals, errkind.RanNo)
	b.advance(500 * time.Millisecond)
	b.c.Assert(team("again", 1).Kind, qt.Equals, errkind.Overloaded)
}

// Every guard refuses every task, as when all upstreams drain at once. Sent
// round all guards at once, each task would cost eleven times its messages just
// when the fleet is in trouble.
func TestOutageIsNotAmplified(t *testing.T) {
	b := newBench(t, 11, 100)
	starts := 0
	const jobs = 2000
	for i := range jobs {
		b.submit(fmt.Sprint("job", i), 1)
		for {
			sent, _, _ := b.taken()
			if len(sent) == 0 {
				break
			}
			starts += len(sent)
			for _, a := range sent {
				b.answer(a, errkind.StoreUnavailable, errkind.RanNo)
			}
		}
	}
	b.c.Assert(starts <= jobs+jobs/5+21, qt.IsTrue, qt.Commentf("%d starts", starts))
}

// One of two workers is set aside for its failures, and then the other one stops
// as planned. The one set aside is all there is; to refuse every request for want
// of workers would turn a planned stop into an outage.
func TestLastWorkerIsTakenBackFromQuarantine(t *testing.T) {
	b := newBench(t, 2, 8)
	b.serve(200, map[identity.Incarnation]bool{inc(0): true})
	b.c.Assert(b.pool.FleetStats.Excluded, qt.Equals, 1)
	b.GuardLeaving(b.now, inc(1))
	b.c.Assert(b.submit("after the stop", 1) == nil, qt.IsTrue)
	starts, _, _ := b.taken()
	b.c.Assert(starts, qt.HasLen, 1)
	b.c.Assert(starts[0].Guard, qt.Equals, inc(0))
}
