package httpserve

import (
	"cmp"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeontray/internal/membudget"
)

// limitListener accepts a limited number of connections at once. Without the limit a flood of connections
// would exhaust the descriptors of the process, and links to guards could not be opened. At the limit a
// connection that waits for its client is closed for the next one; if all are being served, the next one
// waits in the listen queue.
type limitListener struct {
	net.Listener
	tls              *tls.Config
	budget           *membudget.Budget
	slots            chan struct{} // one element for each open connection, and one for the next; nil without a limit
	open             atomic.Int64
	handshakesFailed atomic.Int64
	closed           chan struct{}
	once             sync.Once

	mu    sync.Mutex
	conns map[*limitedConn]struct{} // those that are open and not hijacked
}

func newLimitListener(ln net.Listener, tlsConfig *tls.Config, limits *Limits) *limitListener {
	l := &limitListener{Listener: ln, tls: tlsConfig, budget: limits.Budget, closed: make(chan struct{}), conns: make(map[*limitedConn]struct{})}
	if limits.MaxConnections > 0 {
		l.slots = make(chan struct{}, limits.MaxConnections)
	}
	return l
}

// Accept waits for a free slot before it accepts a connection from the listen queue.
func (l *limitListener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	return l.track(c), nil
}

// evictRetryInterval is how often a listener at its limit looks for a connection to close.
const evictRetryInterval = 20 * time.Millisecond

func (l *limitListener) acquireSlot() error {
	if l.slots == nil {
		return nil
	}
	for {
		select {
		case l.slots <- struct{}{}:
			return nil
		default:
			l.evictOne()
		}
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(evictRetryInterval):
		}
	}
}

// releaseSlot makes room for another connection.
func (l *limitListener) releaseSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

// track returns the limitedConn of an accepted connection.
func (l *limitListener) track(c net.Conn) *limitedConn {
	now := time.Now()
	limited := &limitedConn{Conn: c, listener: l, acceptedAt: now, phase: phaseNew, phaseStart: now}
	if l.tls != nil {
		limited.tls = tls.Server(c, l.tls)
		limited.Conn = limited.tls
	}
	l.open.Add(1)
	limited.account = l.budget.NewAccount(limited.interrupt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[limited] = struct{}{}
	return limited
}

// forget ends the tracking of a connection that is closed or hijacked.
func (l *limitListener) forget(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// maxEvictionTries limits the connections that evictOne examines.
const maxEvictionTries = 8

// evictOne closes the connection that is first in the order of eviction, if there is one.
func (l *limitListener) evictOne() {
	now := time.Now()
	skipped := make(map[*limitedConn]bool) // whose next request has just arrived
	for range maxEvictionTries {
		c := l.firstEvictable(now, skipped)
		if c == nil {
			return
		}
		if c.abortUnlessReceiving() {
			l.budget.CountConnection()
			return
		}
		skipped[c] = true
	}
}

// firstEvictable returns the connection that is first in the order of eviction, without those that are skipped; nil
// if there is none.
func (l *limitListener) firstEvictable(now time.Time, skipped map[*limitedConn]bool) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first *limitedConn
	var firstOrder evictionOrder
	for c := range l.conns {
		order, ok := c.evictionOrder(now)
		if ok && !skipped[c] && (first == nil || order.precedes(firstOrder)) {
			first, firstOrder = c, order
		}
	}
	return first
}

// evictionOrder is the place of a connection in the order in which connections are closed for new ones.
type evictionOrder struct {
	rank  int
	since time.Time
}

// precedes orders by rank, and then the oldest first.
func (o evictionOrder) precedes(other evictionOrder) bool {
	return cmp.Or(cmp.Compare(o.rank, other.rank), o.since.Compare(other.since)) < 0
}

// keepAliveMaxUse is the used fraction of the connection limit above which connections are
// not kept alive.
const keepAliveMaxUse = 0.75

// closeNearLimit closes a connection after its response while most of the limit is in use.
// Otherwise idle connections of one caller could keep all other callers in the listen queue
// for the whole idle timeout.
func (l *limitListener) closeNearLimit(next http.Handler) http.Handler {
	if l.slots == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if float64(l.open.Load()) > keepAliveMaxUse*float64(cap(l.slots)) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
