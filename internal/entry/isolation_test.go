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

// Protects against access to another member's job by its key through a second
// entry, which forwards the request to the owner: the job can be neither read nor
// cancelled, while its own member gets the answer the same way.
func TestForwardedRequestCannotReachAnotherMembersJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, other := newTestEntry(t), newTestEntryWithID(t, "entry-b-000002")
		other.router.peer = owner.server
		g := owner.linkGuard("guard-1", 8)
		key := owner.newTicket()
		answer := owner.submit("ayni", key, testSubmission)
		st := owner.recvFrame(g).Start
		for _, method := range []string{"GET", "DELETE"} {
			other.assertRefused(other.serve(other.newRequest("leeuwin", method, "/v1/jobs/"+key, "", "")), errkind.NotFound)
		}
		owner.assertNoFrame(g)
		owner.sendResult(g, st, `{"escort":7}`)
		want := (<-answer).Body.String()
		w := other.serve(other.newRequest("ayni", "GET", "/v1/jobs/"+key, "", ""))
		other.Assert(w.Code, qt.Equals, http.StatusOK)
		other.Assert(w.Body.String(), qt.Equals, want)
	})
}

// Protects against a job that is completed by a guard which was never sent its
// task, whether of another member or of the same one: the caller would get a result
// that did not happen.
func TestResultFromUnassignedGuardIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), testSubmission)
		st := e.recvFrame(g).Start
		otherMember := e.linkGuardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		sameMember := e.linkGuard("guard-3", 8)
		for _, guard := range []wire.Link{otherMember, sameMember} {
			e.sendResult(guard, st, `{"escort":666}`)
			e.Assert(guard.Send(&wire.Frame{Result: &wire.Result{Ref: st.Ref, Kind: errkind.Busy, Ran: errkind.RanNo}}), qt.IsNil)
		}
		e.assertNoFrame(sameMember)
		e.Assert(answer, qt.HasLen, 0)
		e.sendResult(g, st, `{"escort":7}`)
		e.Assert(string(decodeJob(e, (<-answer).Body.Bytes()).Results[0].JSON), qt.Equals, `{"escort":7}`)
	})
}

// Protects against frames that only entries may send, with which a guard could
// fetch other members' answers or take part in the roster: each must be refused and
// counted, and must close the link.
func TestEntryFramesFromGuardAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		frames := []*wire.Frame{
			{Forward: &wire.Forward{Op: wire.OpFetch, Member: "ayni"}}, {Forwarded: &wire.Forwarded{}},
			{Promise: &wire.Promise{Version: 9}}, {Roster: &wire.Roster{Version: 9}}, {Join: &wire.Join{}},
			{Witness: &wire.Witness{Seq: 1}}, {WitnessAck: &wire.WitnessAck{Seq: 1}}, {PeerHello: &wire.PeerHello{}},
			{Start: &wire.Start{}}, {Cancel: &wire.Cancel{}}, {Fence: &wire.Fence{}}, {Collect: &wire.Collect{}},
			{Welcome: &wire.Welcome{}}, {Hello: &wire.Hello{}}, {Reserve: &wire.Reserve{}},
		}
		for _, f := range frames {
			g := e.linkGuard("guard-1", 8)
			e.Assert(g.Send(f), qt.IsNil)
			e.Check(isClosed(g), qt.IsTrue, qt.Commentf("%+v", f))
		}
		e.Assert(e.server.metrics.Count(telemetry.FramesRefused), qt.Equals, int64(len(frames)))
		g := e.linkGuard("guard-1", 8)
		e.Assert(g.Send(&wire.Frame{}), qt.IsNil) // as a frame of a newer version is decoded
		e.Assert(isClosed(g), qt.IsFalse)
	})
}

// Protects against forged recovery reports: when an entry is lost and another one
// recovers its jobs from guards, a guard of another member could invent a result or
// claim to have started the job.
func TestReportsOnAnotherMembersJobsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		ref := wire.Ref{Member: "ayni", Key: "k"}
		reports := []*wire.Frame{
			{Collected: &wire.Collected{Member: "ayni", Key: "k", Of: 1, Results: []wire.Result{{Ref: ref}}}},
			{Collected: &wire.Collected{Member: "leeuwin", Key: "k", Results: []wire.Result{{Ref: ref}}}},
			{FenceReport: &wire.FenceReport{FencedEntry: "entry-b-000002", Started: []wire.Started{{Ref: ref, Of: 1}}}},
		}
		for _, f := range reports {
			other := e.linkGuardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
			e.Assert(other.Send(f), qt.IsNil)
			e.Check(isClosed(other), qt.IsTrue)
		}
		e.Assert(e.router.guardFrames, qt.HasLen, 0)
		own := e.linkGuard("guard-1", 8)
		e.Assert(own.Send(reports[0]), qt.IsNil)
		e.Assert(own.Send(reports[2]), qt.IsNil)
		synctest.Wait()
		e.Assert(e.router.guardFrames, qt.HasLen, 2)
	})
}

// Protects against disclosing a job's key to another member's VM: recovery must
// query only the guards of the member that owns the job.
func TestRecoveryQueriesOnlyGuardsOfJobOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		own := e.linkGuard("guard-1", 8)
		other := e.linkGuardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		r, bind := NewPeerRouter(peers.Options{
			Self:  wire.EntryAddr{Incarnation: e.server.id},
			Store: store.NewEtcd(store.Options{Endpoints: []string{"http://store"}, Transport: &standin.Transport{Handler: standin.New()}}),
		})
		bind(e.server)
		for _, g := range []identity.Incarnation{"guard-1", "guard-2"} {
			r.sendToGuard(e.server, g, &wire.Frame{Collect: &wire.Collect{Member: "ayni", Key: "k"}})
			r.sendToGuard(e.server, g, &wire.Frame{Fence: &wire.Fence{FencedEntry: "entry-b-000002"}})
		}
		e.Assert(e.recvFrame(own).Collect, qt.IsNotNil)
		e.Assert(e.recvFrame(own).Fence, qt.IsNotNil)
		e.Assert(e.recvFrame(other).Fence, qt.IsNotNil)
		e.assertNoFrame(other)
	})
}

// Protects against a guard that links under the incarnation of another member's
// guard: frames are addressed by incarnation, so queries about the other member's
// jobs must still go to that member's guard.
func TestIncarnationOfAnotherServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.config.guardKeys = map[string][]record.TokenHash{"leeuwin": guardKeys("leeuwin-key")}
		own := e.linkGuard("guard-1", 8)
		e.Assert(isClosed(e.linkGuardOf("leeuwin/clubcast", "guard-1", "leeuwin-key", 8)), qt.IsTrue)
		e.Assert(e.server.links.send("guard-1", &wire.Frame{Fence: &wire.Fence{}}), qt.IsTrue)
		e.Assert(e.recvFrame(own).Fence, qt.IsNotNil)
	})
}
