package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// peerKey is the key of a request's peer in its context.
type peerKey struct{}

// peer is the other end of a connection.
type peer struct {
	conn net.Conn
	// answered is when the last request of the connection was answered, or when the
	// connection was accepted, in nanoseconds since started.
	answered atomic.Int64
}

// started is what times of peers are counted from.
var started = time.Now()

// keepPeer lets handlers find their request's connection.
func keepPeer(ctx context.Context, c net.Conn) context.Context {
	p := &peer{conn: c}
	p.noteAnswer()
	return context.WithValue(ctx, peerKey{}, p)
}

func (p *peer) noteAnswer() { p.answered.Store(int64(time.Since(started))) }

// notePeer keeps the times that peerQuiet reads.
func notePeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if p, ok := r.Context().Value(peerKey{}).(*peer); ok {
			p.noteAnswer()
		}
	})
}

// peerQuiet tells for how long nothing was answered on a request's connection: since the
// answer before, or since the connection was accepted. A request that a cut held up was
// sent within that time.
func peerQuiet(r *http.Request) time.Duration {
	p, ok := r.Context().Value(peerKey{}).(*peer)
	if !ok {
		return 0
	}
	return time.Since(started) - time.Duration(p.answered.Load())
}

// PeerLeft tells whether the caller of a request has ended its connection already. The
// request's context tells it too, but only once a goroutine of the server has run: the
// request and the end of its connection may lie in the receive buffer together, after a
// cut that the caller did not wait for. What a server begins in between is work for
// nobody, beside the work on the same request at the server that the caller asked next.
//
// The end is not seen behind bytes that are still unread. A connection of another kind
// than a socket counts as open.
func PeerLeft(r *http.Request) bool {
	p, ok := r.Context().Value(peerKey{}).(*peer)
	if !ok {
		return false
	}
	s, ok := socketOf(p.conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // it is closed on this side
	}
	left := false
	if err := raw.Control(func(fd uintptr) { left = endOfStream(int(fd)) }); err != nil {
		return true
	}
	return left
}

// socketOf gives the socket under the wrappers of this package and of TLS.
func socketOf(c net.Conn) net.Conn {
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

// peek counts the next byte in the receive buffer, without taking it.
func peek(fd int) (int, error) {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// endOfStream looks at the receive buffer without taking anything from it.
func endOfStream(fd int) bool {
	n, err := peek(fd)
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return true
	}
	return false // nothing to read yet, or not known
}
