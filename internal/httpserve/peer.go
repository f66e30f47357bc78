package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// keepConn lets handlers find their request's connection.
func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
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
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	s, ok := socketOf(c).(syscall.Conn)
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

// endOfStream looks at the receive buffer without taking anything from it.
func endOfStream(fd int) bool {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return true
	}
	return false // nothing to read yet, or not known
}
