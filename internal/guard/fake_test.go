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

const home = identity.Incarnation("entry-a-1")

// fakeEntry is the other end of a guard's links. It records what it receives.
type fakeEntry struct {
	name   identity.Incarnation
	others []wire.EntryAddr // told in Welcome
	rude   bool             // ends each link after its Welcome

	mu     sync.Mutex
	hello  *wire.Hello
	link   wire.Link // newest
	frames []*wire.Frame
}

// dial is for Options.Dial.
func (e *fakeEntry) dial(context.Context, string) (wire.Link, error) {
	a, b := wiretest.Pipe()
	go e.serve(b)
	return orderlyLink{a}, nil
}

// orderlyLink ends a moment after it is told to. A socket delivers what was
// written before its close; a wiretest.Pipe may drop it.
type orderlyLink struct{ wire.Link }

// Shut tells that the peer has read all, which is when the pipe has ended.
func (l orderlyLink) Shut() <-chan struct{} { return l.Done() }

func (l orderlyLink) Close(reason string) {
	time.AfterFunc(time.Microsecond, func() { l.Link.Close(reason) })
}

// serve welcomes a guard and then reads until the link ends.
func (e *fakeEntry) serve(link wire.Link) {
	f, err := link.Recv(context.Background())
	if err != nil || f.Hello == nil {
		return
	}
	e.mu.Lock()
	e.hello, e.link = f.Hello, link
	e.mu.Unlock()
	_ = link.Send(&wire.Frame{Welcome: &wire.Welcome{Version: 1, Incarnation: e.name, Entries: e.others}})
	if e.rude {
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

func (e *fakeEntry) newest() wire.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.link
}

func (e *fakeEntry) send(t testing.TB, f *wire.Frame) {
	t.Helper()
	qt.Assert(t, e.newest().Send(f), qt.IsNil)
}

// each calls visit with every frame so far.
func (e *fakeEntry) each(visit func(*wire.Frame)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.frames {
		visit(f)
	}
}

func (e *fakeEntry) results() []wire.Result {
	var out []wire.Result
	e.each(func(f *wire.Frame) {
		if f.Result != nil {
			out = append(out, *f.Result)
		}
	})
	return out
}

// load is the newest load report, alone or on a result.
func (e *fakeEntry) load() (load wire.Load) {
	e.each(func(f *wire.Frame) {
		switch {
		case f.Load != nil:
			load = *f.Load
		case f.Result != nil:
			load = f.Result.Load
		}
	})
	return load
}

// memoryNet listens in memory, so that HTTP runs under synctest's clock.
type memoryNet struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once

	frozen atomic.Bool // connections are made, and nobody reads them
}

func newMemoryNet() *memoryNet {
	return &memoryNet{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (n *memoryNet) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	if n.frozen.Load() {
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

func (n *memoryNet) freeze() { n.frozen.Store(true) }

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

// bench is a guard with a fake entry and a sample upstream, all in memory.
type bench struct {
	guard    *Guard
	entry    *fakeEntry
	upstream *sample.Upstream
	net      *memoryNet
	server   *http.Server
	ran      chan error
	cancel   context.CancelFunc
}

func testOptions() Options {
	return Options{
		Entries: []string{"entry-a:1"}, Service: "ayni/reserva", Worker: "w1", Domain: "surco",
		Upstream: "http://upstream:1", Path: "/tasks", HealthPath: sample.HealthPath, Slots: 2,
	}
}

// newBench starts a guard. It must be called in a synctest bubble, and ended
// with close.
func newBench(t testing.TB, change func(*Options), others ...wire.EntryAddr) *bench {
	b := &bench{entry: &fakeEntry{name: home, others: others}, upstream: sample.New("w1", 1), net: newMemoryNet(), ran: make(chan error, 1)}
	b.server = &http.Server{Handler: b.upstream}
	go func() { _ = b.server.Serve(b.net) }()
	opt := testOptions()
	opt.Dial, opt.DialUpstream = b.entry.dial, b.net.dial
	if change != nil {
		change(&opt)
	}
	g, err := New(opt)
	qt.Assert(t, err, qt.IsNil)
	b.guard = g
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() { b.ran <- g.Run(ctx) }()
	time.Sleep(time.Millisecond) // linked and healthy
	return b
}

func (b *bench) close() {
	b.cancel()
	_ = b.server.Close()
	<-b.ran
	time.Sleep(time.Millisecond) // links end
}

// task makes a Start of a fresh job, born now.
func task(body string) *wire.Start {
	key := identity.NewTicket(home, time.Now())
	return &wire.Start{Ref: wire.Ref{Member: "ayni", Key: key.Text}, Of: 1, Home: home, LeftMs: 5000, Body: []byte(body)}
}

// verdicts writes what a test compares of results.
func verdicts(results ...wire.Result) []string {
	var out []string
	for _, r := range results {
		out = append(out, fmt.Sprintf("%v, ran %v, %d", r.Kind, r.Ran, r.Status))
	}
	return out
}

// expect compares all results that came so far.
func (e *fakeEntry) expect(t testing.TB, want ...string) {
	t.Helper()
	qt.Assert(t, verdicts(e.results()...), qt.DeepEquals, want)
}

const served = "none, ran yes, 200"
