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
	self  = identity.Incarnation("entry-a")
	other = identity.Incarnation("entry-b")
	g1    = identity.Incarnation("guard-1")
	g2    = identity.Incarnation("guard-2")
)

var epoch = time.UnixMilli(1_790_000_000_000)

// fixture is entry-a, a witness of entry-b for guards 1 and 2.
type fixture struct {
	c   *qt.C
	now time.Time
	m   *Machine
	job Job
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), now: epoch, m: NewMachine(self, Options{})}
	f.roster(1, nil, self, other)
	f.m.GuardUp(f.now, g1)
	f.m.GuardUp(f.now, g2)
	f.m.Witness(f.now, other, &wire.Witness{Seq: 1, Guards: []identity.Incarnation{g1, g2}})
	f.m.Witness(f.now, other, &wire.Witness{Seq: 2, SinceMs: epoch.UnixMilli(), Version: 1})
	f.now = f.now.Add(time.Second)
	f.job = Job{Member: "ayni", Key: "k", BirthMs: f.now.UnixMilli(), Home: other}
	f.m.Actions()
	return f
}

func (f *fixture) roster(v int64, gone []identity.Incarnation, members ...identity.Incarnation) {
	r := &wire.Roster{Version: v, Gone: gone}
	for _, m := range members {
		r.Members = append(r.Members, wire.EntryAddr{Incarnation: m})
	}
	f.m.Roster(f.now, r, false)
}

func (f *fixture) die() { f.roster(2, []identity.Incarnation{other}, self) }

func (f *fixture) recover() { f.m.Recover(f.now, f.job, f.now.Add(10*time.Second)) }

func (f *fixture) report(g identity.Incarnation, tasks ...int) {
	r := &wire.FenceReport{Gone: other, FloorMs: epoch.UnixMilli()}
	for _, task := range tasks {
		r.Started = append(r.Started, wire.Started{Ref: wire.Ref{Member: "ayni", Key: "k", Task: task}, Of: 2})
	}
	f.m.Report(f.now, g, r)
}

func (f *fixture) collected(g identity.Incarnation, tasks ...int) {
	c := &wire.Collected{Member: "ayni", Key: "k"}
	for _, task := range tasks {
		c.Results = append(c.Results, wire.Result{Ref: wire.Ref{Task: task}, Status: 200, Ran: errkind.RanYes})
	}
	f.m.Collected(f.now, g, c)
}

// verdict lets time pass and returns the finding's verdict, or Wait.
func (f *fixture) verdict(d time.Duration) Verdict {
	f.now = f.now.Add(d)
	f.m.Tick(f.now)
	for _, a := range f.m.Actions() {
		if a.Finding != nil {
			if a.Finding.Verdict == Whole {
				f.c.Check(a.Finding.Results, qt.HasLen, 2)
			}
			return a.Finding.Verdict
		}
	}
	return Wait
}

// An entry is killed before it sent a booking to any guard. All guards that it
// used report, so the caller learns within a round trip that nothing ran, and
// may book again under a new identity.
func TestNotRunIsProvedByAllGuards(t *testing.T) {
	f := newFixture(t)
	f.die()
	f.recover()
	f.report(g1)
	f.c.Assert(f.verdict(0), qt.Equals, Wait)
	f.report(g2)
	f.c.Assert(f.verdict(0), qt.Equals, NotRun)
}

// An entry is killed after both tasks started. The guards still hold the
// results, and the caller gets the whole answer from another entry.
func TestWholeAnswerIsCollected(t *testing.T) {
	f := newFixture(t)
	f.die()
	f.recover()
	f.report(g1, 0)
	f.report(g2, 1)
	f.collected(g1, 0)
	f.c.Assert(f.verdict(time.Second), qt.Equals, Wait)
	f.collected(g2, 1)
	f.c.Assert(f.verdict(0), qt.Equals, Whole)
}

// An entry is killed between the two starts of a job. The second task never
// runs, so the job has failed as a whole, and the answer says so at once.
func TestPartlyStartedJobFails(t *testing.T) {
	f := newFixture(t)
	f.die()
	f.recover()
	f.report(g1, 0)
	f.report(g2)
	f.collected(g1, 0)
	f.c.Assert(f.verdict(0), qt.Equals, Failed)
}

// An entry is killed after both tasks started, and one of them failed at its
// upstream. All results are there, but the job's answer must be marked failed
// and not pass for a whole one.
func TestFailedTaskFailsTheJob(t *testing.T) {
	f := newFixture(t)
	f.die()
	f.recover()
	f.report(g1, 0, 1)
	f.report(g2)
	f.collected(g1, 0)
	f.m.Collected(f.now, g1, &wire.Collected{Member: "ayni", Key: "k", Results: []wire.Result{
		{Ref: wire.Ref{Task: 1}, Kind: errkind.UpstreamFailed, Ran: errkind.RanYes},
	}})
	found := f.m.Actions()
	last := found[len(found)-1].Finding
	f.c.Assert(last.Verdict, qt.Equals, Failed)
	f.c.Assert(last.Err().Kind, qt.Equals, errkind.UpstreamFailed)
}

// An entry and a guard die together, as with the switch of a rack. The guard may
// have started the booking, so nobody can say "not run".
func TestLostGuardLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	f.m.GuardDown(f.now, g2)
	f.die()
	f.recover()
	f.report(g1)
	f.c.Assert(f.verdict(time.Second), qt.Equals, Wait)
	f.c.Assert(f.verdict(DefaultGrace), qt.Equals, Unknown)
}

// A guard came up at the entry that died and was never linked to this one. The
// announcement names it, and without its report there is no proof.
func TestGuardThatOnlyTheDeadEntryKnew(t *testing.T) {
	f := newFixture(t)
	f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	f.die()
	f.recover()
	f.report(g1)
	f.report(g2)
	f.c.Assert(f.verdict(DefaultGrace), qt.Equals, Unknown)
}

// A guard left for good long before the job was born. The entry said so, and the
// guard's silence does not spoil the proof. For an older job it does.
func TestGuardThatWasDroppedBefore(t *testing.T) {
	for _, tc := range []struct {
		after time.Duration // of the drop, relative to the birth
		want  Verdict
	}{{-time.Millisecond, NotRun}, {0, NotRun}, {time.Millisecond, Unknown}} {
		f := newFixture(t)
		drop := wire.DroppedGuard{Guard: g2, AfterMs: f.job.BirthMs + tc.after.Milliseconds()}
		f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Dropped: []wire.DroppedGuard{drop}})
		f.m.GuardDown(f.now, g2)
		f.now = f.now.Add(DefaultGrace)
		f.die()
		f.recover()
		f.report(g1)
		f.c.Check(f.verdict(0), qt.Equals, tc.want, qt.Commentf("%v", tc.after))
	}
}

// The job was born before this entry became a witness, or the guard's memory
// does not reach back that far. Either way a start may have been missed.
func TestBirthsBeforeTheWitnessTimeAreNotProved(t *testing.T) {
	f := newFixture(t)
	f.job.BirthMs = epoch.UnixMilli() - 1
	f.die()
	f.recover()
	f.report(g1)
	f.report(g2)
	f.collected(g1)
	f.collected(g2)
	f.c.Assert(f.verdict(0), qt.Equals, Unknown)
}

// This entry was cut off and left out of a roster. The other one no longer waited
// for its acknowledgements and took a new guard into use, then died. The old
// list proves nothing any more.
func TestLeftOutWitnessProvesNothing(t *testing.T) {
	f := newFixture(t)
	f.roster(2, nil, other)
	f.roster(3, nil, self, other)
	f.roster(4, []identity.Incarnation{other}, self)
	f.recover()
	f.report(g1)
	f.report(g2)
	f.c.Assert(f.verdict(0), qt.Equals, Unknown)
}

// The store is down, so that a dead entry cannot be declared gone. A caller that
// asks gets "come back later" after a short while and not at its deadline.
func TestUndeclaredHomeIsLater(t *testing.T) {
	f := newFixture(t)
	f.recover()
	f.c.Assert(f.verdict(DefaultGrace), qt.Equals, Later)
}

// Once an entry is declared gone it may still be alive and bring up a guard. If
// its announcement were acknowledged then, the guard would be used although the
// proof left it out.
func TestGoneEntryGetsNoAcknowledgement(t *testing.T) {
	f := newFixture(t)
	f.die()
	f.m.Actions()
	f.m.Witness(f.now, other, &wire.Witness{Seq: 3, Guards: []identity.Incarnation{"guard-3"}})
	f.c.Assert(f.m.Actions(), qt.HasLen, 0)
}

// An entry of the planned size dies with the requests of many callers, who all
// ask again. If each report made the survivor look at every job and guard, it
// would be busy for many seconds, with its own requests waiting.
func TestRecoveryAtThePlannedSize(t *testing.T) {
	const guards, jobs = 820, 640
	f := newFixture(t)
	name := func(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprint("guard-", i)) }
	w := &wire.Witness{Seq: 3}
	for i := range guards {
		w.Guards = append(w.Guards, name(i))
		f.m.GuardUp(f.now, name(i))
	}
	f.m.Witness(f.now, other, w)
	f.die()
	began := time.Now()
	for i := range jobs {
		j := f.job
		j.Key = fmt.Sprint(i)
		f.m.Recover(f.now, j, f.now.Add(time.Minute))
	}
	for i := range guards {
		f.report(name(i))
	}
	findings := 0
	for _, a := range f.m.Actions() {
		if a.Finding != nil && a.Finding.Verdict == NotRun {
			findings++
		}
	}
	t.Logf("%d guards, %d jobs: %v", guards, jobs, time.Since(began))
	f.c.Assert(findings, qt.Equals, jobs)
	f.c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
}

// An acknowledgement is on its way while its guard goes and comes back. Taken
// for the new announcement, which the peer may never hear, it would put a guard
// into use that the witness believes to be dropped.
func TestLateAcknowledgementDoesNotCount(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer()
	a.PeerUp(other)
	a.Acknowledged(other, a.Actions()[0].Witness.Seq)
	a.Grant(1, func(identity.Incarnation) bool { return true }, 1)
	a.Actions()
	a.GuardUp(g1)
	old := a.Actions()[0].Witness.Seq
	a.GuardLost(g1, 2)
	a.GuardUp(g1)
	a.Actions()
	a.Acknowledged(other, old)
	c.Assert(a.Held(), qt.Equals, 1)
}

// A guard comes up while a witness is cut off. It stays unused until the witness
// has answered, or a roster has left the witness out.
func TestGuardWaitsForItsWitness(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer()
	a.PeerUp(other)
	a.Acknowledged(other, a.Actions()[0].Witness.Seq)
	a.Grant(1, func(identity.Incarnation) bool { return true }, 1)
	a.PeerDown(other)
	a.Actions()
	a.GuardUp(g1)
	c.Assert(a.Actions(), qt.HasLen, 0)
	a.Roster(2, func(identity.Incarnation) bool { return false }, false)
	c.Assert(a.Actions(), qt.DeepEquals, []AnnounceAction{{Ready: g1}})
}
