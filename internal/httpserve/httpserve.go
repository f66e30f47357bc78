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
	BodyTimeout   time.Duration // to read a request's body; 0 for no bound
	IdleTimeout   time.Duration // between requests of a connection
	HeaderBytes   int
	Connections   int // open at once; more wait in the listen queue
}

// DefaultLimits suit callers on the open side of an entry.
func DefaultLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: time.Minute, HeaderBytes: 16 << 10, Connections: 10_000}
}

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	errors   *errorLog
	conns    connTable
}

// Listen opens addr (host:port; port 0 picks one) and returns a server for h.
// With a TLS configuration it serves HTTPS.
func Listen(addr string, h http.Handler, tlsConfig *tls.Config, l Limits) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newServer(ln, h, tlsConfig, l), nil
}

func newServer(ln net.Listener, h http.Handler, tlsConfig *tls.Config, l Limits) *Server {
	ln = &onceListener{Listener: ln}
	h = notePeer(timeBodies(h, l.BodyTimeout))
	if l.Connections > 0 {
		limited := &limitListener{Listener: ln, free: make(chan struct{}, l.Connections), closed: make(chan struct{})}
		ln, h = limited, limited.closeWhenCrowded(h)
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	errors := &errorLog{rest: os.Stderr}
	s := &Server{listener: ln, errors: errors, conns: connTable{open: make(map[net.Conn]http.ConnState)}}
	s.http = &http.Server{
		Handler:           s.conns.endWhileStopping(h),
		ErrorLog:          log.New(errors, "", log.LstdFlags),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ConnContext:       keepPeer,
		ConnState:         s.conns.note,
	}
	return s
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// HandshakesFailed counts connections that ended in their TLS handshake.
func (s *Server) HandshakesFailed() int64 { return s.errors.handshakes.Load() }

// Serve runs until Stop and returns nil after it.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.conns.stopping.Load() {
		return fmt.Errorf("serve %s: %w", s.Addr(), err)
	}
	return nil
}

// Stop closes the listener and waits until every request in flight is answered
// or ctx ends. A request that has arrived is in flight, also if it has not been read yet.
// The server of net/http would drop one that it reads while it shuts down.
func (s *Server) Stop(ctx context.Context) error {
	s.conns.stopping.Store(true)
	_ = s.listener.Close() // it may be closed already
	for {
		open := s.conns.endUnused()
		if open == 0 {
			return s.http.Shutdown(ctx)
		}
		select {
		case <-s.conns.changed():
		case <-time.After(lookForUnused):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// timeBodies bounds the time in which a request's body arrives. Without it a
// client that sends a byte a minute holds its connection and its share of the
// limits for as long as it likes, and nothing shows it.
func timeBodies(next http.Handler, timeout time.Duration) http.Handler {
	if timeout <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		conn := http.NewResponseController(w)
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on what is no connection
		r.Body = &timedBody{ReadCloser: r.Body, conn: conn}
		next.ServeHTTP(w, r)
	})
}

// timedBody lifts the deadline at the body's end: the caller may then wait for
// its answer for as long as the job takes.
type timedBody struct {
	io.ReadCloser
	conn *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// limitListener accepts at most cap(free) connections at once. Without it a
// flood of connections takes the process's file descriptors, and links to
// guards fail for want of one.
type limitListener struct {
	net.Listener
	free   chan struct{}
	open   atomic.Int64
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
	l.open.Add(1)
	return &limitedConn{Conn: c, since: time.Now(), release: func() { l.open.Add(-1); <-l.free }}, nil
}

// crowdedAt is the part of the limit from which on connections are not kept.
const crowdedAt = 0.75

// closeWhenCrowded ends a connection after its answer while most of the limit is
// used up. Otherwise idle connections of one caller could keep all others in the
// listen queue for the whole idle time.
func (l *limitListener) closeWhenCrowded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if float64(l.open.Load()) > crowdedAt*float64(cap(l.free)) {
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
