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

// trackedConn is a connection to the upstream that can prove that a request was
// never written to it. An error of net/http alone does not tell: its writer may
// still be about to write when RoundTrip has already given up.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	isSealed     bool
	bytesWritten int64 // bytes handed to the system, counted before each write
}

// Write refuses once the connection is sealed.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.bytesWritten += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *trackedConn) offset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// sealIfUnwritten forbids all further writes if nothing was written after position, and
// tells whether that is so.
func (c *trackedConn) sealIfUnwritten(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSealed = c.isSealed || c.bytesWritten == offset
	return c.bytesWritten == offset
}

// dialError marks a failed dial: no connection, so no request.
type dialError struct{ err error }

func (e *dialError) Error() string { return fmt.Sprintf("dial upstream: %v", e.err) }
func (e *dialError) Unwrap() error { return e.err }

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func trackedDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &dialError{err}
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// connAttempt is one connection that a request was given, and how much had been
// written to it before.
type connAttempt struct {
	conn   *trackedConn
	offset int64
}

// connAttempts records the connections that one request was given.
type connAttempts struct {
	mu           sync.Mutex
	list         []connAttempt
	hasUntracked bool // a connection that cannot prove anything
}

func (a *connAttempts) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *connAttempts) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		a.hasUntracked = true
		return
	}
	a.list = append(a.list, connAttempt{conn: conn, offset: conn.offset()})
}

// sealUnwritten proves that no byte of the request went out or ever will.
func (a *connAttempts) sealUnwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isUnwritten := !a.hasUntracked
	for _, attempt := range a.list {
		isUnwritten = attempt.conn.sealIfUnwritten(attempt.offset) && isUnwritten
	}
	return isUnwritten
}

// classifyError turns an error of RoundTrip into a result. RanNo lets the entry send
// the task to another guard, so it is claimed only on proof; after the first
// byte the upstream may have run the task, whatever the error says.
func (a *connAttempts) classifyError(ctx context.Context, err error) taskResult {
	kind, ran := errkind.UpstreamFailed, errkind.RanUnknown
	isExpired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if a.sealUnwritten() {
		ran = errkind.RanNo
	}
	switch {
	case isExpired && ran == errkind.RanNo:
		kind = errkind.DeadlineExpired
	case isExpired:
		kind = errkind.TimedOut
	}
	res := failedResult(kind, ran, err)
	_, res.isUnreachable = errors.AsType[*dialError](err)
	res.isUnreachable = res.isUnreachable && !isExpired
	return res
}
