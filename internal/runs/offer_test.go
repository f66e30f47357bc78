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

// newFullRig is a guard whose worker is full with four tasks of 2000, and two entries.
func newFullRig(t *testing.T) *rig {
	r := newRig(t)
	r.m.LinkUp(r.now, otherEntry)
	frame := &wire.RunTasks{Seq: 1, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000}
	for i := range 4 {
		frame.Tasks = append(frame.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: 2000}})
	}
	r.m.Run(r.now, testEntry, frame)
	for i := range 4 {
		r.answerStart(key(i), Done)
	}
	r.actions()
	return r
}

func (r *rig) sendDemand(entry identity.Incarnation, demand wire.RunDemand) {
	r.m.Beat(r.now, entry, &wire.EntryBeat{ClockMs: r.now.Milliseconds(), Demand: demand})
}

// finishTask lets a task end at the worker, and gives the room that each entry is told is free.
func (r *rig) finishTask(number int64, index int) map[identity.Incarnation]int64 {
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: number, Key: key(index)}}})
	return r.announcedFreeCPU()
}

func (r *rig) announcedFreeCPU() map[identity.Incarnation]int64 {
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
func TestRoomIsOfferedWhereTheMostUrgentTaskFits(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 9000, LeastCPU: 1000, UrgentCPU: 4000})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000})
	free := r.finishTask(1, 0)
	r.Check(free[otherEntry], qt.Equals, int64(2000))
	r.Check(free[testEntry], qt.Equals, int64(0))
}

// An urgent job of several tasks waits. Room that ends while its entry's answer to the
// first offer is on the way is offered to it as well: given to another entry, it would
// be used for what is less urgent.
func TestUnansweredOfferIsExtended(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 6000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 4000, LeastCPU: 2000, UrgentCPU: 2000})
	r.Check(r.finishTask(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.Check(r.finishTask(2, 1)[otherEntry], qt.Equals, int64(4000))
	free := r.finishTask(3, 2) // it wants no more than that
	r.Check(free[testEntry], qt.Equals, int64(2000))
}

// The task for which an entry is offered room has found a place elsewhere. Told so, the
// guard offers the room to the next entry at once rather than hold it for 20 ms.
func TestDeclinedOfferGoesToTheNextEntry(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000})
	r.Check(r.finishTask(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.now += time.Millisecond
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 3000, LeastCPU: 3000, UrgentCPU: 3000})
	r.Check(r.announcedFreeCPU()[testEntry], qt.Equals, int64(2000))
}

// An entry is frozen while an urgent task waits there. It never answers an offer; made
// again and again, these would keep a worker idle until the entry wakes, while callers of
// the other entry are refused.
func TestFrozenEntryReservesLittleRoom(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 8000, LeastCPU: 2000, UrgentCPU: 2000})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
	r.finishTask(1, 0)
	reservedTicks, ticks := 0, 0
	for r.now < time.Minute+time.Second {
		r.advance(time.Millisecond)
		r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, LeastCPU: 2000, UrgentCPU: 2000, Priority: 1})
		r.actions()
		if r.m.entries[testEntry].offer.expiresAt > 0 {
			reservedTicks++
		}
		ticks++
	}
	r.Check(reservedTicks < ticks/4, qt.IsTrue, qt.Commentf("held for %d of %d ms", reservedTicks, ticks))
}
