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

// fixture is the machine of entry-a, a witness of entry-b for guards 1 and 2.
type fixture struct {
	c   *qt.C
	now time.Time
	m   *Machine
	job Job
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), now: epoch, m: NewMachine(self, Options{})}
	f.applyRoster(1, nil, self, other)
	f.m.GuardUp(f.now, guard1)
	f.m.GuardUp(f.now, guard2)
	f.m.Witness(f.now, other, &wire.Witness{Seq: 1, Guards: []identity.Incarnation{guard1, guard2}})
	f.m.Witness(f.now, other, &wire.Witness{Seq: 2, SinceMs: epoch.UnixMilli(), Version: 1})
	f.now = f.now.Add(time.Second)
	f.job = Job{Member: "ayni", Key: "k", BirthMs: f.now.UnixMilli(), Home: other}
	f.m.Actions()
	return f
}

func (f *fixture) applyRoster(v int64, gone []identity.Incarnation, members ...identity.Incarnation) {
	r := &wire.Roster{Version: v, Gone: gone}
	for _, m := range members {
		r.Members = append(r.Members, wire.EntryAddr{Incarnation: m})
	}
	f.m.Roster(f.now, r, false)
}

func (f *fixture) declareGone() { f.applyRoster(2, []identity.Incarnation{other}, self) }

func (f *fixture) startRecovery() { f.m.Recover(f.now, f.job, f.now.Add(10*time.Second)) }

func (f *fixture) reportStarts(g identity.Incarnation, tasks ...int) {
	r := &wire.FenceReport{FencedEntry: other, FloorMs: epoch.UnixMilli()}
	for _, task := range tasks {
		r.Started = append(r.Started, wire.Started{Ref: wire.Ref{Member: "ayni", Key: "k", Task: task}, Of: 2})
	}
	f.m.Report(f.now, g, r)
}

func (f *fixture) returnResults(g identity.Incarnation, tasks ...int) {
	c := &wire.Collected{Member: "ayni", Key: "k"}
	for _, task := range tasks {
		c.Results = append(c.Results, wire.Result{Ref: wire.Ref{Task: task}, Status: 200, Ran: errkind.RanYes})
	}
	f.m.Collected(f.now, g, c)
}

// verdictAfter advances the clock by d and returns the finding's verdict, or Pending
// if there is none.
func (f *fixture) verdictAfter(d time.Duration) Verdict {
	f.now = f.now.Add(d)
	f.m.Tick(f.now)
	for _, a := range f.m.Actions() {
		if a.Finding != nil {
			if a.Finding.Verdict == Complete {
				f.c.Check(a.Finding.Results, qt.HasLen, 2)
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
	f := newFixture(t)
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1)
	f.c.Assert(f.verdictAfter(0), qt.Equals, Pending)
	f.reportStarts(guard2)
	f.c.Assert(f.verdictAfter(0), qt.Equals, NotRun)
}

// An entry is killed after both tasks started. The guards still hold the results,
// and the caller gets the complete result from another entry.
func TestCompleteResultIsCollected(t *testing.T) {
	f := newFixture(t)
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1, 0)
	f.reportStarts(guard2, 1)
	f.returnResults(guard1, 0)
	f.c.Assert(f.verdictAfter(time.Second), qt.Equals, Pending)
	f.returnResults(guard2, 1)
	f.c.Assert(f.verdictAfter(0), qt.Equals, Complete)
}

// An entry is killed between the two starts of a job. The second task will never
// run, so the job has failed, and the recovery reports that at once.
func TestPartlyStartedJobFails(t *testing.T) {
	f := newFixture(t)
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1, 0)
	f.reportStarts(guard2)
	f.returnResults(guard1, 0)
	f.c.Assert(f.verdictAfter(0), qt.Equals, Failed)
}

// An entry is killed after both tasks started, and one of them failed at its
// upstream. All results are available, but the job must be reported as failed and
// not as complete.
func TestFailedTaskFailsJob(t *testing.T) {
	f := newFixture(t)
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1, 0, 1)
	f.reportStarts(guard2)
	f.returnResults(guard1, 0)
	f.m.Collected(f.now, guard1, &wire.Collected{Member: "ayni", Key: "k", Results: []wire.Result{
		{Ref: wire.Ref{Task: 1}, Kind: errkind.UpstreamFailed, Ran: errkind.RanYes},
	}})
	actions := f.m.Actions()
	last := actions[len(actions)-1].Finding
	f.c.Assert(last.Verdict, qt.Equals, Failed)
	f.c.Assert(last.Err().Kind, qt.Equals, errkind.UpstreamFailed)
}

// An entry and a guard fail together, for example with the switch of a rack. The
// guard may have started the task, so the verdict must not be "not run".
func TestLostGuardMakesOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	f.m.GuardDown(f.now, guard2)
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1)
	f.c.Assert(f.verdictAfter(time.Second), qt.Equals, Pending)
	f.c.Assert(f.verdictAfter(DefaultGracePeriod), qt.Equals, Unknown)
}

// A guard was linked only to the entry that is now gone, and never to this one. The
// announcement names it, so without its report there is no proof.
func TestGuardLinkedOnlyToGoneEntry(t *testing.T) {
	f := newFixture(t)
	f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1)
	f.reportStarts(guard2)
	f.c.Assert(f.verdictAfter(DefaultGracePeriod), qt.Equals, Unknown)
}

// A guard was removed for good before the job was born, and its entry announced
// that. Its missing report does not prevent the proof. For an older job it does.
func TestGuardDroppedBeforeBirth(t *testing.T) {
	for _, tc := range []struct {
		after time.Duration // AfterMs relative to the birth
		want  Verdict
	}{{-time.Millisecond, NotRun}, {0, NotRun}, {time.Millisecond, Unknown}} {
		f := newFixture(t)
		drop := wire.DroppedGuard{Guard: guard2, AfterMs: f.job.BirthMs + tc.after.Milliseconds()}
		f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Dropped: []wire.DroppedGuard{drop}})
		f.m.GuardDown(f.now, guard2)
		f.now = f.now.Add(DefaultGracePeriod)
		f.declareGone()
		f.startRecovery()
		f.reportStarts(guard1)
		f.c.Check(f.verdictAfter(0), qt.Equals, tc.want, qt.Commentf("%v", tc.after))
	}
}

// The job was born before this entry became a witness, or before the floor of a
// guard's report. In both cases the reports may omit a start.
func TestBirthBeforeWitnessTimeIsUnknown(t *testing.T) {
	f := newFixture(t)
	f.job.BirthMs = epoch.UnixMilli() - 1
	f.declareGone()
	f.startRecovery()
	f.reportStarts(guard1)
	f.reportStarts(guard2)
	f.returnResults(guard1)
	f.returnResults(guard2)
	f.c.Assert(f.verdictAfter(0), qt.Equals, Unknown)
}

// This entry was disconnected and removed from a roster. The other entry then no
// longer required its acknowledgements, started to use a new guard, and crashed. The
// old list of guards proves nothing any more.
func TestRemovedWitnessCannotProveNotRun(t *testing.T) {
	f := newFixture(t)
	f.applyRoster(2, nil, other)
	f.applyRoster(3, nil, self, other)
	f.applyRoster(4, []identity.Incarnation{other}, self)
	f.startRecovery()
	f.reportStarts(guard1)
	f.reportStarts(guard2)
	f.c.Assert(f.verdictAfter(0), qt.Equals, Unknown)
}

// The store is down, so a crashed entry cannot be declared gone. A caller gets Later
// after the grace period instead of at its deadline.
func TestUndeclaredEntryReturnsLater(t *testing.T) {
	f := newFixture(t)
	f.startRecovery()
	f.c.Assert(f.verdictAfter(DefaultGracePeriod), qt.Equals, RetryLater)
}

// An entry that is declared gone may still be running and link a new guard. If its
// announcement were acknowledged, it would use a guard that the proof omits.
func TestGoneEntryGetsNoAcknowledgement(t *testing.T) {
	f := newFixture(t)
	f.declareGone()
	f.m.Actions()
	f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	f.c.Assert(f.m.Actions(), qt.HasLen, 0)
}

// An entry of the planned size crashes with the requests of many callers, who all
// resubmit. If each report made the recovering entry examine every job and guard, it
// would be busy for many seconds while its own requests wait.
func TestRecoveryAtPlannedSize(t *testing.T) {
	const guards, jobs = 820, 640
	f := newFixture(t)
	guardName := func(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprint("guard-", i)) }
	w := &wire.Witness{Seq: 3}
	for i := range guards {
		w.Guards = append(w.Guards, guardName(i))
		f.m.GuardUp(f.now, guardName(i))
	}
	f.m.Witness(f.now, other, w)
	f.declareGone()
	startedAt := time.Now()
	for i := range jobs {
		j := f.job
		j.Key = fmt.Sprint(i)
		f.m.Recover(f.now, j, f.now.Add(time.Minute))
	}
	for i := range guards {
		f.reportStarts(guardName(i))
	}
	findings := 0
	for _, a := range f.m.Actions() {
		if a.Finding != nil && a.Finding.Verdict == NotRun {
			findings++
		}
	}
	t.Logf("%d guards, %d jobs: %v", guards, jobs, time.Since(startedAt))
	f.c.Assert(findings, qt.Equals, jobs)
	f.c.Assert(time.Since(startedAt) < 2*time.Second, qt.IsTrue)
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
