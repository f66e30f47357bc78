package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/sample"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// testEntryID is the incarnation of the fake entry.
const testEntryID = identity.Incarnation("entry-a-1")

// fakeEntry is an entry that a guard links to. It records the frames it receives.
type fakeEntry struct {
	incarnation  identity.Incarnation
	otherEntries []wire.EntryAddr // sent in Welcome
	closing      bool             // closes each link after sending its Welcome

	mu     sync.Mutex
	hello  *wire.Hello
	link   wire.Link // newest
	frames []*wire.Frame
}

// dial implements Options.Dial with a pipe to the fake entry.
func (e *fakeEntry) dial(context.Context, string) (wire.Link, error) {
	a, b := wiretest.Pipe()
	go e.serve(b)
	return delayedCloseLink{a}, nil
}

// delayedCloseLink closes its link one microsecond after Close is called. A
// socket delivers the frames written before its close; a wiretest.Pipe may drop
// them.
type delayedCloseLink struct{ wire.Link }

// Shut is closed when the pipe is closed, as the peer has read all frames then.
func (l delayedCloseLink) Shut() <-chan struct{} { return l.Done() }

func (l delayedCloseLink) Close(reason string) {
	time.AfterFunc(time.Microsecond, func() { l.Link.Close(reason) })
}

// serve answers a guard's Hello with a Welcome, then reads frames until the link
// is closed.
func (e *fakeEntry) serve(link wire.Link) {
	f, err := link.Recv(context.Background())
	if err != nil || f.Hello == nil {
		return
	}
	e.mu.Lock()
	e.hello, e.link = f.Hello, link
	e.mu.Unlock()
	_ = link.Send(&wire.Frame{Welcome: &wire.Welcome{Version: 1, Incarnation: e.incarnation, Entries: e.otherEntries}})
	if e.closing {
		link.Close("go away")
	}
	for {
		f, err := link.Recv(context.Background())
		if err != nil {
			return
		}
		e.mu.Lock()
		e.frames = append(e.frames, f)
		e.mu.Unlock()
	}
}

func (e *fakeEntry) newestLink() wire.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.link
}

func (e *fakeEntry) send(t testing.TB, f *wire.Frame) {
	t.Helper()
	qt.Assert(t, e.newestLink().Send(f), qt.IsNil)
}

// visitFrames calls visit with every frame received so far.
func (e *fakeEntry) visitFrames(visit func(*wire.Frame)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.frames {
		visit(f)
	}
}

func (e *fakeEntry) results() []wire.Result {
	var out []wire.Result
	e.visitFrames(func(f *wire.Frame) {
		if f.Result != nil {
			out = append(out, *f.Result)
		}
	})
	return out
}

// load returns the newest load report, sent in a frame of its own or as part of a result.
func (e *fakeEntry) load() (load wire.Load) {
	e.visitFrames(func(f *wire.Frame) {
		switch {
		case f.Load != nil:
			load = *f.Load
		case f.Result != nil:
			load = f.Result.Load
		}
	})
	return load
}

// memoryNet is an in-memory net.Listener, which lets HTTP run on the clock of
// synctest.
type memoryNet struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once

	isUnresponsive atomic.Bool // connections are opened but never read
}

func newMemoryNet() *memoryNet {
	return &memoryNet{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (n *memoryNet) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	if n.isUnresponsive.Load() {
		return a, nil
	}
	select {
	case n.conns <- b:
		return a, nil
	case <-n.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *memoryNet) makeUnresponsive() { n.isUnresponsive.Store(true) }

func (n *memoryNet) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.done:
		return nil, net.ErrClosed
	}
}

func (n *memoryNet) Close() error   { n.once.Do(func() { close(n.done) }); return nil }
func (n *memoryNet) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

// testEnv is a running guard with a fake entry and a sample upstream, connected
// in memory.
type testEnv struct {
	guard    *Guard
	entry    *fakeEntry
	upstream *sample.Upstream
	net      *memoryNet
	server   *http.Server
	runErr   chan error
	cancel   context.CancelFunc
}

func testOptions() Options {
	return Options{
		Entries: []string{"entry-a:1"}, Service: "ayni/reserva", Worker: "w1", Domain: "surco",
		Upstream: "http://upstream:1", Path: "/tasks", HealthPath: sample.HealthPath, Slots: 2,
	}
}

// newTestEnv starts a guard. It must be called in a synctest bubble, and the
// caller must call close.
func newTestEnv(t testing.TB, change func(*Options), otherEntries ...wire.EntryAddr) *testEnv {
	env := &testEnv{entry: &fakeEntry{incarnation: testEntryID, otherEntries: otherEntries}, upstream: sample.New("w1", 1), net: newMemoryNet(), runErr: make(chan error, 1)}
	env.server = &http.Server{Handler: env.upstream}
	go func() { _ = env.server.Serve(env.net) }()
	opt := testOptions()
	opt.Dial, opt.DialUpstream = env.entry.dial, env.net.dial
	if change != nil {
		change(&opt)
	}
	g, err := New(opt)
	qt.Assert(t, err, qt.IsNil)
	env.guard = g
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	go func() { env.runErr <- g.Run(ctx) }()
	time.Sleep(time.Millisecond) // wait until the guard is linked and healthy
	return env
}

func (env *testEnv) close() {
	env.cancel()
	_ = env.server.Close()
	<-env.runErr
	time.Sleep(time.Millisecond) // wait until the links are closed
}

// newStart returns a Start of a new job whose key is created now.
func newStart(body string) *wire.Start {
	key := identity.NewTicket(testEntryID, time.Now())
	return &wire.Start{Ref: wire.Ref{Member: "ayni", Key: key.Text}, Of: 1, Home: testEntryID, LeftMs: 5000, Body: []byte(body)}
}

// summaries formats the kind, ran and status of each result for comparison.
func summaries(results ...wire.Result) []string {
	var out []string
	for _, r := range results {
		out = append(out, fmt.Sprintf("%v, ran %v, %d", r.Kind, r.Ran, r.Status))
	}
	return out
}

// expectResults checks the summaries of all results received so far.
func (e *fakeEntry) expectResults(t testing.TB, want ...string) {
	t.Helper()
	qt.Assert(t, summaries(e.results()...), qt.DeepEquals, want)
}

// okSummary is the summary of a successful result.
const okSummary = "none, ran yes, 200"
