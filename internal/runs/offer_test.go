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

// newFullRig returns a rig with two entries whose worker is fully allocated to four tasks of
// 2 cores each.
func newFullRig(t *testing.T) *rig {
	r := newRig(t)
	r.m.LinkUp(r.now, otherEntry)
	frame := &wire.RunTasks{Seq: 1, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000}
	for i := range 4 {
		frame.Tasks = append(frame.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Resources{CPU: 2000}})
	}
	r.m.Run(r.now, testEntry, frame)
	for i := range 4 {
		r.answerStart(key(i), Done)
	}
	r.actions()
	return r
}

func (r *rig) sendDemand(entry identity.Incarnation, demand wire.RunDemand) {
	r.m.HandleBeat(r.now, entry, &wire.EntryHeartbeat{ClockMs: r.now.Milliseconds(), Demand: demand})
}

// finishTask lists a task as ended and returns the free CPU that is announced to each entry.
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
		case a.Send.Frame.GuardHeartbeat != nil:
			free[a.Send.To] = a.Send.Frame.GuardHeartbeat.Load.Free.CPU
		}
	}
	return free
}

// Guards against offering capacity to an entry whose urgent task does not fit while another
// entry has one that fits. The first entry would use it for a less urgent task, and the urgent
// task that fits would be late.
func TestRoomIsOfferedWhereTheMostUrgentTaskFits(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 9000, MinCPU: 1000, MinUrgentCPU: 4000})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, MinCPU: 2000, MinUrgentCPU: 2000})
	free := r.finishTask(1, 0)
	r.Check(free[otherEntry], qt.Equals, int64(2000))
	r.Check(free[testEntry], qt.Equals, int64(0))
}

// Guards against offering capacity elsewhere while an entry with an urgent job of several tasks
// has not answered its first offer yet. Another entry would use it for a less urgent task.
func TestUnansweredOfferIsExtended(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 6000, MinCPU: 2000, MinUrgentCPU: 2000, Priority: 1})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 4000, MinCPU: 2000, MinUrgentCPU: 2000})
	r.Check(r.finishTask(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.Check(r.finishTask(2, 1)[otherEntry], qt.Equals, int64(4000))
	free := r.finishTask(3, 2) // the offer covers its demand
	r.Check(free[testEntry], qt.Equals, int64(2000))
}

// Guards against reserving capacity for 20 ms after an entry has declined the offer because its
// task was placed elsewhere. The capacity must be offered to the next entry at once.
func TestDeclinedOfferGoesToTheNextEntry(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 2000, MinCPU: 2000, MinUrgentCPU: 2000, Priority: 1})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, MinCPU: 2000, MinUrgentCPU: 2000})
	r.Check(r.finishTask(1, 0)[otherEntry], qt.Equals, int64(2000))
	r.now += time.Millisecond
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 3000, MinCPU: 3000, MinUrgentCPU: 3000})
	r.Check(r.announcedFreeCPU()[testEntry], qt.Equals, int64(2000))
}

// Guards against repeated offers to a frozen entry with a waiting urgent task. It answers none of
// them, and they would keep a worker idle until it resumes, while callers of the other entry are
// refused.
func TestFrozenEntryReservesLittleRoom(t *testing.T) {
	r := newFullRig(t)
	r.sendDemand(testEntry, wire.RunDemand{CPU: 8000, MinCPU: 2000, MinUrgentCPU: 2000})
	r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, MinCPU: 2000, MinUrgentCPU: 2000, Priority: 1})
	r.finishTask(1, 0)
	reservedTicks, ticks := 0, 0
	for r.now < time.Minute+time.Second {
		r.advance(time.Millisecond)
		r.sendDemand(otherEntry, wire.RunDemand{CPU: 2000, MinCPU: 2000, MinUrgentCPU: 2000, Priority: 1})
		r.actions()
		if r.m.entries[testEntry].offer.expiresAt > 0 {
			reservedTicks++
		}
		ticks++
	}
	r.Check(reservedTicks < ticks/4, qt.IsTrue, qt.Commentf("reserved for %d of %d ms", reservedTicks, ticks))
}
