package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

const firstStartMs = int64(1_700_000_000_000)

// newStartRig returns a rig whose worker reports start times. Its clock shows ten minutes.
func newStartRig(t *testing.T) *rig {
	r := &rig{C: qt.New(t), m: New(Options{MaxLease: 2 * time.Second}), now: 10 * time.Minute}
	r.m.LinkUp(r.now, testEntry)
	r.reportStart(firstStartMs, 1, r.clockMs())
	r.nextHold()
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs()})
	r.Assert(r.m.Worker().Usable, qt.IsTrue)
	r.actions()
	return r
}

func startedAt(startMs int64) wire.WorkerInstance {
	return wire.WorkerInstance{ID: testWorker, StartMs: startMs}
}

func (r *rig) reportStart(startMs, seq, clockMs int64) *Report {
	rep := r.newReport(testWorker, seq)
	rep.StartMs, rep.ClockMs = startMs, clockMs
	r.m.HandleReport(r.now, rep)
	return rep
}

// answerStartHold answers the pending Hold as the instance with the given start time.
func (r *rig) answerStartHold(startMs int64, a HoldAnswer) {
	a.StartMs = startMs
	to := r.m.instance.WorkerInstance
	if r.m.candidate != nil && (r.m.candidate.isPresent || r.m.candidate.ID != to.ID) {
		to = r.m.candidate.WorkerInstance
	}
	r.m.HandleHoldAnswer(r.now, to, &a)
}

// takeOver answers Holds as the second instance until the machine has adopted it.
func (r *rig) takeOver(second int64, a HoldAnswer) {
	for range 2 {
		r.nextHold()
		r.answerStartHold(second, a)
	}
	r.Assert(r.m.instance.StartMs, qt.Equals, second)
}

const (
	secondStartMs = firstStartMs + 700_000
	secondClockMs = int64(300)
)

// Guards against a restart under the same ID that goes unnoticed until the new reports exceed the
// old sequence number: drains, capacities and labels of the new instance were ignored for minutes.
func TestReportAfterRestartIsApplied(t *testing.T) {
	r := newStartRig(t)
	r.reportStart(firstStartMs, 400, r.clockMs())
	rep := r.newReport(testWorker, 1)
	rep.StartMs, rep.ClockMs, rep.Capacity.CPU, rep.Rack = secondStartMs, secondClockMs, 2000, "r2"
	r.m.HandleReport(r.now, rep)
	r.takeOver(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
	w := r.m.Worker()
	r.Check(w.Usable, qt.IsTrue)
	r.Check(w.Capacity.CPU, qt.Equals, int64(2000))
	r.Check(w.Rack, qt.Equals, "r2")
	r.Check(w.StartMs, qt.Equals, secondStartMs)
}

// Guards against a worker that stays excluded because its earlier instance had drained.
func TestRestartEndsDrain(t *testing.T) {
	r := newStartRig(t)
	rep := r.newReport(testWorker, 2)
	rep.StartMs, rep.Draining = firstStartMs, true
	r.m.HandleReport(r.now, rep)
	r.Assert(r.m.Worker().Leaving, qt.IsTrue)
	r.reportStart(secondStartMs, 1, secondClockMs)
	r.takeOver(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
	r.Check(r.m.Worker().Leaving, qt.IsFalse)
	r.Check(r.m.Worker().Usable, qt.IsTrue)
}

// Guards against a delayed report of an earlier instance that replaces the present one: its clock
// and capacity would be used until the next restart.
func TestDelayedReportOfEarlierStartIsRejected(t *testing.T) {
	r := newStartRig(t)
	r.reportStart(secondStartMs, 1, secondClockMs)
	r.takeOver(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
	token := r.m.instance.token
	late := r.newReport(testWorker, 900)
	late.StartMs, late.Draining = firstStartMs, true
	r.m.HandleReport(r.now, late)
	r.nextHold()
	r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
	rejected := 0
	for _, a := range r.actions() {
		if a.RejectedReport != nil {
			rejected++
		}
	}
	r.Check(rejected, qt.Equals, 1)
	r.Check(r.m.Worker().StartMs, qt.Equals, secondStartMs)
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.Check(r.m.instance.token, qt.Equals, token)
}

// Guards against a task that runs twice. A worker restarts while it is idle, and a start reaches the
// new instance before the guard has noticed. The run was reported as lost and started elsewhere.
func TestStartAtUnnoticedRestartContinues(t *testing.T) {
	r := newStartRig(t)
	r.sendTasks(r.now, 1)
	r.m.HandleStartAnswer(r.now, key(1), StartAnswer{ClockMs: secondClockMs})
	got := groupActions(r.actions())
	r.Assert(got.holds, qt.HasLen, 1)
	r.Check(got.holds[0].UntilMs, qt.Equals, int64(0))
	active := []Active{{Key: key(1), Percent: 1}}
	r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs, Active: active})
	got = groupActions(r.actions())
	r.Assert(got.holds, qt.HasLen, 1)
	r.Check(got.holds[0].Token > r.m.instance.token, qt.IsTrue) // earlier orders are refused from now on
	r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs, Active: active})
	got = groupActions(r.actions())
	r.Check(got.ends, qt.HasLen, 0)
	r.Check(got.stops, qt.HasLen, 0)
	r.Check(r.m.Worker().Usable, qt.IsFalse) // until its report
	r.now += time.Millisecond
	r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs, Ended: []Ended{{Number: 1, Key: key(1)}}})
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Kind, qt.Equals, errkind.None)
}

// Guards against ends of a new instance that count as processed because the earlier one had listed
// as many: a task that was done was started again.
func TestEndsOfRestartedWorkerAreNotAcknowledgedEarly(t *testing.T) {
	r := newStartRig(t)
	r.startTask(1)
	r.now += time.Millisecond
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs(), Ended: []Ended{{Number: 57, Key: key(1)}}})
	holds := groupActions(r.actions()).holds
	r.Assert(holds, qt.HasLen, 1)
	r.Check(holds[0].Ack, qt.Equals, int64(57))
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs()})
	r.actions()
	r.sendTasks(r.now, 2)
	holds = groupActions(r.actions()).holds
	r.Assert(holds, qt.HasLen, 1)
	r.Check(holds[0].Ack, qt.Equals, int64(0))
}

// Guards against two runs of a task at once. A start without an answer may have reached an instance
// whose clock is minutes behind, so that its lease lasts for as long as the worker allows.
func TestUnansweredStartOutlastsLeaseOfUnreachableWorker(t *testing.T) {
	r := newStartRig(t)
	r.sendTasks(r.now, 1, 2)
	r.answerStart(key(1), Done)
	r.answerStart(key(2), NoAnswer)
	for range 2 * maxUnansweredHolds {
		r.actions()
		r.m.HandleHoldAnswer(r.now, startedAt(firstStartMs), &HoldAnswer{Verdict: NoAnswer})
		r.advance(requestRetryDelay)
	}
	r.advance(testTiming.Lease + clockSkewMargin)
	ends := groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Index, qt.Equals, 1)
	r.advance(r.m.NextTick() - r.now)
	r.advance(2 * time.Second)
	ends = groupActions(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Index, qt.Equals, 2)
}

// Guards against a worker that is lost until it restarts again because a start with the earlier,
// greater fencing token had reached it.
func TestTokenOfRestartedWorkerExceedsEarlierOnes(t *testing.T) {
	r := newStartRig(t)
	token := r.m.instance.token
	r.reportStart(secondStartMs, 1, secondClockMs)
	r.nextHold()
	r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
	h := r.nextHold()
	r.Check(h.Token > token, qt.IsTrue)
	// Another guard has used a greater one.
	r.answerStartHold(secondStartMs, HoldAnswer{Verdict: FencedOff, ClockMs: secondClockMs})
	r.Check(r.nextHold().Token > h.Token, qt.IsTrue)
}

// Guards against stopping the runs of a new instance when the announcement that the earlier one
// terminates arrives late.
func TestLateTerminationOfEarlierStartIsVerified(t *testing.T) {
	r := newStartRig(t)
	r.startTask(1)
	r.m.HandleTermination(r.now, testWorker)
	got := groupActions(r.actions())
	r.Check(got.stops, qt.HasLen, 0)
	r.Check(r.m.Worker().Usable, qt.IsFalse)
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs(), Active: []Active{{Key: key(1), Percent: 1}}})
	r.Check(r.m.Worker().Usable, qt.IsFalse) // it may terminate after this answer
	r.advance(terminationDelay)
	r.actions()
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs(), Active: []Active{{Key: key(1), Percent: 2}}})
	r.Check(r.m.Worker().Usable, qt.IsTrue)
	r.Check(groupActions(r.actions()).ends, qt.HasLen, 0)
}

// Guards against a guard that starts with the stored report of an earlier instance of its worker,
// whose labels and capacity may differ.
func TestStoredReportOfEarlierStartIsNotUsed(t *testing.T) {
	for _, storedStartMs := range []int64{0, firstStartMs} { // 0: stored by a version without start times
		r := &rig{C: qt.New(t), m: New(Options{}), now: 10 * time.Minute}
		rep := r.newReport(testWorker, 0)
		rep.StartMs, rep.IsRecalled = storedStartMs, true
		r.m.HandleReport(r.now, rep)
		r.nextHold()
		r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
		r.nextHold()
		r.answerStartHold(secondStartMs, HoldAnswer{ClockMs: secondClockMs})
		r.Check(r.m.Worker().Usable, qt.IsFalse)
		r.reportStart(secondStartMs, 1, secondClockMs)
		r.Check(r.m.Worker().Usable, qt.IsTrue)
		r.Check(r.m.Worker().StartMs, qt.Equals, secondStartMs)
	}
}

// Guards against starts that are sent to a worker whose connections have just closed: it may have
// restarted, and would keep them for as long as it allows.
func TestNoStartsAfterLostConnectionUntilWorkerAnswers(t *testing.T) {
	r := newStartRig(t)
	r.startTask(1)
	r.m.HandleHoldAnswer(r.now, startedAt(firstStartMs), &HoldAnswer{Verdict: NoAnswer, IsConnLost: true})
	r.actions()
	r.sendTasks(r.now, 2)
	got := groupActions(r.actions())
	r.Check(got.starts, qt.HasLen, 0)
	r.answerStartHold(firstStartMs, HoldAnswer{ClockMs: r.clockMs(), Active: []Active{{Key: key(1), Percent: 1}}})
	r.sendTasks(r.now, 3)
	r.Check(groupActions(r.actions()).starts, qt.DeepEquals, []Key{key(3)})
}

// Guards against a guard that sends Holds without a pause while its worker is down and its address
// refuses connections.
func TestHoldsToRefusingWorkerPause(t *testing.T) {
	r := newStartRig(t)
	r.sendTasks(r.now, 1)
	r.answerStart(key(1), Done)
	holds := 0
	for range 1000 { // one second
		r.advance(time.Millisecond)
		holds += len(groupActions(r.actions()).holds)
		if r.m.instance.hasHoldInFlight {
			r.m.HandleHoldAnswer(r.now, startedAt(firstStartMs), &HoldAnswer{Verdict: NoAnswer, IsConnRefused: true, IsConnLost: true})
		}
	}
	r.Check(holds <= maxUnansweredHolds+3, qt.IsTrue, qt.Commentf("%d Holds", holds))
}
