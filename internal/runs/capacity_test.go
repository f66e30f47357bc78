package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Guards against grown capacity that stays unused until the next run ends, and against entries that
// place tasks by the old capacity.
func TestCapacityChangeIsAnnouncedImmediately(t *testing.T) {
	model := newCapacityModel(t)
	model.sendDemand(otherEntry, wire.RunDemand{CPU: 4 * taskCPU, MinCPU: taskCPU, MinUrgentCPU: taskCPU})
	model.checkActions()
	model.reportCapacity(20000)
	offered := int64(0)
	announced := make(map[identity.Incarnation]int64)
	for _, a := range model.actions() {
		if a.Send == nil || a.Send.Frame.GuardHeartbeat == nil {
			continue
		}
		if worker := a.Send.Frame.GuardHeartbeat.Worker; worker != nil {
			announced[a.Send.To] = worker.Capacity.CPU
		}
		if a.Send.To == otherEntry {
			offered = a.Send.Frame.GuardHeartbeat.Load.Free.CPU
		}
	}
	model.Check(announced[testEntry], qt.Equals, int64(20000))
	model.Check(announced[otherEntry], qt.Equals, int64(20000))
	model.Check(offered >= 4*taskCPU, qt.IsTrue, qt.Commentf("%d", offered))
}

// Guards against reports that would allow more tasks than the worker has room for.
func TestImplausibleCapacityIsRejected(t *testing.T) {
	valid := (&rig{}).newReport(testWorker, 1)
	valid.Domain = "z1"
	valid.ClockMs = 1
	qt.Check(t, valid.Check(), qt.IsNil)
	for _, c := range []sched.Resources{{CPU: -1, MemoryMB: 1}, {CPU: 1 << 40, MemoryMB: 1}, {CPU: 1, MemoryMB: -1}, {CPU: 1, MemoryMB: 1 << 50}, {CPU: 1, MemoryMB: 1, GPUs: -1}} {
		rep := *valid
		rep.Capacity = c
		qt.Check(t, rep.Check(), qt.IsNotNil, qt.Commentf("%+v", c))
	}
	empty := *valid
	empty.Capacity = sched.Resources{}
	qt.Check(t, empty.Check(), qt.IsNil)
}

// Guards against a restarted guard that uses a stored capacity although the worker's capacity has
// shrunk since.
func TestRecalledCapacityIsNotTrusted(t *testing.T) {
	r := &rig{C: qt.New(t), m: New(Options{}), now: time.Minute}
	r.m.LinkUp(r.now, testEntry)
	rep := r.newReport(testWorker, 0)
	rep.IsRecalled = true
	r.m.HandleReport(r.now, rep)
	r.nextHold()
	r.answerHold(testWorker, HoldAnswer{})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.actions()
	r.sendTasks(r.now, 1)
	got := groupActions(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Busy)
	// A self-limiting worker refuses what does not fit, so that tasks are sent to it at once.
	r.seq++
	r.m.Run(r.now, testEntry, &wire.RunTasks{
		Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", Text: "text", LeftMs: 5000, SelfLimiting: true,
		Tasks: []wire.RunTask{{Index: 2, Run: 1, Need: sched.Resources{CPU: 3000}}},
	})
	r.Check(groupActions(r.actions()).starts, qt.DeepEquals, []Key{key(2)})
	r.m.HandleReport(r.now, r.newReport(testWorker, 1))
	r.sendTasks(r.now, 3)
	r.Check(groupActions(r.actions()).starts, qt.DeepEquals, []Key{key(3)})
}
