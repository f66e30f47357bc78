package recovery

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

const (
	self   = identity.Incarnation("entry-a")
	other  = identity.Incarnation("entry-b")
	guard1 = identity.Incarnation("guard-1")
	guard2 = identity.Incarnation("guard-2")
)

var epoch = time.UnixMilli(1_790_000_000_000)

// harness is the machine of entry-a, a witness of entry-b for guards 1 and 2.
type harness struct {
	c   *qt.C
	now time.Time
	m   *Machine
	job Job
}

func newHarness(t *testing.T) *harness {
	h := &harness{c: qt.New(t), now: epoch, m: NewMachine(self, Options{})}
	h.applyRoster(1, nil, self, other)
	h.m.GuardUp(h.now, guard1)
	h.m.GuardUp(h.now, guard2)
	h.m.Witness(h.now, other, &wire.Witness{Seq: 1, Guards: []identity.Incarnation{guard1, guard2}})
	h.m.Witness(h.now, other, &wire.Witness{Seq: 2, SinceMs: epoch.UnixMilli(), Version: 1})
	h.now = h.now.Add(time.Second)
	h.job = Job{Member: "ayni", Key: "k", BirthMs: h.now.UnixMilli(), Home: other}
	h.m.Actions()
	return h
}

func (h *harness) applyRoster(v int64, gone []identity.Incarnation, members ...identity.Incarnation) {
	r := &wire.Roster{Version: v, Gone: gone}
	for _, m := range members {
		r.Members = append(r.Members, wire.EntryAddr{Incarnation: m})
	}
	h.m.Roster(h.now, r, false)
}

func (h *harness) declareGone() { h.applyRoster(2, []identity.Incarnation{other}, self) }

func (h *harness) startRecovery() { h.m.Recover(h.now, h.job, h.now.Add(10*time.Second)) }

func (h *harness) reportStarts(g identity.Incarnation, tasks ...int) {
	r := &wire.FenceReport{FencedEntry: other, FloorMs: epoch.UnixMilli()}
	for _, task := range tasks {
		r.Started = append(r.Started, wire.Started{Ref: wire.Ref{Member: "ayni", Key: "k", Task: task}, Of: 2})
	}
	h.m.Report(h.now, g, r)
}

func (h *harness) returnResults(g identity.Incarnation, tasks ...int) {
	c := &wire.Collected{Member: "ayni", Key: "k"}
	for _, task := range tasks {
		c.Results = append(c.Results, wire.Result{Ref: wire.Ref{Task: task}, Status: 200, Ran: errkind.RanYes})
	}
	h.m.Collected(h.now, g, c)
}

// verdictAfter advances the clock by d and returns the finding's verdict, or Pending
// if there is none.
func (h *harness) verdictAfter(d time.Duration) Verdict {
	h.now = h.now.Add(d)
	h.m.Tick(h.now)
	for _, a := range h.m.Actions() {
		if a.Finding != nil {
			if a.Finding.Verdict == Complete {
				h.c.Check(a.Finding.Results, qt.HasLen, 2)
			}
			return a.Finding.Verdict
		}
	}
	return Pending
}

// An entry is killed before it sent a task to any guard. All guards that it used
// report, so the caller learns within one round trip that nothing ran, and may
// submit the work again under a new identity.
func TestNotRunRequiresReportsOfAllGuards(t *testing.T) {
	h := newHarness(t)
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1)
	h.c.Assert(h.verdictAfter(0), qt.Equals, Pending)
	h.reportStarts(guard2)
	h.c.Assert(h.verdictAfter(0), qt.Equals, NotRun)
}

// An entry is killed after both tasks started. The guards still hold the results,
// and the caller gets the complete result from another entry.
func TestCompleteResultIsCollected(t *testing.T) {
	h := newHarness(t)
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1, 0)
	h.reportStarts(guard2, 1)
	h.returnResults(guard1, 0)
	h.c.Assert(h.verdictAfter(time.Second), qt.Equals, Pending)
	h.returnResults(guard2, 1)
	h.c.Assert(h.verdictAfter(0), qt.Equals, Complete)
}

// An entry is killed between the two starts of a job. The second task will never
// run, so the job has failed, and the recovery reports that at once.
func TestPartlyStartedJobFails(t *testing.T) {
	h := newHarness(t)
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1, 0)
	h.reportStarts(guard2)
	h.returnResults(guard1, 0)
	h.c.Assert(h.verdictAfter(0), qt.Equals, Failed)
}

// An entry is killed after both tasks started, and one of them failed at its
// upstream. All results are available, but the job must be reported as failed and
// not as complete.
func TestFailedTaskFailsJob(t *testing.T) {
	h := newHarness(t)
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1, 0, 1)
	h.reportStarts(guard2)
	h.returnResults(guard1, 0)
	h.m.Collected(h.now, guard1, &wire.Collected{Member: "ayni", Key: "k", Results: []wire.Result{
		{Ref: wire.Ref{Task: 1}, Kind: errkind.UpstreamFailed, Ran: errkind.RanYes},
	}})
	actions := h.m.Actions()
	last := actions[len(actions)-1].Finding
	h.c.Assert(last.Verdict, qt.Equals, Failed)
	h.c.Assert(last.Err().Kind, qt.Equals, errkind.UpstreamFailed)
}

// An entry and a guard fail together, for example with the switch of a rack. The
// guard may have started the task, so the verdict must not be "not run".
func TestLostGuardMakesOutcomeUnknown(t *testing.T) {
	h := newHarness(t)
	h.m.GuardDown(h.now, guard2)
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1)
	h.c.Assert(h.verdictAfter(time.Second), qt.Equals, Pending)
	h.c.Assert(h.verdictAfter(DefaultGracePeriod), qt.Equals, Unknown)
}

// A guard was linked only to the entry that is now gone, and never to this one. The
// announcement names it, so without its report there is no proof.
func TestGuardLinkedOnlyToGoneEntry(t *testing.T) {
	h := newHarness(t)
	h.m.Witness(h.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1)
	h.reportStarts(guard2)
	h.c.Assert(h.verdictAfter(DefaultGracePeriod), qt.Equals, Unknown)
}

// A guard was permanently removed before the job was born, and its entry announced
// that. Its missing report does not prevent the proof. For an older job it does.
func TestGuardDroppedBeforeBirth(t *testing.T) {
	for _, tc := range []struct {
		after time.Duration // AfterMs relative to the birth
		want  Verdict
	}{{-time.Millisecond, NotRun}, {0, NotRun}, {time.Millisecond, Unknown}} {
		h := newHarness(t)
		drop := wire.DroppedGuard{Guard: guard2, AfterMs: h.job.BirthMs + tc.after.Milliseconds()}
		h.m.Witness(h.now, other, &wire.Witness{Seq: 3, Dropped: []wire.DroppedGuard{drop}})
		h.m.GuardDown(h.now, guard2)
		h.now = h.now.Add(DefaultGracePeriod)
		h.declareGone()
		h.startRecovery()
		h.reportStarts(guard1)
		h.c.Check(h.verdictAfter(0), qt.Equals, tc.want, qt.Commentf("%v", tc.after))
	}
}

// The job was born before this entry became a witness, or before the floor of a
// guard's report. In both cases the reports may omit a start.
func TestBirthBeforeWitnessTimeIsUnknown(t *testing.T) {
	h := newHarness(t)
	h.job.BirthMs = epoch.UnixMilli() - 1
	h.declareGone()
	h.startRecovery()
	h.reportStarts(guard1)
	h.reportStarts(guard2)
	h.returnResults(guard1)
	h.returnResults(guard2)
	h.c.Assert(h.verdictAfter(0), qt.Equals, Unknown)
}

// This entry was disconnected and removed from a roster. The other entry then no
// longer required its acknowledgements, started to use a new guard, and crashed. The
// old list of guards proves nothing any more.
func TestRemovedWitnessCannotProveNotRun(t *testing.T) {
	h := newHarness(t)
	h.applyRoster(2, nil, other)
	h.applyRoster(3, nil, self, other)
	h.applyRoster(4, []identity.Incarnation{other}, self)
	h.startRecovery()
	h.reportStarts(guard1)
	h.reportStarts(guard2)
	h.c.Assert(h.verdictAfter(0), qt.Equals, Unknown)
}

// The store is down, so a crashed entry cannot be declared gone. The verdict must be
// RetryLater after the grace period, and not only at the caller's deadline.
func TestUndeclaredEntryReturnsRetryLater(t *testing.T) {
	h := newHarness(t)
	h.startRecovery()
	h.c.Assert(h.verdictAfter(DefaultGracePeriod), qt.Equals, RetryLater)
}

// An entry that is declared gone may still be running and link a new guard. If its
// announcement were acknowledged, it would use a guard that the proof omits.
func TestGoneEntryGetsNoAcknowledgement(t *testing.T) {
	h := newHarness(t)
	h.declareGone()
	h.m.Actions()
	h.m.Witness(h.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	h.c.Assert(h.m.Actions(), qt.HasLen, 0)
}

// An entry of the planned size crashes with the requests of many callers, who all
// resubmit. If each report made the recovering entry examine every job and guard, it
// would be busy for many seconds while its own requests wait.
func TestRecoveryAtPlannedSize(t *testing.T) {
	const guards, jobs = 820, 640
	h := newHarness(t)
	guardName := func(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprint("guard-", i)) }
	w := &wire.Witness{Seq: 3}
	for i := range guards {
		w.Guards = append(w.Guards, guardName(i))
		h.m.GuardUp(h.now, guardName(i))
	}
	h.m.Witness(h.now, other, w)
	h.declareGone()
	startedAt := time.Now()
	for i := range jobs {
		j := h.job
		j.Key = fmt.Sprint(i)
		h.m.Recover(h.now, j, h.now.Add(time.Minute))
	}
	for i := range guards {
		h.reportStarts(guardName(i))
	}
	findings := 0
	for _, a := range h.m.Actions() {
		if a.Finding != nil && a.Finding.Verdict == NotRun {
			findings++
		}
	}
	t.Logf("%d guards, %d jobs: %v", guards, jobs, time.Since(startedAt))
	h.c.Assert(findings, qt.Equals, jobs)
	h.c.Assert(time.Since(startedAt) < 2*time.Second, qt.IsTrue)
}

// An acknowledgement is in transit while its guard is removed and added again. If it
// counted for the new announcement, which the peer may never receive, the entry
// would use a guard that its witness has stored as dropped.
func TestLateAcknowledgementIsIgnored(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer()
	a.PeerUp(other)
	a.Acknowledged(other, a.Actions()[0].Witness.Seq)
	a.Grant(1, func(identity.Incarnation) bool { return true }, 1)
	a.Actions()
	a.GuardUp(guard1)
	oldSeq := a.Actions()[0].Witness.Seq
	a.GuardLost(guard1, 2)
	a.GuardUp(guard1)
	a.Actions()
	a.Acknowledged(other, oldSeq)
	c.Assert(a.PendingGuards(), qt.Equals, 1)
}

// A guard is added while a witness is disconnected. It must stay unused until the
// witness has acknowledged it, or a roster has removed the witness.
func TestGuardWaitsForWitnessAcknowledgement(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer()
	a.PeerUp(other)
	a.Acknowledged(other, a.Actions()[0].Witness.Seq)
	a.Grant(1, func(identity.Incarnation) bool { return true }, 1)
	a.PeerDown(other)
	a.Actions()
	a.GuardUp(guard1)
	c.Assert(a.Actions(), qt.HasLen, 0)
	a.Roster(2, func(identity.Incarnation) bool { return false }, false)
	c.Assert(a.Actions(), qt.DeepEquals, []AnnounceAction{{Ready: guard1}})
}
