// Package httpserve provides the HTTP servers of both binaries, with limits on the
// resources that clients can use, a planned stop that answers every request that has
// arrived, and detection of callers that have disconnected.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"wigeontray/internal/membudget"
	"wigeontray/internal/proclimit"
)

// Limits bounds the resources that untrusted clients can occupy.
type Limits struct {
	HeaderTimeout   time.Duration // to read a request's header
	BodyTimeout     time.Duration // to read a request's body; 0 for no limit
	ResponseTimeout time.Duration // for the client to receive what a handler has written last; 0 for no limit
	IdleTimeout     time.Duration // between the requests of a connection
	HeaderBytes     int           // maximum size of a request's header
	MaxConnections  int           // maximum open at once, 0 for no limit; see limitListener
	// ReceiveBytes and SendBytes are the sizes of the kernel's buffers for a connection; 0 for the system's
	// defaults, which grow to megabytes. Connections in the listen queue, at most MaxConnections more, have
	// them too.
	ReceiveBytes, SendBytes int
	// Budget is the memory for requests, which the servers of a process share; nil for no limit.
	Budget *membudget.Budget
}

// DefaultLimits returns limits for callers of an entry's public address.
func DefaultLimits() Limits {
	return Limits{
		HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, ResponseTimeout: 2 * time.Minute, IdleTimeout: time.Minute,
		HeaderBytes: 16 << 10, MaxConnections: 10_000,
	}
}

// Within returns the limits of a listener of a process whose requests share a budget.
func (l Limits) Within(p proclimit.Limits, b *membudget.Budget) Limits {
	l.MaxConnections, l.ReceiveBytes, l.SendBytes, l.Budget = p.Connections, p.ReceiveBytes, p.SendBytes, b
	return l
}

// Server is an HTTP server on one listener.
type Server struct {
	listener *limitListener
	http     *http.Server
	conns    connTracker
}

// Listen opens addr (host:port; port 0 selects a free one) and returns a server for h. With
// a TLS configuration it serves HTTPS.
func Listen(addr string, h http.Handler, tlsConfig *tls.Config, l Limits) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setBufferSizes(c, &l) }}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if l.MaxConnections > 0 {
		limitQueue(ln.(*net.TCPListener), l.MaxConnections)
	}
	return newServer(ln, h, tlsConfig, l), nil
}

// limitQueue limits the connections in the listen queue, whose bytes the kernel receives before they are
// accepted.
func limitQueue(ln *net.TCPListener, most int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return // closed
	}
	// Without the limit the queue has the size that the system allows.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), most) })
}

// setBufferSizes sets the sizes of the buffers that accepted connections inherit. Without them the server works as
// well, with more memory in the kernel.
func setBufferSizes(c syscall.RawConn, l *Limits) error {
	return c.Control(func(fd uintptr) {
		if l.ReceiveBytes > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.ReceiveBytes)
		}
		if l.SendBytes > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, l.SendBytes)
		}
	})
}

func newServer(ln net.Listener, h http.Handler, tlsConfig *tls.Config, l Limits) *Server {
	s := &Server{listener: newLimitListener(&onceListener{Listener: ln}, tlsConfig, &l), conns: connTracker{states: make(map[net.Conn]http.ConnState)}}
	h = recordAnswers(requireResponse(withRequestLimits(h, l.BodyTimeout), l.ResponseTimeout))
	s.http = &http.Server{
		Handler:           s.conns.closeWhileStopping(s.listener.closeNearLimit(h)),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ConnContext:       withPeer,
		ConnState:         s.conns.onStateChange,
	}
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// HandshakesFailed returns the number of connections that failed in their TLS handshake.
func (s *Server) HandshakesFailed() int64 { return s.listener.handshakesFailed.Load() }

// Serve accepts requests until Stop or Close, and returns nil after either.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.conns.stopping.Load() {
		return fmt.Errorf("serve %s: %w", s.Addr(), err)
	}
	return nil
}

// Stop closes the listener and waits until every request in flight is answered or ctx ends.
// A request that has arrived counts as in flight even if it has not been read yet;
// http.Server.Shutdown alone would drop a request that the server reads during the
// shutdown.
func (s *Server) Stop(ctx context.Context) error {
	s.conns.stopping.Store(true)
	_ = s.listener.Close() // it may already be closed
	for {
		open := s.conns.closeUnused()
		if open == 0 {
			return s.http.Shutdown(ctx)
		}
		select {
		case <-s.conns.changed():
		case <-time.After(unusedPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
