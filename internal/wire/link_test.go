package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeListener hands in-memory connections to an HTTP server.
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

// network carries bytes between two ends. Once cut, it takes what either end
// writes and delivers nothing, not even the end of the connection: so a host
// that froze or died looks to its peer.
type network struct {
	cut    atomic.Bool
	writes atomic.Int64 // of both ends
}

func (n *network) carry(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		k, err := from.Read(buf)
		if n.cut.Load() && err == nil {
			continue
		}
		if err != nil {
			if !n.cut.Load() {
				_ = to.Close()
			}
			return
		}
		n.writes.Add(1)
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}

// pair is a link between two ends in one bubble.
type pair struct {
	network
	dialed, accepted Link
	conns            []net.Conn
	listener         *pipeListener
}

// newPair links two ends in memory. Both are read until they end.
func newPair(t *testing.T) *pair {
	near, nearFar := net.Pipe()
	far, farNear := net.Pipe()
	p := &pair{conns: []net.Conn{near, nearFar, far, farNear}, listener: newPipeListener()}
	go p.carry(farNear, nearFar)
	go p.carry(nearFar, farNear)
	accepted := make(chan Link, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, nil)
		if qt.Check(t, err, qt.IsNil) {
			accepted <- l
			drain(l)
		}
	})}
	go func() { _ = server.Serve(p.listener) }()
	go func() { p.listener.conns <- far }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	var err error
	p.dialed, err = Dial(t.Context(), "ws://entry"+GuardPath, &http.Client{Transport: transport}, nil)
	qt.Assert(t, err, qt.IsNil)
	p.accepted = <-accepted
	go drain(p.dialed)
	return p
}

// drain reads a link to its end.
func drain(l Link) {
	for {
		if _, err := l.Recv(context.Background()); err != nil {
			return
		}
	}
}

func (p *pair) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.dialed.Close("test ends")
	p.accepted.Close("test ends")
	_ = p.listener.Close()
}

// endsWithin gives the time until a link ends.
func endsWithin(l Link, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	select {
	case <-l.Done():
		return time.Since(began), true
	case <-time.After(limit):
		return 0, false
	}
}

// The host of a guard freezes right after it has been given work. Its kernel
// goes on taking bytes, so that no write fails. If the entry learned of it by
// the idle check only, it would send work there for most of a minute, and
// callers would see one job after the other time out.
func TestFrozenPeerIsNoticedAfterWork(t *testing.T) {
	for name, choose := range map[string]func(p *pair) Link{
		"guard freezes": func(p *pair) Link { return p.accepted },
		"entry freezes": func(p *pair) Link { return p.dialed },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t)
				defer p.close()
				link := choose(p)
				time.Sleep(10 * time.Second)
				p.cut.Store(true)
				qt.Assert(t, link.Send(&Frame{Start: &Start{LeftMs: 1000}}), qt.IsNil)
				took, ended := endsWithin(link, time.Hour)
				qt.Assert(t, ended, qt.IsTrue)
				qt.Assert(t, took, qt.Equals, NoticeWithin)
				_, err := link.Recv(t.Context())
				qt.Assert(t, err, qt.IsNotNil)
			})
		})
	}
}

// A guard dies in the midst of a task of several seconds, after it answered the
// entry's first ping. Without a second one, the job would wait for its deadline
// although nobody runs it any more.
func TestDeathDuringALongTaskIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		qt.Assert(t, p.accepted.Send(&Frame{Start: &Start{LeftMs: 10_000}}), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		p.cut.Store(true)
		took, ended := endsWithin(p.accepted, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, took <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// The host of an idle peer freezes. Nobody waits for it, but its link would
// stay open and it would be given the next task.
func TestFrozenIdlePeerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		p.cut.Store(true)
		took, ended := endsWithin(p.accepted, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, took, qt.Equals, silenceLimit)
		p = newPair(t)
		defer p.close()
		p.cut.Store(true)
		took, ended = endsWithin(p.dialed, time.Hour)
		qt.Assert(t, ended, qt.IsTrue)
		qt.Assert(t, took, qt.Equals, PingEvery+pingTimeout)
	})
}

// Both ends live and nothing is to be said. An entry has hundreds of such
// links, so that each ping too many counts.
func TestIdleLinkIsPingedByTheDialingEndOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		synctest.Wait()
		before := p.writes.Load()
		const periods = 10
		time.Sleep(periods*PingEvery + time.Second)
		const pingAndAnswer = 2
		qt.Assert(t, p.writes.Load()-before, qt.Equals, int64(periods*pingAndAnswer))
	})
}

// A link with steady traffic is alive beyond doubt; a ping would be one more
// message for nothing.
func TestBusyLinkIsNotPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
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
