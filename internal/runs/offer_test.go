package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

const otherEntry = identity.Incarnation("entry-2")

// fullRig is a guard whose worker is full with four tasks of 2000, and two entries.
func fullRig(t *testing.T) *rig {
	r := newRig(t)
	r.m.LinkUp(r.now, otherEntry)
	t4 := &wire.RunTasks{Seq: 1, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000}
	for i := range 4 {
		t4.Tasks = append(t4.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: 2000}})
	}
	r.m.Run(r.now, testEntry, t4)
	for i := range 4 {
		r.started(key(i), Done)
	}
	r.actions()
	return r
}

func (r *rig) demand(entry identity.Incarnation, w wire.RunDemand) {
	r.m.Beat(r.now, entry, &wire.EntryBeat{ClockMs: r.now.Milliseconds(), Demand: w})
}

// end lets a task end at the worker, and gives the room that each entry is told is free.
func (r *rig) end(number int64, index int) map[identity.Incarnation]int64 {
	r.held(testWorker, HoldAnswer{Ended: []Ended{{Number: number, Key: key(index)}}})
	return r.told()
}

func (r *rig) told() map[identity.Incarnation]int64 {
	free := make(map[identity.Incarnation]int64)
	for _, a := range r.actions() {
		switch {
		case a.Send == nil:
		case a.Send.Frame.RunsEnded != nil:
			free[a.Send.To] = a.Send.Frame.RunsEnded.Load.Free.CPU
		case a.Send.Frame.GuardBeat != nil:
			free[a.Send.To] = a.Send.Frame.GuardBeat.Load.Free.CPU
		}
	}
	return free
}

// Two entries have an urgent request waiting. The room that has become free holds the
// task of one of them only. Given to the other in its turn, it would be used for
// something less urgent, and the urgent request that fits be late.
func TestRoomGoesWhereTheMostUrgentTaskFits(t *testing.T) {
	r := fullRig(t)
	r.demand(testEntry, wire.RunDemand{CPU: 9000, LeastCPU: 1000, UrgentCPU: 4000})
	r.demand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000})
	told := r.end(1, 0)
	r.Check(told[otherEntry], qt.Equals, int64(2000))
	r.Check(told[testEntry], qt.Equals, int64(0))
}

// An urgent job of several tasks waits. Room that ends while its entry's answer to the
// first offer is on the way is offered to it as well: given to another entry, it would
// be used for what is less urgent.
func TestOfferGrowsWhileItsAnswerIsOnTheWay(t *testing.T) {
	r := fullRig(t)
	r.demand(testEntry, wire.RunDemand{CPU: 6000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.demand(otherEntry, wire.RunDemand{CPU: 4000, LeastCPU: 2000, UrgentCPU: 2000})
	r.Check(r.end(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.Check(r.end(2, 1)[otherEntry], qt.Equals, int64(4000))
	told := r.end(3, 2) // it wants no more than that
	r.Check(told[testEntry], qt.Equals, int64(2000))
}

// The task for which an entry is offered room has found a place elsewhere. Told so, the
// guard offers the room to the next entry at once rather than hold it for 20 ms.
func TestDeclinedOfferGoesToTheNextEntry(t *testing.T) {
	r := fullRig(t)
	r.demand(testEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.demand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000})
	r.Check(r.end(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.now += time.Millisecond
	r.demand(otherEntry, wire.RunDemand{CPU: 3000, LeastCPU: 3000, UrgentCPU: 3000})
	r.Check(r.told()[testEntry], qt.Equals, int64(2000))
}

// An entry is frozen while an urgent task waits there. It never answers an offer; made
// again and again, these would keep a worker idle until the entry wakes, while callers of
// the other entry are refused.
func TestFrozenEntryHoldsLittleRoom(t *testing.T) {
	r := fullRig(t)
	r.demand(testEntry, wire.RunDemand{CPU: 8000, LeastCPU: 2000, UrgentCPU: 2000})
	r.demand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.end(1, 0)
	held, ticks := 0, 0
	for r.now < time.Minute+time.Second {
		r.pass(time.Millisecond)
		r.demand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
		r.actions()
		if r.m.entries[testEntry].offer.expiresAt > 0 {
			held++
		}
		ticks++
	}
	r.Check(held < ticks/4, qt.IsTrue, qt.Commentf("held for %d of %d ms", held, ticks))
}
