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

const (
	testEntry  = identity.Incarnation("entry-1")
	testWorker = "worker-1"
	// workerClockOffset is the worker's clock less the guard's.
	workerClockOffset = 7 * time.Second
)

// testTiming is the timing of rigs.
var testTiming = TimingFor(DefaultResend)

// rig is a machine with an adopted worker and one linked entry.
type rig struct {
	*qt.C
	m   *Machine
	now time.Duration
	seq uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{C: qt.New(t), m: New(Options{}), now: time.Minute}
	r.m.LinkUp(r.now, testEntry)
	r.m.Heard(r.now, r.newReport(testWorker, 1))
	r.Assert(r.nextHold().Worker, qt.Equals, testWorker)
	r.answerHold(testWorker, HoldAnswer{})
	r.Assert(r.m.Worker().Usable, qt.IsTrue)
	r.actions()
	return r
}

func (r *rig) clockMs() int64 { return (r.now + workerClockOffset).Milliseconds() }

func (r *rig) newReport(id string, seq int64) *Report {
	return &Report{ID: id, Seq: seq, ClockMs: r.clockMs(), Service: "svc", Capacity: sched.Room{CPU: 8000, MemoryMB: 1000}}
}

func (r *rig) actions() []Action { return r.m.Actions(r.now) }

// nextHold gives the one Hold among the actions.
func (r *rig) nextHold() *Hold {
	r.Helper()
	for _, a := range r.actions() {
		if a.Hold != nil {
			return a.Hold
		}
	}
	r.Fatal("no hold was sent")
	return nil
}

func (r *rig) answerHold(worker string, a HoldAnswer) {
	a.ClockMs = r.clockMs()
	r.m.Held(r.now, worker, &a)
}

func (r *rig) advance(d time.Duration) {
	r.now += d
	r.m.Tick(r.now)
}

func key(index int) Key { return Key{Job: "job", Index: index, Run: 1} }

// sendTasks sends tasks that need 3 cores each, stamped with a clock of the guard.
func (r *rig) sendTasks(clock time.Duration, indexes ...int) {
	r.seq++
	frame := &wire.RunTasks{Seq: r.seq, ClockMs: clock.Milliseconds(), Job: "job", Text: "text", LeftMs: 5000}
	for _, i := range indexes {
		frame.Tasks = append(frame.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: 3000}})
	}
	r.m.Run(r.now, testEntry, frame)
}

func (r *rig) answerStart(k Key, v Verdict) {
	r.m.Started(r.now, k, StartAnswer{Verdict: v, ClockMs: r.clockMs()})
}

// kinds sorts actions.
type groupedActions struct {
	starts []Key
	stops  []Key
	ends   []wire.RunEnd
	holds  []*Hold
}

func groupActions(actions []Action) groupedActions {
	var grouped groupedActions
	for _, a := range actions {
		switch {
		case a.Start != nil:
			grouped.starts = append(grouped.starts, a.Start.Key)
		case a.Stop != nil:
			grouped.stops = append(grouped.stops, a.Stop.Key)
		case a.Hold != nil:
			grouped.holds = append(grouped.holds, a.Hold)
		case a.Send != nil && a.Send.Frame.RunsEnded != nil:
			grouped.ends = append(grouped.ends, a.Send.Frame.RunsEnded.Ends...)
		}
	}
	return grouped
}

// An entry freezes or is cut off while its guard works for it. Its caller hears
// nothing and sends the booking to another entry 1.3 s later. Were the first run
// still going then, two escorts would be sent.
func TestRunsOfSilentEntryAreStopped(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	r.advance(testTiming.Permit / 2)
	r.Assert(groupActions(r.actions()).stops, qt.HasLen, 0)
	r.advance(testTiming.Permit)
	r.Assert(groupActions(r.actions()).stops, qt.DeepEquals, []Key{key(0)})
	r.Assert(testTiming.Permit+MaxStopDelay < 1300*time.Millisecond, qt.IsTrue)
}

// A frame with tasks is held up by a cut and arrives seconds later, when its job
// has long been sent to another entry. Begun now, it would run beside it.
func TestDelayedTasksAreRefused(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now-2*time.Second, 0)
	got := groupActions(r.actions())
	r.Assert(got.starts, qt.HasLen, 0)
	r.Assert(got.ends, qt.HasLen, 1)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.Fenced)
	r.Assert(got.ends[0].Ran, qt.Equals, errkind.RanNo)
}

// A worker does not answer an order and carries it out seconds later. If the task
// had been given elsewhere in the meantime without a stop under its number, it
// would run twice.
func TestUnansweredStartIsStoppedBeforeItIsGivenBack(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	for range maxStartAttempts {
		got := groupActions(r.actions())
		r.Assert(got.starts, qt.DeepEquals, []Key{key(0)})
		r.Assert(got.stops, qt.HasLen, 0)
		r.answerStart(key(0), NoAnswer)
	}
	got := groupActions(r.actions())
	r.Assert(got.starts, qt.HasLen, 0)
	r.Assert(got.stops, qt.DeepEquals, []Key{key(0)})
	r.Assert(got.ends, qt.HasLen, 0)
	// The stop is confirmed, but only a list that was asked for afterwards shows
	// that nothing of it runs.
	r.m.Stopped(r.now, key(0), Done, r.clockMs())
	r.now += 5 * time.Millisecond
	r.answerHold(testWorker, HoldAnswer{})
	r.Assert(groupActions(r.actions()).ends, qt.HasLen, 0)
	r.now += 5 * time.Millisecond
	r.answerHold(testWorker, HoldAnswer{})
	got = groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.NotRun)
	r.Assert(got.ends[0].Ran, qt.Equals, errkind.RanUnknown)
}

// A start gets no answer and is carried out a tenth of a second later, when the copy
// that was sent after it has been refused for want of room. Given back on that
// refusal alone, the task would run at two workers.
func TestRefusedRetryDoesNotSettleTheFirstStart(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), NoAnswer)
	r.answerStart(key(0), NoRoom)
	got := groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 0)
	r.Assert(got.stops, qt.DeepEquals, []Key{key(0)})
}

// The answer to a start is lost, and the run has ended when the start is sent
// again: the worker calls it outdated. Taken for a run that never began, its task
// would be done a second time.
func TestOutdatedRetryMeansTheRunWasStarted(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), NoAnswer)
	r.answerStart(key(0), Outdated)
	r.Assert(groupActions(r.actions()).ends, qt.HasLen, 0)
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), How: EndDone}}})
	got := groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.None)
}

// A stop without an answer may not have arrived. It is repeated, or the task would
// stay in doubt until its caller's time is over.
func TestUnansweredStopIsRetried(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.m.StopJob(r.now, testEntry, &wire.StopRuns{ClockMs: r.now.Milliseconds(), Job: "job"})
	r.Assert(groupActions(r.actions()).stops, qt.HasLen, 1)
	r.m.Stopped(r.now, key(0), NoAnswer, 0)
	r.Assert(r.m.NextTick() <= r.now+requestRetryDelay, qt.IsTrue)
	r.advance(requestRetryDelay)
	r.Assert(groupActions(r.actions()).stops, qt.HasLen, 1)
}

// A guard is killed and its successor knows nothing, while tasks of the first one
// run on the worker. Their entries take them for ended and start them elsewhere;
// the room that they take would be given away a second time.
func TestNewGuardStopsRunsOfItsPredecessor(t *testing.T) {
	c := qt.New(t)
	r := &rig{C: c, m: New(Options{}), now: time.Minute}
	r.m.LinkUp(r.now, testEntry)
	r.m.Heard(r.now, r.newReport(testWorker, 1))
	h := r.nextHold()
	r.Assert(h.Token, qt.Equals, r.clockMs())
	// The earlier guard had a greater token; the worker tells its clock.
	r.now += 10 * time.Millisecond
	r.answerHold(testWorker, HoldAnswer{Verdict: FencedOff})
	h = r.nextHold()
	r.Assert(h.Token, qt.Equals, r.clockMs())
	r.answerHold(testWorker, HoldAnswer{Active: []Active{{Key: key(3)}}, Ended: []Ended{{Number: 9, Key: key(2)}}})
	r.Assert(r.m.Worker().Usable, qt.IsFalse)
	got := groupActions(r.actions())
	r.Assert(got.stops, qt.DeepEquals, []Key{key(3)})
	r.Assert(got.holds, qt.HasLen, 1)
	r.Assert(got.holds[0].Ack, qt.Equals, int64(9))
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 10, Key: key(3), How: EndStopped}}})
	r.Assert(r.m.Worker().Usable, qt.IsTrue)
}

// A report was held up by a cut, its sender has crashed and a successor runs at
// the same address. Believed, the guard would count the room of a worker that is
// gone and drop what runs on the living one.
func TestLateReportOfAnEarlierInstanceIsIgnored(t *testing.T) {
	r := newRig(t)
	r.m.Heard(r.now, r.newReport("worker-0", 99))
	r.Assert(r.nextHold().Worker, qt.Equals, "worker-0")
	r.answerHold("worker-0", HoldAnswer{Verdict: OtherWorker})
	r.Assert(r.m.Worker().ID, qt.Equals, testWorker)
	r.Assert(r.m.Worker().Usable, qt.IsTrue)
	// A delayed report of the present life does not bring back an older state.
	late := r.newReport(testWorker, 1)
	late.Capacity = sched.Room{}
	r.m.Heard(r.now, late)
	r.Assert(r.m.Worker().Capacity.CPU, qt.Equals, int64(8000))
}

// A worker crashes and another of another size comes up at its address. What ran
// on the first has ended and is given back at once.
func TestNewWorkerInstanceEndsRunsOfThePreviousOne(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	rep := r.newReport("worker-2", 1)
	rep.Capacity = sched.Room{CPU: 4000}
	r.m.Heard(r.now, rep)
	r.answerHold(testWorker, HoldAnswer{Verdict: NoAnswer})
	r.advance(requestRetryDelay)
	r.Assert(r.nextHold().Worker, qt.Equals, "worker-2")
	r.answerHold("worker-2", HoldAnswer{})
	got := groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Assert(r.m.Load(r.now, testEntry).Free, qt.Equals, sched.Room{CPU: 4000})
}

// A worker that is about to leave ends everything on it. A task that began there
// after its announcement would be lost with it.
func TestDrainingWorkerRefusesTasks(t *testing.T) {
	r := newRig(t)
	rep := r.newReport(testWorker, 2)
	rep.Draining = true
	r.m.Heard(r.now, rep)
	r.actions()
	r.sendTasks(r.now, 0)
	got := groupActions(r.actions())
	r.Assert(got.starts, qt.HasLen, 0)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.Draining)
	r.Assert(r.m.Load(r.now, testEntry).Free, qt.Equals, sched.Room{})
}

// A task that is being stopped takes its room until the worker lists its end. Given
// away before, the worker would be filled beyond what it has.
func TestStoppingRunKeepsItsRoomUntilItEnds(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0, 1)
	r.answerStart(key(0), Done)
	r.answerStart(key(1), Done)
	r.actions()
	r.m.StopJob(r.now, testEntry, &wire.StopRuns{ClockMs: r.now.Milliseconds(), Job: "job"})
	r.m.Stopped(r.now, key(0), Done, r.clockMs())
	r.m.Stopped(r.now, key(1), Done, r.clockMs())
	r.sendTasks(r.now, 2)
	got := groupActions(r.actions())
	r.Assert(got.starts, qt.HasLen, 0)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.Busy)
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), How: EndStopped}, {Number: 2, Key: key(1), How: EndStopped}}})
	r.Assert(r.m.Load(r.now, testEntry).Free.CPU, qt.Equals, int64(8000))
}

// A worker goes dark. Its tasks are given back when its lease has run out for
// sure, and not renewed blindly, or they would never be.
func TestRunsOfUnreachableWorkerEndWithItsLease(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.Assert(groupActions(r.actions()).holds, qt.HasLen, 1)
	sent := r.now
	var ends []wire.RunEnd
	for len(ends) == 0 && r.now < sent+2*time.Second {
		r.now += renewInterval + requestTimeout
		r.answerHold(testWorker, HoldAnswer{Verdict: NoAnswer})
		r.now += requestRetryDelay
		r.m.Tick(r.now)
		got := groupActions(r.actions())
		for _, h := range got.holds {
			r.Assert(h.UntilMs, qt.Equals, int64(0))
		}
		ends = got.ends
	}
	r.Assert(ends, qt.HasLen, 1)
	r.Assert(ends[0].Kind, qt.Equals, errkind.WorkerLost)
	r.Assert(r.now >= sent+testTiming.Lease+clockSkewMargin, qt.IsTrue)
	r.Assert(r.m.Worker().Usable, qt.IsFalse)
}

// A worker's clock is 2% slow. A lease computed from an older reading of it would
// last longer there than the guard believes, and its task be started elsewhere
// too early.
func TestLeaseUsesTheLatestWorkerClock(t *testing.T) {
	r := newRig(t)
	r.now += 30 * time.Second
	slowClockMs := (r.now + workerClockOffset - 600*time.Millisecond).Milliseconds()
	rep := r.newReport(testWorker, 2)
	rep.ClockMs = slowClockMs
	r.m.Heard(r.now, rep)
	r.sendTasks(r.now, 0)
	for _, a := range r.actions() {
		if a.Start != nil {
			r.Assert(a.Start.UntilMs, qt.Equals, slowClockMs+testTiming.Lease.Milliseconds())
		}
	}
}

// Tasks on a worker stand still while its health is good and others run on it. Each
// would hold its room until its caller leaves; it is stopped and given back.
func TestStalledRunIsStopped(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0, 1)
	r.answerStart(key(0), Done)
	r.answerStart(key(1), Done)
	r.actions()
	for i := range int64(5) {
		r.now += 50 * time.Millisecond
		r.m.Beat(r.now, testEntry, &wire.EntryBeat{ClockMs: r.now.Milliseconds()})
		r.answerHold(testWorker, HoldAnswer{Active: []Active{{Key: key(0), Percent: 7}, {Key: key(1), Percent: i}}})
	}
	r.Assert(groupActions(r.actions()).stops, qt.DeepEquals, []Key{key(0)})
	r.m.Stopped(r.now, key(0), Done, r.clockMs())
	r.answerHold(testWorker, HoldAnswer{
		Active: []Active{{Key: key(1), Percent: 9}}, Ended: []Ended{{Number: 1, Key: key(0), How: EndStopped}},
	})
	got := groupActions(r.actions())
	r.Assert(got.ends, qt.HasLen, 1)
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.Stalled)
}

// The link to an entry ends, perhaps with the entry. What it had there is stopped
// at once, so that its room serves others.
func TestLostLinkStopsRunsOfItsEntry(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	r.m.LinkDown(r.now, testEntry)
	r.Assert(groupActions(r.actions()).stops, qt.DeepEquals, []Key{key(0)})
}

// The last end of a quiet worker is acknowledged too; the worker would list it for
// ever.
func TestLastEndIsAcknowledged(t *testing.T) {
	r := newRig(t)
	r.sendTasks(r.now, 0)
	r.answerStart(key(0), Done)
	r.actions()
	r.answerHold(testWorker, HoldAnswer{Ended: []Ended{{Number: 1, Key: key(0), How: EndDone}}})
	got := groupActions(r.actions())
	r.Assert(got.ends[0].Kind, qt.Equals, errkind.None)
	r.Assert(got.holds, qt.HasLen, 1)
	r.Assert(got.holds[0].Ack, qt.Equals, int64(1))
	r.Assert(r.m.Settled(), qt.IsFalse)
	r.answerHold(testWorker, HoldAnswer{})
	r.Assert(r.m.Settled(), qt.IsTrue)
	r.Assert(groupActions(r.actions()).holds, qt.HasLen, 0)
}

// While an idle fleet waits for work, a guard has nothing to do and wakes for
// nothing.
func TestIdleGuardHasNoTimer(t *testing.T) {
	r := newRig(t)
	r.Assert(r.m.NextTick(), qt.Equals, time.Duration(0))
	r.Assert(r.actions(), qt.HasLen, 0)
}
