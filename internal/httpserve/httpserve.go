// Package httpserve builds the HTTP servers of both binaries with their limits.
package httpserve

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds what strangers can make a server hold.
type Limits struct {
	HeaderTimeout time.Duration // to read a request's header
	IdleTimeout   time.Duration // between requests of a connection
	HeaderBytes   int
	Connections   int // open at once; more wait in the listen queue
}

// DefaultLimits suit callers on the open side of an entry.
func DefaultLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, HeaderBytes: 16 << 10, Connections: 10_000}
}

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	errors   *errorLog
}

// Listen opens addr (host:port; port 0 picks one) and returns a server for h.
// With a TLS configuration it serves HTTPS.
func Listen(addr string, h http.Handler, tlsConfig *tls.Config, l Limits) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if l.Connections > 0 {
		ln = &limitListener{Listener: ln, free: make(chan struct{}, l.Connections), closed: make(chan struct{})}
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	errors := &errorLog{rest: os.Stderr}
	return &Server{listener: ln, errors: errors, http: &http.Server{
		Handler:           h,
		ErrorLog:          log.New(errors, "", log.LstdFlags),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
	}}, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// HandshakesFailed counts connections that ended in their TLS handshake.
func (s *Server) HandshakesFailed() int64 { return s.errors.handshakes.Load() }

// Serve runs until Stop and returns nil after it.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.Addr(), err)
	}
	return nil
}

// Stop closes the listener and waits until every request in flight is answered
// or ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// limitListener accepts at most cap(free) connections at once. Without it a
// flood of connections takes the process's file descriptors, and links to
// guards fail for want of one.
type limitListener struct {
	net.Listener
	free   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for room before it takes a connection from the listen queue.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.free }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn; the first call makes room for another connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// errorLog takes the lines that net/http writes. Failed handshakes are counted:
// anybody who reaches the port can cause them, and a line for each would bury
// the log. What remains, above all panics, is written.
type errorLog struct {
	handshakes atomic.Int64
	rest       io.Writer
}

// Write implements io.Writer; each call is one line.
func (l *errorLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		l.handshakes.Add(1)
		return len(line), nil
	}
	return l.rest.Write(line)
}
