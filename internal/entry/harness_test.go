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

// fixedConfig knows two members whose tokens are their names.
type fixedConfig struct {
	revision int64
	own      string                        // record of every service
	keys     map[string][]record.TokenHash // guard keys by member
	offers   int                           // configurations that guards offered
}

func (c *fixedConfig) Revision() int64        { return c.revision }
func (c *fixedConfig) ForPeers() *wire.Config { return nil }
func (c *fixedConfig) ForGuard(string) (*wire.Config, []byte) {
	return &wire.Config{Revision: c.revision, Snapshot: []byte("snapshot")}, []byte(c.own)
}
func (c *fixedConfig) FromPeer(*wire.Config)  {}
func (c *fixedConfig) FromGuard(*wire.Config) { c.offers++ }
func (c *fixedConfig) GuardKeys(member string) ([]record.TokenHash, bool) {
	return c.keys[member], true
}
func (c *fixedConfig) Member(token string) (string, bool) {
	return token, token == "ayni" || token == "leeuwin"
}
func (c *fixedConfig) Resolve(member string, s *submission) (string, ServiceLimits, *errkind.Error) {
	if s.Service != "reserva" && s.Service != "clubcast" {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no service %q", s.Service)
	}
	return member + "/" + s.Service, ServiceLimits{Deadline: 5 * time.Second, MaxTasks: 10}, nil
}
func (c *fixedConfig) CheckRegion(string) *errkind.Error { return nil }
func (c *fixedConfig) Policy(string) dispatch.Policy     { return dispatch.DefaultPolicy() }
func (c *fixedConfig) Watch(context.Context, func())     {}

// soleRouter is a roster of one entry: plain keys are its own, and other
// homes are gone.
type soleRouter struct {
	id    identity.Incarnation
	ready func(identity.Incarnation)
	known map[identity.Incarnation]bool
	more  atomic.Pointer[wire.EntryAddr] // another entry, if set
	hold  chan struct{}                  // delays readiness until it is closed, if set
	peer  *Server                        // serves what is forwarded, if set
	heard []*wire.Frame                  // of guards
}

func (r *soleRouter) MayStart(string, identity.Key) *errkind.Error { return nil }
func (r *soleRouter) GuardUp(g identity.Incarnation) {
	if !r.known[g] { // as the real one, it says so once
		r.known[g] = true
		if r.hold != nil {
			go func() {
				<-r.hold
				r.ready(g)
			}()
			return
		}
		r.ready(g)
	}
}
func (r *soleRouter) Roster() RosterStatus             { return RosterStatus{} }
func (r *soleRouter) GuardDown(identity.Incarnation)   {}
func (r *soleRouter) GuardLost(g identity.Incarnation) { delete(r.known, g) }
func (r *soleRouter) Owner(_ string, k identity.Key) (identity.Incarnation, *errkind.Error) {
	if k.Home != "" {
		return k.Home, nil
	}
	return r.id, nil
}
func (r *soleRouter) Forward(ctx context.Context, _ identity.Incarnation, f *wire.Forward) (*wire.Forwarded, error) {
	if r.peer != nil {
		return r.peer.ServeForward(ctx, f), nil
	}
	return nil, errkind.New(errkind.HomeUnreachable, "no peers")
}
func (r *soleRouter) Recover(context.Context, identity.Incarnation, string, identity.Key) *Recovered {
	return &Recovered{Err: errkind.New(errkind.OutcomeUnknown, "the home is gone")}
}
func (r *soleRouter) Entries() []wire.EntryAddr {
	list := []wire.EntryAddr{{Incarnation: r.id, Inner: "127.0.0.1:1"}}
	if more := r.more.Load(); more != nil {
		list = append(list, *more)
	}
	return list
}
func (r *soleRouter) FromGuard(_ identity.Incarnation, f *wire.Frame) { r.heard = append(r.heard, f) }

// bench is one entry with guards that the test plays.
type bench struct {
	*qt.C
	t       testing.TB
	s       *Server
	router  *soleRouter
	config  *fixedConfig
	handler http.Handler
}

// benchRequests is how many requests a member may have open at a bench's entry.
const benchRequests = 4

func newBench(t testing.TB) *bench { return newBenchOf(t, "entry-a-000001") }

func newBenchOf(t testing.TB, id identity.Incarnation) *bench {
	router := &soleRouter{id: id, known: make(map[identity.Incarnation]bool)}
	config := &fixedConfig{revision: 7}
	s := New(Options{
		ID: id, Config: config, Router: router,
		Metrics: telemetry.New(), Log: log.New(io.Discard), FleetKey: "fleet",
		OpenRequests: benchRequests,
	})
	router.ready = s.GuardReady
	t.Cleanup(s.Close)
	return &bench{C: qt.New(t), t: t, s: s, router: router, config: config, handler: s.Handler()}
}

// guard links a guard of ayni/reserva and returns the guard's end.
func (b *bench) guard(incarnation string, slots int) *wiretest.End {
	return b.guardOf("ayni/reserva", incarnation, "fleet", slots)
}

// guardOf links a guard of any service with any key. The link may be closed.
func (b *bench) guardOf(service, incarnation, key string, slots int) *wiretest.End {
	ours, theirs := wiretest.Pipe()
	go b.s.ServeGuardLink(context.Background(), ours)
	hello := &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: identity.Incarnation(incarnation),
		Service: service, Worker: incarnation, Slots: slots, Key: key,
		Load: wire.Load{Seq: 1, Slots: slots, Healthy: true},
	}
	b.Assert(theirs.Send(&wire.Frame{Hello: hello}), qt.IsNil)
	synctest.Wait()
	if !closed(theirs) {
		b.Assert(b.next(theirs).Welcome, qt.IsNotNil)
	}
	return theirs
}

// closed tells whether the entry has closed a guard's link.
func closed(l wire.Link) bool {
	synctest.Wait()
	select {
	case <-l.Done():
		return true
	default:
		return false
	}
}

// next reads the next frame that is no configuration.
func (b *bench) next(l wire.Link) *wire.Frame {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		f, err := l.Recv(ctx)
		b.Assert(err, qt.IsNil)
		if f.Config == nil {
			return f
		}
	}
}

// silent checks that nothing waits to be read.
func (b *bench) silent(l wire.Link) {
	b.t.Helper()
	synctest.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for {
		f, err := l.Recv(ctx)
		if err != nil {
			return
		}
		b.Assert(f.Config, qt.IsNotNil, qt.Commentf("unexpected frame %+v", f))
	}
}

func (b *bench) ok(l wire.Link, st *wire.Start, body string) {
	b.Assert(l.Send(&wire.Frame{Result: &wire.Result{
		Ref: st.Ref, Ran: errkind.RanYes, Status: 200, Body: []byte(body),
		Load: wire.Load{Seq: uint64(time.Now().UnixNano()), Slots: 8, Healthy: true},
	}}), qt.IsNil)
}

func (b *bench) request(member, method, path, key, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+member)
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	return r
}

func (b *bench) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	return w
}

// post submits in the background; the answer comes on the channel.
func (b *bench) post(member, key, body string) <-chan *httptest.ResponseRecorder {
	out := make(chan *httptest.ResponseRecorder, 1)
	go func() { out <- b.do(b.request(member, "POST", "/v1/jobs", key, body)) }()
	synctest.Wait()
	return out
}

func (b *bench) ticket() string { return identity.NewTicket(b.s.id, time.Now()).Text }

const booking = `{"service":"reserva","tasks":[{"seat":"12A"}]}`
