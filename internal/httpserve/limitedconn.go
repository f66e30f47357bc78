package httpserve

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"wigeontray/internal/membudget"
)

// connPhase is what a connection does, in the order in which connections are closed for new ones.
type connPhase int

const (
	phaseRequest  connPhase = iota // a request is arriving
	phaseNew                       // nothing has arrived yet
	phaseIdle                      // waits for the next request
	phaseResponse                  // the response is being written
	phaseServing                   // a request has arrived and is being served; never closed for others
)

// Times after which a connection may be closed for a new one.
const (
	evictAfter         = time.Second
	evictResponseAfter = 5 * time.Second // since the client has last received something
)

// limitedConn is a connection accepted by a limitListener.
type limitedConn struct {
	net.Conn
	tls                *tls.Conn // nil without TLS
	listener           *limitListener
	account            *membudget.Account
	acceptedAt         time.Time
	hasUnansweredBytes atomic.Bool // bytes have been received since the last response
	releaseOnce        sync.Once
	handshakeOnce      sync.Once
	handshakeErr       error
	body               []byte // of the request that is being served; used by its handler

	// mu guards the fields below. Lock order: mu, then the lock of the budget, then deadlineMu.
	mu         sync.Mutex
	phase      connPhase
	phaseStart time.Time
	header     headerMeter // of the request that arrives
	received   int64       // bytes since the request began to arrive
	bodyBytes  int64       // length of the request's body; negative if it is not known
	pipelined  int64       // bytes of the next request that were received together with the one before

	deadlineMu    sync.Mutex
	isInterrupted bool // the read deadline stays in the past
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hasUnansweredBytes.Store(true)
		if err := c.recordRead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// handshake performs the TLS handshake at the first Read. net/http does so only for a *tls.Conn.
func (c *limitedConn) handshake() error {
	if c.tls == nil {
		return nil
	}
	c.handshakeOnce.Do(func() {
		if err := c.tls.HandshakeContext(context.Background()); err != nil { // the read deadline of the header limits it
			c.listener.handshakesFailed.Add(1)
			c.handshakeErr = fmt.Errorf("TLS handshake: %w", err)
		}
	})
	return c.handshakeErr
}

// recordRead counts received bytes, and charges those of a header.
func (c *limitedConn) recordRead(p []byte) error {
	c.mu.Lock()
	cost := int64(0)
	if c.phase == phaseNew || c.phase == phaseIdle {
		cost = c.beginRequest()
	}
	c.received += int64(len(p))
	cost += c.header.consume(p)
	c.mu.Unlock()
	if cost > 0 && c.account.Grow(cost) != nil {
		return os.ErrDeadlineExceeded // net/http closes the connection without a response
	}
	return nil
}

// beginRequest starts the phase in which a request arrives, and returns the cost of what was received of it together
// with the request before. mu must be held.
func (c *limitedConn) beginRequest() int64 {
	c.setPhase(phaseRequest)
	c.received = 0
	c.header = headerMeter{}
	c.account.Begin()
	return c.header.assume(c.pipelined)
}

// countPipelined counts the bytes that were received behind a request. mu must be held.
func (c *limitedConn) countPipelined() {
	if c.pipelined > 0 || c.bodyBytes < 0 {
		c.pipelined = readBufferBytes // not known, but not more
		return
	}
	c.pipelined = min(max(0, c.received-c.header.bytes-c.bodyBytes), readBufferBytes)
}

// setPhase sets the phase. mu must be held.
func (c *limitedConn) setPhase(phase connPhase) { c.phase, c.phaseStart = phase, time.Now() }

// onStateChange follows the state that net/http reports.
func (c *limitedConn) onStateChange(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.hasUnansweredBytes.Store(false)
		c.mu.Lock()
		c.setPhase(phaseIdle)
		c.countPipelined()
		c.mu.Unlock()
	case http.StateActive:
		c.beginPipelined()
	case http.StateHijacked:
		c.account.Clear()
		c.listener.forget(c)
	}
}

// beginPipelined charges the header of a request that was received together with the one before it.
func (c *limitedConn) beginPipelined() {
	c.mu.Lock()
	cost := int64(0)
	if c.phase == phaseIdle {
		cost = c.beginRequest()
	}
	c.mu.Unlock()
	if c.account.Grow(cost) != nil {
		c.interrupt()
	}
}

// headerArrived records that the header of a request has arrived and costs so many bytes. bodyBytes is the
// length of the body, negative if it is not known.
func (c *limitedConn) headerArrived(cost, bodyBytes int64) {
	c.mu.Lock()
	estimate := c.header.end()
	c.bodyBytes = bodyBytes
	c.mu.Unlock()
	if cost < estimate {
		c.account.Shrink(estimate - cost)
	}
}

// requestArrived records that the whole request has arrived. It fails if the connection has been interrupted.
func (c *limitedConn) requestArrived() error {
	if err := c.account.Complete(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseServing)
	return nil
}

// responseBegins records that the handler has begun to respond.
func (c *limitedConn) responseBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		c.setPhase(phaseResponse)
	}
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == phaseResponse {
		c.phaseStart = time.Now()
	}
	return n, err
}

// evictionOrder returns the place of the connection in the order in which connections are closed for new
// ones, and false if it must not be closed.
func (c *limitedConn) evictionOrder(now time.Time) (evictionOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := now.Sub(c.phaseStart)
	ok := false
	switch c.phase {
	case phaseRequest:
		ok = membudget.ArrivesSlowly(c.received, elapsed)
	case phaseNew, phaseIdle:
		ok = elapsed >= evictAfter
	case phaseResponse:
		ok = elapsed >= evictResponseAfter
	case phaseServing:
	}
	return evictionOrder{rank: int(c.phase), since: c.phaseStart}, ok
}

// abortUnlessReceiving closes the connection, unless it waits for a request whose bytes have arrived and have
// not been read. It reports whether it has closed it.
func (c *limitedConn) abortUnlessReceiving() bool {
	c.mu.Lock()
	waits := c.phase == phaseNew || c.phase == phaseIdle
	c.mu.Unlock()
	if waits && hasUnreadBytes(c.Conn) {
		return false
	}
	c.abort()
	return true
}

// interrupt makes pending and later reads fail; a response can still be written.
func (c *limitedConn) interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.isInterrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// wasEvicted reports whether the request was dropped in favour of others.
func (c *limitedConn) wasEvicted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.isInterrupted
}

// SetReadDeadline implements net.Conn. It does not lift an interruption.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.isInterrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. The first call frees a slot for another connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// abort closes the socket without the TLS alert that Close sends, which may block.
func (c *limitedConn) abort() {
	_ = unwrapSocket(c).Close() // the client is not told why
	c.release()
}

func (c *limitedConn) release() {
	c.releaseOnce.Do(func() {
		c.account.Close()
		c.listener.forget(c)
		c.listener.open.Add(-1)
		c.listener.releaseSlot()
	})
}
