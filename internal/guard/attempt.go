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

// trackedConn is a connection to the upstream that counts the bytes written,
// which proves whether a request was never written to it. An error from
// net/http alone is no such proof: its write loop may still be about to write
// after RoundTrip has returned the error.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	isSealed     bool
	bytesWritten int64 // bytes passed to the operating system, counted before each write
}

// Write fails with net.ErrClosed once the connection is sealed.
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

// sealIfUnwritten makes all further writes fail if nothing was written after
// offset, and reports whether that is the case.
func (c *trackedConn) sealIfUnwritten(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSealed = c.isSealed || c.bytesWritten == offset
	return c.bytesWritten == offset
}

// dialError marks a failed dial: without a connection, no request was sent.
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

// connAttempt is one connection that net/http assigned to a request.
type connAttempt struct {
	conn   *trackedConn
	offset int64 // bytes written to conn before the assignment
}

// connAttempts records the connections that net/http assigned to one request.
type connAttempts struct {
	mu           sync.Mutex
	list         []connAttempt
	hasUntracked bool // one of the connections does not count its writes
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

// sealUnwritten seals the connections on which no byte of the request was
// written, and reports whether none was written on any of them. If so, none
// ever will be.
func (a *connAttempts) sealUnwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isUnwritten := !a.hasUntracked
	for _, attempt := range a.list {
		isUnwritten = attempt.conn.sealIfUnwritten(attempt.offset) && isUnwritten
	}
	return isUnwritten
}

// classifyError converts an error of RoundTrip into a result. RanNo lets the
// entry send the task to another guard, so it is reported only on proof. Once
// the first byte is written, the upstream may have run the task, whatever the
// error is.
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
