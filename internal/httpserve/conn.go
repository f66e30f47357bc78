package httpserve

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Timing of a planned stop.
const (
	// unusedPollInterval is how often a stopping server checks for connections to close.
	unusedPollInterval = 20 * time.Millisecond
	// newConnGracePeriod is how long a stopping server keeps a connection without a
	// request: the first request arrives one round trip after the connection.
	newConnGracePeriod = 100 * time.Millisecond
)

// connTracker tracks the connections of a server.
type connTracker struct {
	stopping     atomic.Bool
	mu           sync.Mutex
	states       map[net.Conn]http.ConnState
	changeSignal chan struct{} // closed when a connection changes; nil while nothing waits for it
}

// onStateChange implements http.Server.ConnState.
func (t *connTracker) onStateChange(c net.Conn, state http.ConnState) {
	c.(*limitedConn).onStateChange(state)
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateHijacked || state == http.StateClosed {
		delete(t.states, c)
	} else {
		t.states[c] = state
	}
	if t.changeSignal != nil {
		close(t.changeSignal)
		t.changeSignal = nil
	}
}

// changed returns a channel that is closed when a connection changes.
func (t *connTracker) changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changeSignal == nil {
		t.changeSignal = make(chan struct{})
	}
	return t.changeSignal
}

// closeUnused closes the connections on which no request has arrived, and returns the
// number of the others.
func (t *connTracker) closeUnused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, state := range t.states {
		if state != http.StateActive && isUnused(c, state) {
			delete(t.states, c)
			go c.Close() // TLS sends a close alert, which may block
		}
	}
	return len(t.states)
}

func isUnused(c net.Conn, state http.ConnState) bool {
	l := c.(*limitedConn)
	if state == http.StateNew && time.Since(l.acceptedAt) < newConnGracePeriod {
		return false
	}
	return !l.hasUnansweredBytes.Load() && !hasUnreadBytes(l.Conn)
}

// closeWhileStopping makes a stopping server close each connection after its current
// response.
func (t *connTracker) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// onceListener is a listener whose Close may be called more than once.
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

// hasUnreadBytes reports whether there are bytes in the receive buffer of a connection.
func hasUnreadBytes(c net.Conn) bool {
	s, ok := unwrapSocket(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		n, _ := peekByte(int(fd))
		found = n > 0
	})
	return err == nil && found
}
