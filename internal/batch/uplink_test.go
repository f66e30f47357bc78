package batch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

const (
	thinRate = 250_000 // bytes a second: 2 Mbit/s
	longText = 2400    // bytes
)

// newTasksFrame returns a RunTasks frame with a text of the given size.
func newTasksFrame(bytes int) *wire.Frame {
	return &wire.Frame{RunTasks: &wire.RunTasks{Text: string(make([]byte, bytes))}}
}

// sendBurst records frames sent at the same time and their arrivals over a link of the given
// rate.
func sendBurst(u *uplink, now time.Duration, frames int, rate float64) (end time.Duration) {
	arrived := now
	for range frames {
		f := newTasksFrame(longText)
		record := u.recordSend(now, f)
		arrived += time.Duration(frameBytes(f) / rate * float64(time.Second))
		u.recordArrival(arrived, record, arrived-now)
	}
	return arrived
}

// Guards against a low-bandwidth link that is not detected, so that frames queue on it.
func TestRateOfAThinLinkIsMeasured(t *testing.T) {
	var u uplink
	sendBurst(&u, time.Second, 8, thinRate)
	qt.Check(t, u.rate > 0.8*thinRate && u.rate <= thinRate, qt.IsTrue, qt.Commentf("%.0f", u.rate))
	u.recordSend(2*time.Second, newTasksFrame(10*longText))
	qt.Check(t, u.canSend(2*time.Second), qt.IsFalse)
	qt.Check(t, u.canSend(u.nextSendAt()), qt.IsTrue)
}

// Guards against a process pause that is mistaken for a low-bandwidth link.
func TestProcessPauseIsNotTakenForAThinLink(t *testing.T) {
	var u uplink
	now := time.Second
	for i := range 8 {
		record := u.recordSend(now, newTasksFrame(longText))
		delay := time.Duration(0)
		if i >= 3 {
			delay = 80 * time.Millisecond
		}
		u.recordArrival(now+delay, record, delay)
	}
	qt.Check(t, u.rate, qt.Equals, 0.0)
}

// Guards against callers that are refused permanently after the link's bandwidth was low for a
// short time.
func TestRateOfAThinLinkIsRaisedAgain(t *testing.T) {
	var u uplink
	now := sendBurst(&u, time.Second, 8, thinRate/10)
	qt.Assert(t, u.rate < thinRate/5, qt.IsTrue)
	for range 40 {
		now += 100 * time.Millisecond
		record := u.recordSend(now, newTasksFrame(longText))
		u.canSend(now) // the next job is held back
		u.recordArrival(now+time.Millisecond, record, 0)
	}
	qt.Check(t, u.rate > thinRate, qt.IsTrue, qt.Commentf("%.0f", u.rate))
}

// Guards against an overloaded link before its bandwidth is known.
func TestLittleIsSentOverALinkOfUnknownRate(t *testing.T) {
	var u uplink
	now := time.Second
	sent := 0.0
	for u.canSend(now) {
		sent += frameBytes(newTasksFrame(longText))
		u.recordSend(now, newTasksFrame(longText))
	}
	qt.Check(t, sent < 2*initialWindow, qt.IsTrue)
	qt.Check(t, u.canSend(now+windowTimeout), qt.IsTrue) // no arrival was reported
	record := u.recordSend(now, newTasksFrame(longText))
	u.recordArrival(now, record, 0)
	for u.canSend(now) && sent < 2*unlimitedWindow {
		sent += frameBytes(newTasksFrame(longText))
		u.recordArrival(now, u.recordSend(now, newTasksFrame(longText)), 0)
	}
	qt.Check(t, sent >= 2*unlimitedWindow, qt.IsTrue) // each arrival allows more to be sent
}

// newThinLinkEntry returns the machine of an entry with a low-bandwidth link and guards with room
// for two tasks each.
func newThinLinkEntry(guards int) *Machine {
	m := New(0, Options{Seed: 1})
	for i := range guards {
		m.AddGuard(0, &wire.RunHello{
			Version: wire.Version, Incarnation: guardID(i), Texts: "texts of " + string(guardID(i)),
			Worker: wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: "w"}, Service: testQueue.Service, Capacity: sched.Resources{CPU: 8000}, Usable: true},
			Load:   wire.RunLoad{Free: sched.Resources{CPU: 8000}},
		})
	}
	m.uplink.rate = thinRate
	m.Actions(0)
	return m
}

func guardID(i int) identity.Incarnation {
	return identity.Incarnation([]string{"g0", "g1", "g2", "g3"}[i])
}

// sentRunTasks returns the RunTasks frames among the actions and their guards, in order.
func sentRunTasks(actions []Action) (list []*wire.RunTasks, guards []identity.Incarnation) {
	for _, a := range actions {
		if a.Frame != nil && a.Frame.RunTasks != nil {
			list, guards = append(list, a.Frame.RunTasks), append(guards, a.Guard)
		}
	}
	return list, guards
}

// longJob returns a job with a text of longText bytes.
func longJob(id string, tasks int) *Job {
	j := testJob(id, tasks, 4000)
	j.Text = string(make([]byte, longText))
	return j
}

// Guards against a text that is sent over a low-bandwidth link once for each guard.
func TestTextOfAJobPassesAThinLinkOnce(t *testing.T) {
	m := newThinLinkEntry(3)
	qt.Assert(t, m.Submit(0, longJob("j", 6)) == nil, qt.IsTrue)
	list, guards := sentRunTasks(m.Actions(0))
	qt.Assert(t, list, qt.HasLen, 3)
	qt.Check(t, textBytes(list[0]) > 0 && list[0].Keep, qt.IsTrue)
	for _, other := range list[1:] {
		qt.Check(t, textBytes(other), qt.Equals, 0)
		qt.Check(t, other.Source, qt.Equals, "texts of "+string(guards[0]))
	}
}

// Guards against tasks that wait for a text from a guard that is gone.
func TestUnavailableTextIsSentByTheEntry(t *testing.T) {
	m := newThinLinkEntry(2)
	qt.Assert(t, m.Submit(0, longJob("j", 4)) == nil, qt.IsTrue)
	list, guards := sentRunTasks(m.Actions(0))
	qt.Assert(t, list, qt.HasLen, 2)
	end := wire.RunEnd{Job: "j", Index: list[1].Tasks[0].Index, Run: 1, Kind: errkind.Busy, Ran: errkind.RanNo, TextUnavailable: true}
	m.HandleRunsEnded(time.Millisecond, guards[1], &wire.RunsEnded{Ends: []wire.RunEnd{end}, Load: wire.RunLoad{ClockMs: 1, SeenSeq: 1, Free: sched.Resources{CPU: 4000}}})
	again, _ := sentRunTasks(m.Actions(time.Millisecond))
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Source, qt.Equals, "")
	qt.Check(t, textBytes(again[0]) > 0, qt.IsTrue)
}

// Guards against a packed text sent to a guard that cannot read it.
func TestGuardOfAnEarlierReleaseGetsPlainTexts(t *testing.T) {
	m := New(0, Options{Seed: 1})
	m.AddGuard(0, &wire.RunHello{
		Version: wire.PackedTextVersion - 1, Incarnation: "old",
		Worker: wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: "w"}, Service: testQueue.Service, Capacity: sched.Resources{CPU: 8000}, Usable: true},
		Load:   wire.RunLoad{Free: sched.Resources{CPU: 8000}},
	})
	j := longJob("j", 1)
	qt.Assert(t, m.Submit(0, j) == nil, qt.IsTrue)
	list, _ := sentRunTasks(m.Actions(0))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Check(t, list[0].Text, qt.Equals, j.Text)
	qt.Check(t, list[0].Packed, qt.IsNil)
}

// Guards against room that guards hold unused for jobs that wait for the link.
func TestNoRoomIsHeldForJobsThatWaitForTheLink(t *testing.T) {
	m := newThinLinkEntry(2)
	m.uplink.idleAt = time.Second
	j := longJob("j", 1)
	q := *testQueue
	q.Stretch = 100 // allows a long wait
	j.Queue = &q
	qt.Assert(t, m.Submit(0, j) == nil, qt.IsTrue)
	qt.Check(t, m.Actions(0), qt.HasLen, 0)
	next := m.NextTick()
	m.Tick(next)
	qt.Check(t, countSentTasks(m.Actions(next)), qt.Equals, 1)
}
