package httpserve

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Timing of a stop.
const (
	// lookForUnused is how often a server that stops looks for connections to end.
	lookForUnused = 20 * time.Millisecond
	// newFor is how long a connection without a request is kept then: the first one follows
	// its connection by a round trip.
	newFor = 100 * time.Millisecond
)

// connTable follows the connections of a server.
type connTable struct {
	stopping atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]http.ConnState
	wake     chan struct{} // closed when a connection changes; nil while nobody waits
}

// note implements http.Server.ConnState.
func (t *connTable) note(c net.Conn, state http.ConnState) {
	if l := limitedOf(c); l != nil && state == http.StateIdle {
		l.begun.Store(false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateHijacked || state == http.StateClosed {
		delete(t.open, c)
	} else {
		t.open[c] = state
	}
	if t.wake != nil {
		close(t.wake)
		t.wake = nil
	}
}

// changed is closed when a connection changes.
func (t *connTable) changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil {
		t.wake = make(chan struct{})
	}
	return t.wake
}

// endUnused ends the connections on which no request has arrived, and counts the others.
func (t *connTable) endUnused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, state := range t.open {
		if state != http.StateActive && unused(c, state) {
			delete(t.open, c)
			go c.Close() // TLS says goodbye, which may block
		}
	}
	return len(t.open)
}

func unused(c net.Conn, state http.ConnState) bool {
	l := limitedOf(c)
	switch {
	case l == nil:
		return true
	case state == http.StateNew && time.Since(l.since) < newFor:
		return false
	}
	return !l.begun.Load() && !readable(l.Conn)
}

// endWhileStopping lets each answer of a server that stops be the last of its connection.
func (t *connTable) endWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// onceListener may be closed more than once.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	since   time.Time
	begun   atomic.Bool // bytes have come since the last answer
	once    sync.Once
	release func()
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// Close implements net.Conn; the first call makes room for another connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// limitedOf gives the limitedConn under the wrapper of TLS, or nil.
func limitedOf(c net.Conn) *limitedConn {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	l, _ := c.(*limitedConn)
	return l
}

// readable tells whether bytes lie in the receive buffer of a connection.
func readable(c net.Conn) bool {
	s, ok := socketOf(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	some := false
	err = raw.Control(func(fd uintptr) {
		n, _ := peek(int(fd))
		some = n > 0
	})
	return err == nil && some
}
