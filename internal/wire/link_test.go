package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// faultyNetwork forwards bytes between two ends. Once partitioned it accepts what either end
// writes and delivers nothing, not even the end of the connection, as when the peer's host
// freezes or loses power.
type faultyNetwork struct {
	partitioned atomic.Bool
	writes      atomic.Int64 // by both ends
}

func (n *faultyNetwork) forward(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		if n.partitioned.Load() && err == nil {
			continue
		}
		if err != nil {
			if !n.partitioned.Load() {
				_ = to.Close()
			}
			return
		}
		n.writes.Add(1)
		if _, err := to.Write(buf[:count]); err != nil {
			return
		}
	}
}

// linkPair is a link with both its ends in one synctest bubble.
type linkPair struct {
	faultyNetwork
	dialed, accepted Link
	conns            []net.Conn
	listener         *pipeListener
}

// newLinkPair connects two ends in memory. Both are read until they end.
func newLinkPair(t *testing.T) *linkPair {
	dialConn, dialRemote := net.Pipe()
	acceptConn, acceptRemote := net.Pipe()
	p := &linkPair{conns: []net.Conn{dialConn, dialRemote, acceptConn, acceptRemote}, listener: newPipeListener()}
	go p.forward(acceptRemote, dialRemote)
	go p.forward(dialRemote, acceptRemote)
	accepted := make(chan Link, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, nil)
		if qt.Check(t, err, qt.IsNil) {
			accepted <- l
			readUntilClosed(l)
		}
	})}
	go func() { _ = server.Serve(p.listener) }()
	go func() { p.listener.conns <- acceptConn }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return dialConn, nil }}
	var err error
	p.dialed, err = Dial(t.Context(), "ws://entry"+GuardPath, &http.Client{Transport: transport}, nil)
	qt.Assert(t, err, qt.IsNil)
	p.accepted = <-accepted
	go readUntilClosed(p.dialed)
	return p
}

// readUntilClosed receives frames until the link ends.
func readUntilClosed(l Link) {
	for {
		if _, err := l.Recv(context.Background()); err != nil {
			return
		}
	}
}

func (p *linkPair) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.dialed.Close("test ends")
	p.accepted.Close("test ends")
	_ = p.listener.Close()
}

// timeUntilDone returns the time until a link ends, and false if that takes longer than
// limit.
func timeUntilDone(l Link, limit time.Duration) (time.Duration, bool) {
	startedAt := time.Now()
	select {
	case <-l.Done():
		return time.Since(startedAt), true
	case <-time.After(limit):
		return 0, false
	}
}

// The host of a guard freezes right after it was sent a task. Its kernel still accepts
// bytes, so no write fails. If only the idle check detected it, the entry would send it
// tasks for most of a minute, and their jobs would time out.
func TestFrozenPeerIsDetectedAfterSend(t *testing.T) {
	for name, observer := range map[string]func(p *linkPair) Link{
		"guard freezes": func(p *linkPair) Link { return p.accepted },
		"entry freezes": func(p *linkPair) Link { return p.dialed },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newLinkPair(t)
				defer p.close()
				link := observer(p)
				time.Sleep(10 * time.Second)
				p.partitioned.Store(true)
				qt.Assert(t, link.Send(&Frame{Start: &Start{LeftMs: 1000}}), qt.IsNil)
				elapsed, ended := timeUntilDone(link, time.Hour)
				qt.Assert(t, ended, qt.IsTrue)
				qt.Assert(t, elapsed, qt.Equals, FailureDetectionTime)
				_, err := link.Recv(t.Context())
				qt.Assert(t, err, qt.IsNotNil)
			})
		})
	}
}

// A guard crashes during a task of several seconds, after it has answered the entry's first
// ping. Without a second ping the job would wait until its deadline although nothing runs
// it.
func TestPeerFailureDuringLongTaskIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t)
		defer p.close()
		qt.Assert(t, p.accepted.Send(&Frame{Start: &Start{LeftMs: 10_000}}), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		p.partitioned.Store(true)
		elapsed, ended := timeUntilDone(p.accepted, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, elapsed <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", elapsed))
	})
}

// The host of an idle peer freezes. No request waits for it, but its link would stay open
// and it would be sent the next task.
func TestFrozenIdlePeerIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t)
		defer p.close()
		p.partitioned.Store(true)
		elapsed, ended := timeUntilDone(p.accepted, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, elapsed, qt.Equals, idleTimeout)
		p = newLinkPair(t)
		defer p.close()
		p.partitioned.Store(true)
		elapsed, ended = timeUntilDone(p.dialed, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, elapsed, qt.Equals, PingInterval+pingTimeout)
	})
}

// An entry has hundreds of idle links with both ends alive, so every unnecessary ping adds
// up.
func TestIdleLinkIsPingedByTheDialingEndOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t)
		defer p.close()
		synctest.Wait()
		before := p.writes.Load()
		const periods = 10
		time.Sleep(periods*PingInterval + time.Second)
		const pingAndAnswer = 2
		qt.Assert(t, p.writes.Load()-before, qt.Equals, int64(periods*pingAndAnswer))
	})
}

// Steady traffic shows that a link is alive; a ping would be an unnecessary message.
func TestBusyLinkIsNotPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t)
		defer p.close()
		synctest.Wait()
		before := p.writes.Load()
		const rounds = 200
		for range rounds {
			qt.Assert(t, p.accepted.Send(&Frame{Start: &Start{LeftMs: 1000}}), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, p.dialed.Send(&Frame{Result: &Result{}}), qt.IsNil)
		}
		synctest.Wait()
		qt.Assert(t, p.writes.Load()-before, qt.Equals, int64(2*rounds))
	})
}

// Guards against idle links that each keep a receive buffer as large as the longest frame that any of
// them has received. A guard has a link to every entry, and each of them may send it a configuration.
func TestIdleLinksKeepNoReceiveBuffer(t *testing.T) {
	const links, frameBytes = 64, 60 << 10
	received := make(chan struct{}, links)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, nil)
		for err == nil {
			if _, err = l.Recv(context.Background()); err == nil {
				received <- struct{}{}
			}
		}
	}))
	defer server.Close()
	dialed := make([]Link, links)
	for i := range dialed {
		l, err := Dial(t.Context(), "ws"+server.URL[len("http"):], http.DefaultClient, nil)
		qt.Assert(t, err, qt.IsNil)
		defer l.Close("test ends")
		dialed[i] = l
	}
	before := liveHeapBytes()
	for _, l := range dialed { // one after the other, so that a free buffer would be reused
		qt.Assert(t, l.Send(&Frame{Start: &Start{Body: make([]byte, frameBytes)}}), qt.IsNil)
		<-received
	}
	perLink := (int64(liveHeapBytes()) - int64(before)) / links
	qt.Check(t, perLink < frameBytes/8, qt.IsTrue, qt.Commentf("%d bytes a link", perLink))
}

// liveHeapBytes returns the size of the live heap. The first collection empties the pools only in part.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
