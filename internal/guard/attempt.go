package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"

	"wigeontray/internal/errkind"
)

// provenConn is a connection to the upstream that can prove that a request was
// never written to it. An error of net/http alone does not tell: its writer may
// still be about to write when RoundTrip has already given up.
type provenConn struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	written int64 // bytes handed to the system, counted before each write
}

// Write refuses once the connection is sealed.
func (c *provenConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *provenConn) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealAt forbids all further writes if nothing was written after position, and
// tells whether that is so.
func (c *provenConn) sealAt(position int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.written == position
	return c.written == position
}

// dialError marks a failed dial: no connection, so no request.
type dialError struct{ err error }

func (e *dialError) Error() string { return fmt.Sprintf("dial upstream: %v", e.err) }
func (e *dialError) Unwrap() error { return e.err }

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func provenDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &dialError{err}
		}
		return &provenConn{Conn: conn}, nil
	}
}

// attempt is one connection that a request was given, and how much had been
// written to it before.
type attempt struct {
	conn     *provenConn
	position int64
}

// attempts records the connections that one request was given.
type attempts struct {
	mu   sync.Mutex
	list []attempt
	odd  bool // a connection that cannot prove anything
}

func (a *attempts) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *attempts) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, ok := info.Conn.(*provenConn)
	if !ok {
		a.odd = true
		return
	}
	a.list = append(a.list, attempt{conn: conn, position: conn.position()})
}

// unwritten proves that no byte of the request went out or ever will.
func (a *attempts) unwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	proved := !a.odd
	for _, t := range a.list {
		proved = t.conn.sealAt(t.position) && proved
	}
	return proved
}

// classify turns an error of RoundTrip into a result. RanNo lets the entry send
// the task to another guard, so it is claimed only on proof; after the first
// byte the upstream may have run the task, whatever the error says.
func (a *attempts) classify(ctx context.Context, err error) runResult {
	kind, ran := errkind.UpstreamFailed, errkind.RanUnknown
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if a.unwritten() {
		ran = errkind.RanNo
	}
	switch {
	case expired && ran == errkind.RanNo:
		kind = errkind.DeadlineExpired
	case expired:
		kind = errkind.TimedOut
	}
	res := failure(kind, ran, err)
	_, res.unreachable = errors.AsType[*dialError](err)
	res.unreachable = res.unreachable && !expired
	return res
}
