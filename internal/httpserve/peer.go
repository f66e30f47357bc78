package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"wigeontray/internal/membudget"
)

// peerKey is the context key of the peer of a request.
type peerKey struct{}

// peer is the remote end of a connection.
type peer struct {
	conn net.Conn
	// lastAnswer is when the last request of the connection was answered, or when the
	// connection was accepted, in nanoseconds since processStart.
	lastAnswer atomic.Int64
}

// processStart is the reference for the times of peers.
var processStart = time.Now()

// withPeer implements http.Server.ConnContext. It makes the connection of a request
// available to handlers.
func withPeer(ctx context.Context, c net.Conn) context.Context {
	p := &peer{conn: c}
	p.recordAnswer()
	if l, ok := c.(*limitedConn); ok {
		ctx = membudget.NewContext(ctx, l.account)
	}
	return context.WithValue(ctx, peerKey{}, p)
}

func (p *peer) recordAnswer() { p.lastAnswer.Store(int64(time.Since(processStart))) }

// recordAnswers records the times that peerIdleTime reads.
func recordAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if p, ok := r.Context().Value(peerKey{}).(*peer); ok {
			p.recordAnswer()
		}
	})
}

// peerIdleTime returns the time since the last response on a request's connection, or since
// the connection was accepted. A request that a network partition held up was sent within
// that time.
func peerIdleTime(r *http.Request) time.Duration {
	p, ok := r.Context().Value(peerKey{}).(*peer)
	if !ok {
		return 0
	}
	return time.Since(processStart) - time.Duration(p.lastAnswer.Load())
}

// PeerDisconnected reports whether the caller of a request has closed its connection. The
// context of the request reports it too, but only once a goroutine of the server has run:
// after a partition that outlasted the caller's timeout, the request and the end of its
// connection may be in the receive buffer together. Work started in between would be
// wasted, and would run concurrently with the same request at the server that the caller
// tried next.
//
// The end of the connection is not detected while there are unread bytes before it. A
// connection that is not a socket counts as open.
func PeerDisconnected(r *http.Request) bool {
	p, ok := r.Context().Value(peerKey{}).(*peer)
	if !ok {
		return false
	}
	s, ok := unwrapSocket(p.conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	disconnected := false
	if err := raw.Control(func(fd uintptr) { disconnected = atEndOfStream(int(fd)) }); err != nil {
		return true
	}
	return disconnected
}

// unwrapSocket returns the socket under the wrappers of this package and of TLS.
func unwrapSocket(c net.Conn) net.Conn {
	for {
		switch w := c.(type) {
		case *limitedConn:
			c = w.Conn
		case interface{ NetConn() net.Conn }:
			c = w.NetConn()
		default:
			return c
		}
	}
}

// peekByte returns the number of bytes, at most one, in the receive buffer, without
// consuming them.
func peekByte(fd int) (int, error) {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// atEndOfStream reports whether the receive buffer is at the end of the stream, without
// consuming anything.
func atEndOfStream(fd int) bool {
	n, err := peekByte(fd)
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return true
	}
	return false // no data yet, or unknown
}
