package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/peers"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// A rival has seen the identity of an Ayni booking, and asks for it or cancels it
// at another entry, which passes the request on to the owner. He must learn
// nothing and stop nothing; Ayni gets its answer by the same way.
func TestRivalAsksThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, other := newBench(t), newBenchOf(t, "entry-b-000002")
		other.router.peer = owner.s
		g := owner.guard("guard-1", 8)
		key := owner.ticket()
		mine := owner.post("ayni", key, booking)
		st := owner.next(g).Start
		for _, method := range []string{"GET", "DELETE"} {
			other.refused(other.do(other.request("leeuwin", method, "/v1/jobs/"+key, "", "")), errkind.NotFound)
		}
		owner.silent(g)
		owner.ok(g, st, `{"escort":7}`)
		b := (<-mine).Body.String()
		w := other.do(other.request("ayni", "GET", "/v1/jobs/"+key, "", ""))
		other.Assert(w.Code, qt.Equals, http.StatusOK)
		other.Assert(w.Body.String(), qt.Equals, b)
	})
}

// A rival's guard, or another one of Ayni's own, answers for a booking that it
// was never sent. Completed by that, the passenger would be told of an escort
// that nobody booked.
func TestResultOfAGuardThatWasNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), booking)
		st := b.next(g).Start
		rival := b.guardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		own := b.guard("guard-3", 8)
		for _, l := range []wire.Link{rival, own} {
			b.ok(l, st, `{"escort":666}`)
			b.Assert(l.Send(&wire.Frame{Result: &wire.Result{Ref: st.Ref, Kind: errkind.Busy, Ran: errkind.RanNo}}), qt.IsNil)
		}
		b.silent(own)
		b.Assert(answer, qt.HasLen, 0)
		b.ok(g, st, `{"escort":7}`)
		b.Assert(string(decode(b, (<-answer).Body.Bytes()).Results[0].JSON), qt.Equals, `{"escort":7}`)
	})
}

// A guard sends what only entries send, to fetch other members' answers or to
// take part in the roster. Each must be refused, counted, and end the link.
func TestGuardSendsFramesOfEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		frames := []*wire.Frame{
			{Forward: &wire.Forward{Op: wire.OpFetch, Member: "ayni"}}, {Forwarded: &wire.Forwarded{}},
			{Promise: &wire.Promise{Version: 9}}, {Roster: &wire.Roster{Version: 9}}, {Join: &wire.Join{}},
			{Witness: &wire.Witness{Seq: 1}}, {Witnessed: &wire.Witnessed{Seq: 1}}, {PeerHello: &wire.PeerHello{}},
			{Start: &wire.Start{}}, {Cancel: &wire.Cancel{}}, {Fence: &wire.Fence{}}, {Collect: &wire.Collect{}},
			{Welcome: &wire.Welcome{}}, {Hello: &wire.Hello{}}, {Reserve: &wire.Reserve{}},
		}
		for _, f := range frames {
			g := b.guard("guard-1", 8)
			b.Assert(g.Send(f), qt.IsNil)
			b.Check(closed(g), qt.IsTrue, qt.Commentf("%+v", f))
		}
		b.Assert(b.s.metrics.Count(telemetry.FramesRefused), qt.Equals, int64(len(frames)))
		g := b.guard("guard-1", 8)
		b.Assert(g.Send(&wire.Frame{}), qt.IsNil) // of a newer version
		b.Assert(closed(g), qt.IsFalse)
	})
}

// An entry has died, and another recovers its jobs from guards. A rival's guard
// makes up a result for an Ayni booking, or says that it started it. The caller
// would get an answer that no upstream of Ayni's gave.
func TestRivalSpeaksOfAnothersJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		ref := wire.Ref{Member: "ayni", Key: "k"}
		foreign := []*wire.Frame{
			{Collected: &wire.Collected{Member: "ayni", Key: "k", Of: 1, Results: []wire.Result{{Ref: ref}}}},
			{Collected: &wire.Collected{Member: "leeuwin", Key: "k", Results: []wire.Result{{Ref: ref}}}},
			{FenceReport: &wire.FenceReport{Gone: "entry-b-000002", Started: []wire.Started{{Ref: ref, Of: 1}}}},
		}
		for _, f := range foreign {
			rival := b.guardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
			b.Assert(rival.Send(f), qt.IsNil)
			b.Check(closed(rival), qt.IsTrue)
		}
		b.Assert(b.router.heard, qt.HasLen, 0)
		own := b.guard("guard-1", 8)
		b.Assert(own.Send(foreign[0]), qt.IsNil)
		b.Assert(own.Send(foreign[2]), qt.IsNil)
		synctest.Wait()
		b.Assert(b.router.heard, qt.HasLen, 2)
	})
}

// Recovery asks guards what they hold of an Ayni booking. A rival's VM must not
// learn the booking's identity from the question.
func TestRivalIsNotAskedAboutAnothersJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		own := b.guard("guard-1", 8)
		rival := b.guardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		r, bind := NewPeerRouter(peers.Options{
			Self:  wire.EntryAddr{Incarnation: b.s.id},
			Store: store.NewEtcd(store.Options{Endpoints: []string{"http://store"}, Transport: &standin.Transport{Handler: standin.New()}}),
		})
		bind(b.s)
		for _, g := range []identity.Incarnation{"guard-1", "guard-2"} {
			r.toGuard(b.s, g, &wire.Frame{Collect: &wire.Collect{Member: "ayni", Key: "k"}})
			r.toGuard(b.s, g, &wire.Frame{Fence: &wire.Fence{Gone: "entry-b-000002"}})
		}
		b.Assert(b.next(own).Collect, qt.IsNotNil)
		b.Assert(b.next(own).Fence, qt.IsNotNil)
		b.Assert(b.next(rival).Fence, qt.IsNotNil)
		b.silent(rival)
	})
}

// A rival's guard goes by the name of one of Ayni's. Questions about Ayni's jobs,
// which go out by that name, must stay with Ayni's guard.
func TestRivalTakesAnothersIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.config.keys = map[string][]record.TokenHash{"leeuwin": keys("leeuwin-key")}
		own := b.guard("guard-1", 8)
		b.Assert(closed(b.guardOf("leeuwin/clubcast", "guard-1", "leeuwin-key", 8)), qt.IsTrue)
		b.Assert(b.s.links.send("guard-1", &wire.Frame{Fence: &wire.Fence{}}), qt.IsTrue)
		b.Assert(b.next(own).Fence, qt.IsNotNil)
	})
}
