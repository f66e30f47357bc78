package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// fakeConfig is a Config with two members, whose tokens are their names.
type fakeConfig struct {
	revision      int64
	serviceRecord string                        // returned as the record of every service
	guardKeys     map[string][]record.TokenHash // guard keys by member
	guardOffers   int                           // number of configurations offered by guards
}

func (c *fakeConfig) Revision() int64                { return c.revision }
func (c *fakeConfig) SnapshotForPeers() *wire.Config { return nil }
func (c *fakeConfig) SnapshotForGuard(string) (*wire.Config, []byte) {
	return &wire.Config{Revision: c.revision, Snapshot: []byte("snapshot")}, []byte(c.serviceRecord)
}
func (c *fakeConfig) ReceiveFromPeer(*wire.Config)  {}
func (c *fakeConfig) ReceiveFromGuard(*wire.Config) { c.guardOffers++ }
func (c *fakeConfig) GuardKeys(member string) ([]record.TokenHash, bool) {
	return c.guardKeys[member], true
}
func (c *fakeConfig) MemberForToken(token string) (string, bool) {
	return token, token == "ayni" || token == "leeuwin"
}
func (c *fakeConfig) Resolve(member string, s *submission) (string, ServiceLimits, *errkind.Error) {
	if s.Service != "reserva" && s.Service != "clubcast" {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no service %q", s.Service)
	}
	return member + "/" + s.Service, ServiceLimits{Deadline: 5 * time.Second, MaxTasks: 10}, nil
}
func (c *fakeConfig) CheckRegion(string) *errkind.Error { return nil }
func (c *fakeConfig) Policy(string) dispatch.Policy     { return dispatch.DefaultPolicy() }
func (c *fakeConfig) Watch(context.Context, func())     {}

// fakeRouter is a Router for a single entry: it owns all keys without a home, and
// other homes are lost.
type fakeRouter struct {
	id          identity.Incarnation
	onReady     func(identity.Incarnation)
	announced   map[identity.Incarnation]bool
	extra       atomic.Pointer[wire.EntryAddr] // another entry, if set
	readyGate   chan struct{}                  // if set, delays readiness until it is closed
	peer        *Server                        // if set, serves forwarded requests
	guardFrames []*wire.Frame                  // frames received from guards
}

func (r *fakeRouter) MayStart(string, identity.Key) *errkind.Error { return nil }
func (r *fakeRouter) GuardUp(g identity.Incarnation) {
	if !r.announced[g] { // like the real router, reports readiness once
		r.announced[g] = true
		if r.readyGate != nil {
			go func() {
				<-r.readyGate
				r.onReady(g)
			}()
			return
		}
		r.onReady(g)
	}
}
func (r *fakeRouter) Roster() RosterStatus             { return RosterStatus{} }
func (r *fakeRouter) GuardDown(identity.Incarnation)   {}
func (r *fakeRouter) GuardLost(g identity.Incarnation) { delete(r.announced, g) }
func (r *fakeRouter) Owner(_ string, k identity.Key) (identity.Incarnation, *errkind.Error) {
	if k.Home != "" {
		return k.Home, nil
	}
	return r.id, nil
}
func (r *fakeRouter) Forward(ctx context.Context, _ identity.Incarnation, f *wire.Forward) (*wire.Forwarded, error) {
	if r.peer != nil {
		return r.peer.ServeForward(ctx, f), nil
	}
	return nil, errkind.New(errkind.HomeUnreachable, "no peers")
}
func (r *fakeRouter) Recover(context.Context, identity.Incarnation, string, identity.Key) *RecoveryResult {
	return &RecoveryResult{Err: errkind.New(errkind.OutcomeUnknown, "the home is gone")}
}
func (r *fakeRouter) Entries() []wire.EntryAddr {
	list := []wire.EntryAddr{{Incarnation: r.id, Inner: "127.0.0.1:1"}}
	if extra := r.extra.Load(); extra != nil {
		list = append(list, *extra)
	}
	return list
}
func (r *fakeRouter) ReceiveFromGuard(_ identity.Incarnation, f *wire.Frame) {
	r.guardFrames = append(r.guardFrames, f)
}

// testEntry is an entry whose guards are simulated by the test.
type testEntry struct {
	*qt.C
	t       testing.TB
	server  *Server
	router  *fakeRouter
	config  *fakeConfig
	handler http.Handler
}

// testMaxOpenRequests is the number of requests that a member may have open at a
// test entry.
const testMaxOpenRequests = 4

func newTestEntry(t testing.TB) *testEntry { return newTestEntryWithID(t, "entry-a-000001") }

func newTestEntryWithID(t testing.TB, id identity.Incarnation) *testEntry {
	router := &fakeRouter{id: id, announced: make(map[identity.Incarnation]bool)}
	config := &fakeConfig{revision: 7}
	server := New(Options{
		ID: id, Config: config, Router: router,
		Metrics: telemetry.New(), Log: log.New(io.Discard), FleetKey: "fleet",
		MaxOpenRequests: testMaxOpenRequests,
	})
	router.onReady = server.GuardReady
	t.Cleanup(server.Close)
	return &testEntry{C: qt.New(t), t: t, server: server, router: router, config: config, handler: server.Handler()}
}

// linkGuard links a guard of ayni/reserva with the fleet key and returns the
// guard's end of the link.
func (e *testEntry) linkGuard(incarnation string, slots int) *wiretest.End {
	return e.linkGuardOf("ayni/reserva", incarnation, "fleet", slots)
}

// linkGuardOf links a guard of the given service with the given key. The entry may
// close the link.
func (e *testEntry) linkGuardOf(service, incarnation, key string, slots int) *wiretest.End {
	entryEnd, guardEnd := wiretest.Pipe()
	go e.server.ServeGuardLink(context.Background(), entryEnd)
	hello := &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: identity.Incarnation(incarnation),
		Service: service, Worker: incarnation, Slots: slots, Key: key,
		Load: wire.Load{Seq: 1, Slots: slots, Healthy: true},
	}
	e.Assert(guardEnd.Send(&wire.Frame{Hello: hello}), qt.IsNil)
	synctest.Wait()
	if !isClosed(guardEnd) {
		e.Assert(e.recvFrame(guardEnd).Welcome, qt.IsNotNil)
	}
	return guardEnd
}

// isClosed reports whether the entry has closed a guard's link.
func isClosed(l wire.Link) bool {
	synctest.Wait()
	select {
	case <-l.Done():
		return true
	default:
		return false
	}
}

// recvFrame returns the next frame that is not a configuration.
func (e *testEntry) recvFrame(l wire.Link) *wire.Frame {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		f, err := l.Recv(ctx)
		e.Assert(err, qt.IsNil)
		if f.Config == nil {
			return f
		}
	}
}

// assertNoFrame checks that no frame other than configurations is waiting.
func (e *testEntry) assertNoFrame(l wire.Link) {
	e.t.Helper()
	synctest.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for {
		f, err := l.Recv(ctx)
		if err != nil {
			return
		}
		e.Assert(f.Config, qt.IsNotNil, qt.Commentf("unexpected frame %+v", f))
	}
}

// assertServesThrough submits a job of one task and asserts that it is answered with the result of the guard.
func (e *testEntry) assertServesThrough(guard wire.Link) {
	e.t.Helper()
	answer := e.submit("ayni", e.newTicket(), testSubmission)
	e.sendResult(guard, e.recvFrame(guard).Start, `1`)
	e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
}

func (e *testEntry) sendResult(l wire.Link, st *wire.Start, body string) {
	e.Assert(l.Send(&wire.Frame{Result: &wire.Result{
		Ref: st.Ref, Ran: errkind.RanYes, Status: 200, Body: []byte(body),
		Load: wire.Load{Seq: uint64(time.Now().UnixNano()), Slots: 8, Healthy: true},
	}}), qt.IsNil)
}

func (e *testEntry) newRequest(member, method, path, key, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+member)
	if key != "" {
		r.Header.Set(idempotencyKeyHeader, key)
	}
	return r
}

func (e *testEntry) serve(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w
}

// submit sends a submission in the background; the response is sent on the channel.
func (e *testEntry) submit(member, key, body string) <-chan *httptest.ResponseRecorder {
	out := make(chan *httptest.ResponseRecorder, 1)
	go func() { out <- e.serve(e.newRequest(member, "POST", "/v1/jobs", key, body)) }()
	synctest.Wait()
	return out
}

func (e *testEntry) newTicket() string { return identity.NewTicket(e.server.id, time.Now()).Text }

const testSubmission = `{"service":"reserva","tasks":[{"seat":"12A"}]}`
