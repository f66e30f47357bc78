package confsync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// putMember writes the member ayni through the Sync under test.
func (f *fixture) putMember(region string, expectedRevision int64) (int64, error) {
	return f.writer.Put(f.t.Context(), record.KindMember, "ayni", memberJSON(region), expectedRevision)
}

// stored returns the member ayni's region and revision in the store; "" and 0 if
// it does not exist.
func (f *fixture) stored() (region string, revision int64) {
	f.server.SetDown(false)
	f.server.SetDelay(0)
	kvs, _, err := f.newStoreClient().Range(f.t.Context(), record.Key(record.KindMember, "ayni"))
	f.Assert(err, qt.IsNil)
	if len(kvs) == 0 {
		return "", 0
	}
	p, err := record.Parse(kvs[0].Value)
	f.Assert(err, qt.IsNil)
	return p.Member.HomeRegion, kvs[0].ModRevision
}

func (f *fixture) assertConflict(err error, current int64) {
	f.Assert(errkind.KindOf(err), qt.Equals, errkind.RecordConflict)
	c, ok := errors.AsType[*ConflictError](err)
	f.Assert(ok, qt.IsTrue)
	f.Assert(c.Current, qt.Equals, current)
}

// Two operators write the same revision of a record concurrently. One must succeed
// and the other must get a conflict with the current revision. If both were
// confirmed, one write would be lost unnoticed.
func TestConcurrentWritesOneWinsAndOneConflicts(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		other := f.startEntry()
		type outcome struct {
			revision int64
			err      error
		}
		var wg sync.WaitGroup
		outcomes := make([]outcome, 2)
		for i, s := range []*Sync{f.sync, other} {
			wg.Go(func() {
				r, err := s.Put(f.t.Context(), record.KindMember, "ayni", memberJSON(fmt.Sprintf("region-%d", i)), base)
				outcomes[i] = outcome{r, err}
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if outcomes[0].err != nil {
			winner, loser = 1, 0
		}
		f.Assert(outcomes[winner].err, qt.IsNil)
		f.assertConflict(outcomes[loser].err, outcomes[winner].revision)
		stored, _ := f.stored()
		f.Assert(stored, qt.Equals, fmt.Sprintf("region-%d", winner))
	})
}

// A write takes effect but its response is lost. If it were reported as failed, the
// operator would retry and get a conflict although nobody else wrote the record.
func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		for _, expectedRevision := range []int64{0, 2} {
			f.server.DropResponses(1)
			revision, err := f.putMember("lima", expectedRevision)
			f.Assert(err, qt.IsNil)
			_, stored := f.stored()
			f.Assert(revision, qt.Equals, stored)
		}
		f.Assert(counter(f.writer, "amend.recovered"), qt.Equals, int64(2))
	})
}

// The response is lost and another operator has overwritten the record since. The
// record carries the other operator's write ID, but this write did take effect, so
// a conflict would be wrong.
func TestLostResponseThenOverwrittenByAnother(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		f.server.DropResponses(1)
		c := f.sendWithLostResponse(&change{kind: record.KindMember, name: "ayni", expectedRevision: base}, "cusco")
		f.writeMember("tacna", c.revision)
		o, revision, current := f.writer.resolveOutcome(f.t.Context(), c.change)
		f.Assert(o, qt.Equals, outcomeApplied)
		f.Assert(revision, qt.Equals, c.revision)
		f.Assert(current, qt.Equals, c.revision+1)
	})
}

// sentChange is a change whose response was lost, with its revision in the store.
type sentChange struct {
	change   *change
	revision int64
}

func (f *fixture) sendWithLostResponse(c *change, region string) sentChange {
	value, err := record.WithWriteID(memberJSON(region), "w-1")
	f.Assert(err, qt.IsNil)
	c.value, c.writeID, c.baseRevision = value, "w-1", max(c.expectedRevision, f.writer.Revision())
	_, err = f.writer.send(f.t.Context(), c)
	f.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	return sentChange{c, f.server.Revision()}
}

// A record is created, the response is lost, and another operator deletes the
// record before the outcome is resolved. Writing it again would undo the deletion
// that was confirmed to the other operator.
func TestLostResponseThenDeletedByAnother(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.server.DropResponses(1)
		c := f.sendWithLostResponse(&change{kind: record.KindMember, name: "ayni"}, "cusco")
		_, err := f.newStoreClient().Delete(f.t.Context(), c.change.key(), c.revision)
		f.Assert(err, qt.IsNil)
		o, revision, _ := f.writer.resolveOutcome(f.t.Context(), c.change)
		f.Assert(o, qt.Equals, outcomeApplied)
		f.Assert(revision, qt.Equals, c.revision)
	})
}

// resolveWithTimeout resolves the outcome of c, for at most timeout.
func (f *fixture) resolveWithTimeout(timeout time.Duration, c *change) outcome {
	ctx, cancel := context.WithTimeout(f.t.Context(), timeout)
	defer cancel()
	result, _, _ := f.writer.resolveOutcome(ctx, c)
	return result
}

// The response is lost, another operator deletes the record, and the store's
// watches deliver nothing or open too late, so that the history is unreadable. This
// must not be mistaken for a history without the write.
func TestUnreadableHistoryLeavesOutcomeUnknown(t *testing.T) {
	for name, hide := range map[string]func(*fixture){
		"silent": func(f *fixture) { f.server.StallWatches(true) },
		"slow":   func(f *fixture) { f.server.SetDelay(700 * time.Millisecond) },
	} {
		for _, create := range []bool{true, false} {
			if name == "silent" && create {
				continue // a stalled watch looks like an empty history; see Put
			}
			runWithStore(t, func(f *fixture) {
				var expectedRevision int64
				if !create {
					expectedRevision = f.writeMember("lima", 0)
				}
				f.server.DropResponses(1)
				c := f.sendWithLostResponse(&change{kind: record.KindMember, name: "ayni", expectedRevision: expectedRevision}, "cusco")
				_, err := f.newStoreClient().Delete(f.t.Context(), c.change.key(), c.revision)
				f.Assert(err, qt.IsNil)
				hide(f)
				f.Assert(f.resolveWithTimeout(5*time.Second, c.change), qt.Equals, outcomeUnknown, qt.Commentf("%s, create %v", name, create))
			})
		}
	}
}

// A client uses the same write ID for two writes, and the second one never reaches
// the store. The first version of the record has this ID too and must not be taken
// for the second write.
func TestReusedWriteIDIsNotTakenForTheSecondWrite(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		put := func(region string, expectedRevision int64) (int64, error) {
			return f.writer.PutWithWriteID(f.t.Context(), "one-for-both", record.KindMember, "ayni", memberJSON(region), expectedRevision)
		}
		base, err := put("lima", 0)
		f.Assert(err, qt.IsNil)
		f.server.SetDown(true)
		time.AfterFunc(2*time.Second, func() { f.server.SetDown(false) })
		revision, err := put("cusco", base)
		f.Assert(err, qt.IsNil)
		f.Assert(revision, qt.Equals, base+1)
		region, _ := f.stored()
		f.Assert(region, qt.Equals, "cusco")
	})
}

// The connection breaks before the store receives the write, and the store recovers
// shortly after. The write must be retried and take effect once.
func TestUndeliveredWriteIsRetried(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		f.server.SetDown(true)
		time.AfterFunc(2*time.Second, func() { f.server.SetDown(false) })
		revision, err := f.putMember("cusco", base)
		f.Assert(err, qt.IsNil)
		f.Assert(revision, qt.Equals, base+1)
	})
}

// The connection breaks before the store receives the write, and another operator
// writes the record in the meantime. The write must end in a conflict.
func TestUndeliveredWriteConflictsWithAnotherWrite(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		f.server.SetDown(true)
		result := make(chan error, 1)
		go func() { _, err := f.putMember("cusco", base); result <- err }()
		time.Sleep(2 * time.Second)
		f.server.SetDown(false)
		// The retry has a delay, so the other operator writes first.
		current, err := f.newStoreClient().Put(f.t.Context(), record.Key(record.KindMember, "ayni"), memberJSON("tacna"), base, 0)
		f.Assert(err, qt.IsNil)
		f.assertConflict(<-result, current)
		region, _ := f.stored()
		f.Assert(region, qt.Equals, "tacna")
	})
}

// The response is lost and the store stays down, so neither success nor conflict
// can be established. The operator must get this answer within the time limit,
// with advice on how to proceed.
func TestUnresolvableOutcomeIsReportedAsUnknown(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.server.DropResponses(1)
		f.server.SetDelay(10 * time.Millisecond)
		result := make(chan error, 1)
		go func() { _, err := f.putMember("lima", 0); result <- err }()
		for f.server.Revision() == 1 {
			time.Sleep(time.Millisecond)
		}
		f.server.SetDown(true)
		start := time.Now()
		err := <-result
		f.Assert(errkind.KindOf(err), qt.Equals, errkind.StoreUnavailable)
		f.Assert(errkind.From(err).Ran, qt.Equals, errkind.RanUnknown)
		f.Assert(err, qt.ErrorMatches, `.*not known; read the record.*`)
		f.Assert(time.Since(start) <= DefaultResolveTimeout, qt.IsTrue)
	})
}

// The store is slower than the call timeout while two operators write the same
// record. A confirmed write must be in the store, and a write that ended in a
// conflict must not.
func TestConcurrentWritesWithSlowStoreAndLostResponses(t *testing.T) {
	for seed := range 20 {
		runWithStore(t, func(f *fixture) {
			base := f.writeMember("lima", 0)
			other := New(Options{Store: f.newStoreClient()})
			f.server.DropResponses(1 + seed%3)
			f.server.SetDelay(time.Duration(seed) * 150 * time.Millisecond)
			time.AfterFunc(time.Duration(seed)*time.Second/3, func() { f.server.SetDelay(0) })
			errs := make([]error, 2)
			var wg sync.WaitGroup
			for i, s := range []*Sync{f.writer, other} {
				wg.Go(func() {
					_, errs[i] = s.Put(f.t.Context(), record.KindMember, "ayni", memberJSON(fmt.Sprintf("region-%d", i)), base)
				})
			}
			wg.Wait()
			stored, _ := f.stored()
			for i, err := range errs {
				isStored := stored == fmt.Sprintf("region-%d", i)
				switch errkind.KindOf(err) {
				case errkind.None:
					f.Assert(isStored, qt.IsTrue, qt.Commentf("seed %d", seed))
				case errkind.RecordConflict:
					f.Assert(isStored, qt.IsFalse, qt.Commentf("seed %d", seed))
				default:
					f.Assert(errkind.KindOf(err), qt.Equals, errkind.StoreUnavailable, qt.Commentf("seed %d", seed))
				}
			}
		})
	}
}

// The store executes a write only after its sender has timed out, just before the
// retry of the same write arrives. The retry fails the comparison because of the
// first attempt; it must not be reported as a conflict with another operator.
func TestDelayedWriteDoesNotConflictWithItsRetry(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		f.server.DelayWrites(1100*time.Millisecond, 300*time.Millisecond)
		revision, err := f.putMember("cusco", base)
		f.Assert(err, qt.IsNil)
		f.Assert(revision, qt.Equals, base+1)
	})
}

// A deletion takes effect but its response is lost.
func TestLostResponseOfADeletion(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		base := f.writeMember("lima", 0)
		f.server.DropResponses(1)
		revision, err := f.writer.Delete(f.t.Context(), record.KindMember, "ayni", base)
		f.Assert(err, qt.IsNil)
		f.Assert(revision, qt.Equals, base+1)
		_, stored := f.stored()
		f.Assert(stored, qt.Equals, int64(0))
		_, err = f.writer.Delete(f.t.Context(), record.KindMember, "ayni", base)
		f.assertConflict(err, 0)
	})
}

// An operator sends a record that is malformed or has the name of another record.
// It must be rejected before it is sent to the store, with the invalid field.
func TestInvalidRecordIsNotWritten(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		for value, want := range map[string]string{
			`{"kind":"member","name":"leeuwin","schema":1}`:             `.*name: .*`,
			`{"kind":"member","name":"ayni","schema":1,"teams":["A"]}`:  `.*teams\.0: .*`,
			`{"kind":"member","name":"ayni","schema":9}`:                `.*schema: 9 is above 1.*`,
			`{"kind":"member","name":"ayni","schema":1,"tokens":["x"]}`: `.*tokens: unknown field`,
			`{"kind":"member","name":"ayni","schema":1,"name":"ayni"}`:  `.*name: stands twice`,
			`[]`: `.*want a JSON object.*`,
		} {
			_, err := f.writer.Put(f.t.Context(), record.KindMember, "ayni", []byte(value), 0)
			f.Check(errkind.KindOf(err), qt.Equals, errkind.RecordInvalid)
			f.Check(err, qt.ErrorMatches, want)
		}
		f.Assert(f.server.Revision(), qt.Equals, int64(1))
	})
}

// An operator deletes a member whose services are in use. The services must stop
// being available, since they have no owner, and become available again when the
// member is recreated.
func TestDeletingAMemberDisablesItsServices(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		_, err := f.writer.Put(f.t.Context(), record.KindService, "ayni/reserva", []byte(`{"kind":"service","name":"ayni/reserva","schema":2}`), 0)
		f.Assert(err, qt.IsNil)
		synctest.Wait()
		isServiceActive := func() bool { _, ok := f.sync.Current().Service("ayni/reserva"); return ok }
		f.Assert(isServiceActive(), qt.IsTrue)
		_, err = f.writer.Delete(f.t.Context(), record.KindMember, "ayni", revision)
		f.Assert(err, qt.IsNil)
		synctest.Wait()
		f.Assert(isServiceActive(), qt.IsFalse)
		f.writeMember("lima", 0)
		f.Assert(isServiceActive(), qt.IsTrue)
	})
}

// An operator's client disconnects during a write. The call must end with its
// context and report that the store is unavailable and the outcome unknown.
func TestCallerTimeoutEndsTheWrite(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.server.SetDown(true)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		_, err := f.writer.Put(ctx, record.KindMember, "ayni", memberJSON("lima"), 0)
		f.Assert(errkind.KindOf(err), qt.Equals, errkind.StoreUnavailable)
	})
}

// The store refuses connections, so the write cannot have taken effect. The
// operator must get this answer immediately, not after the resolve timeout of ten
// seconds and not with an unknown outcome.
func TestRefusedConnectionMeansNotWritten(t *testing.T) {
	c := qt.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed.Close()
	s := New(Options{Store: store.NewEtcd(store.Options{Endpoints: []string{"http://" + closed.Addr().String()}})})
	start := time.Now()
	_, err = s.Put(t.Context(), record.KindMember, "ayni", memberJSON("lima"), 0)
	c.Assert(errkind.KindOf(err), qt.Equals, errkind.StoreUnavailable)
	c.Assert(errkind.From(err).Ran, qt.Equals, errkind.RanNo)
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
}

// The store has been down for a while. A write must be rejected immediately, with
// the certainty that nothing was written and the delay before a retry, instead of
// ending with an unknown outcome after ten seconds.
func TestWriteDuringAnOutageFailsImmediately(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		f.server.SetDown(true)
		time.Sleep(time.Minute)
		start := time.Now()
		_, err := f.sync.Put(f.t.Context(), record.KindMember, "ayni", memberJSON("cusco"), revision)
		f.Assert(time.Since(start), qt.Equals, time.Duration(0))
		f.Assert(errkind.KindOf(err), qt.Equals, errkind.StoreUnavailable)
		f.Assert(errkind.From(err).Ran, qt.Equals, errkind.RanNo)
		f.Assert(errkind.From(err).After, qt.Equals, DefaultMaxBackoff)
		region, _ := f.stored()
		f.Assert(region, qt.Equals, "lima")
		time.Sleep(DefaultMaxBackoff + time.Second)
		_, err = f.sync.Put(f.t.Context(), record.KindMember, "ayni", memberJSON("cusco"), revision)
		f.Assert(err, qt.IsNil)
	})
}

// The store's response to a write arrives before the watch event at the entry. The
// write must be visible at the same entry once it is confirmed; without a wait the
// operator would read the old value at the old revision.
func TestConfirmedWriteIsVisibleAtTheSameEntry(t *testing.T) {
	const delay = 300 * time.Millisecond
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		f.server.StallWatches(true)
		time.AfterFunc(delay, func() { f.server.StallWatches(false) })
		second, err := f.sync.Put(f.t.Context(), record.KindMember, "ayni", memberJSON("cusco"), first)
		f.Assert(err, qt.IsNil)
		f.Check(f.sync.Revision() >= second, qt.IsTrue)
		f.Check(region(f.sync), qt.Equals, "cusco")
		f.Check(f.counter("amend.unseen"), qt.Equals, int64(0))
	})
}

// The entry's watch delivers nothing. The write must be confirmed within about a
// second, without waiting for the stalled watch to be detected.
func TestWriteIsConfirmedWhileTheWatchIsStalled(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		f.server.StallWatches(true)
		start := time.Now()
		_, err := f.sync.Put(f.t.Context(), record.KindMember, "ayni", memberJSON("cusco"), first)
		f.Assert(err, qt.IsNil)
		f.Check(time.Since(start) <= applyWaitTimeout, qt.IsTrue)
	})
}
