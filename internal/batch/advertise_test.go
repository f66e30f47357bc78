package batch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// newFullFleet returns the machine of an entry in the first of five failure domains, whose guards
// have no free room.
func newFullFleet(guards int) *Machine {
	m := New(0, Options{Seed: 1, Domain: "d0"})
	for i := range guards {
		m.AddGuard(0, &wire.RunHello{
			Incarnation: identity.Incarnation(fmt.Sprint("g", i)),
			Worker: wire.RunWorker{
				WorkerInstance: wire.WorkerInstance{ID: fmt.Sprint("w", i)}, Service: "s", Domain: fmt.Sprint("d", i%5), Capacity: sched.Resources{CPU: 64_000}, Usable: true,
			},
		})
	}
	m.Actions(0)
	return m
}

// sentBeats returns the guards that were sent a heartbeat, with whether it carries a demand.
func sentBeats(actions []Action) map[identity.Incarnation]bool {
	out := make(map[identity.Incarnation]bool)
	for _, a := range actions {
		if a.Frame != nil && a.Frame.EntryHeartbeat != nil {
			out[a.Guard] = a.Frame.EntryHeartbeat.Demand.CPU > 0
		}
	}
	return out
}

// waitingJob returns a job that waits for room instead of being refused.
func waitingJob(id string) *Job {
	j := testJob(id, 1, 4000)
	q := *testQueue
	q.Stretch = 100 // allows a long wait
	j.Queue = &q
	return j
}

// Guards against too many advertisements when the fleet is just full and jobs repeatedly wait for
// a few milliseconds. With a frame to all 72 guards each time, an entry with a fifth of a core
// fell behind with its jobs, and a quarter of the callers in its failure domain were not served.
func TestAdvertisingSendsFewFramesInALargeFleet(t *testing.T) {
	m := newFullFleet(72)
	frames := 0
	for i := range 100 {
		now := time.Duration(i) * 10 * time.Millisecond
		id := fmt.Sprint("j", i)
		qt.Assert(t, m.Submit(now, waitingJob(id)) == nil, qt.IsTrue)
		frames += len(m.Actions(now))
		m.Cancel(now+5*time.Millisecond, id)
		frames += len(sentBeats(m.Actions(now + 5*time.Millisecond)))
	}
	qt.Check(t, frames <= 100*2*15, qt.IsTrue, qt.Commentf("%d frames in a second", frames))
}

// Guards against a job that waits only for its own failure domain, which stays full, while
// workers in other domains have room.
func TestDemandOfALongWaitingJobReachesAllGuards(t *testing.T) {
	m := newFullFleet(72)
	qt.Assert(t, m.Submit(0, waitingJob("j")) == nil, qt.IsTrue)
	first := sentBeats(m.Actions(0))
	qt.Check(t, first, qt.HasLen, initialAdvertiseCount)
	for guard := range first {
		qt.Check(t, m.guardByID[guard].worker.Domain, qt.Equals, "d0")
	}
	const maxInterval = 350 * time.Millisecond
	var next time.Duration
	reached := len(first)
	for reached < 72 {
		next = m.NextTick()
		qt.Assert(t, next > 0 && next <= maxInterval, qt.IsTrue, qt.Commentf("%v", next))
		m.Tick(next)
		count := len(sentBeats(m.Actions(next)))
		qt.Assert(t, count > reached && count <= 2*reached, qt.IsTrue, qt.Commentf("%d after %d", count, reached))
		reached = count
	}
	// The end of the demand is sent to all guards as well.
	m.Cancel(next, "j")
	last := sentBeats(m.Actions(next))
	qt.Check(t, last, qt.HasLen, 72)
	for guard, hasDemand := range last {
		qt.Check(t, hasDemand, qt.IsFalse, qt.Commentf("%s", guard))
	}
}

// Guards against a delay in a small fleet, where the few guards of one failure domain may be busy
// for long: the demand is sent to all guards at once, one frame each.
func TestDemandReachesAllGuardsOfASmallFleetAtOnce(t *testing.T) {
	m := newFullFleet(11)
	qt.Assert(t, m.Submit(0, waitingJob("j")) == nil, qt.IsTrue)
	qt.Check(t, sentBeats(m.Actions(0)), qt.HasLen, 11)
}
