// Package httpserve provides the HTTP servers of both binaries, with limits on the
// resources that clients can use, a planned stop that answers every request that has
// arrived, and detection of callers that have disconnected.
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

// Limits bounds the resources that untrusted clients can occupy.
type Limits struct {
	HeaderTimeout  time.Duration // to read a request's header
	BodyTimeout    time.Duration // to read a request's body; 0 for no limit
	IdleTimeout    time.Duration // between the requests of a connection
	HeaderBytes    int           // maximum size of a request's header
	MaxConnections int           // maximum open at once, 0 for no limit; more wait in the listen queue
}

// DefaultLimits returns limits for callers of an entry's public address.
func DefaultLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: time.Minute, HeaderBytes: 16 << 10, MaxConnections: 10_000}
}

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	errors   *errorLog
	conns    connTracker
}

// Listen opens addr (host:port; port 0 selects a free one) and returns a server for h. With
// a TLS configuration it serves HTTPS.
func Listen(addr string, h http.Handler, tlsConfig *tls.Config, l Limits) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newServer(ln, h, tlsConfig, l), nil
}

func newServer(ln net.Listener, h http.Handler, tlsConfig *tls.Config, l Limits) *Server {
	ln = &onceListener{Listener: ln}
	h = recordAnswers(requireResponse(withBodyTimeout(h, l.BodyTimeout)))
	if l.MaxConnections > 0 {
		limited := &limitListener{Listener: ln, slots: make(chan struct{}, l.MaxConnections), closed: make(chan struct{})}
		ln, h = limited, limited.closeNearLimit(h)
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	errors := &errorLog{out: os.Stderr}
	s := &Server{listener: ln, errors: errors, conns: connTracker{states: make(map[net.Conn]http.ConnState)}}
	s.http = &http.Server{
		Handler:           s.conns.closeWhileStopping(h),
		ErrorLog:          log.New(errors, "", log.LstdFlags),
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
func (s *Server) HandshakesFailed() int64 { return s.errors.handshakes.Load() }

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

// withBodyTimeout limits the time in which a request's body must arrive. Without it a
// client that sends one byte a minute could hold its connection and its share of the limits
// indefinitely, without any sign of it.
func withBodyTimeout(next http.Handler, timeout time.Duration) http.Handler {
	if timeout <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		conn := http.NewResponseController(w)
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the writer has no connection
		r.Body = &timedBody{ReadCloser: r.Body, conn: conn}
		next.ServeHTTP(w, r)
	})
}

// timedBody removes the read deadline at the end of the body, so that the caller can wait
// for its response for as long as the job takes.
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

// limitListener accepts at most cap(slots) connections at once. Without it a flood of
// connections would exhaust the file descriptors of the process, and links to guards could
// not be opened.
type limitListener struct {
	net.Listener
	slots     chan struct{}
	openConns atomic.Int64
	closed    chan struct{}
	once      sync.Once
}

// Accept waits for a free slot before it accepts a connection from the listen queue.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.openConns.Add(1)
	return &limitedConn{Conn: c, acceptedAt: time.Now(), release: func() { l.openConns.Add(-1); <-l.slots }}, nil
}

// keepAliveMaxUse is the used fraction of the connection limit above which connections are
// not kept alive.
const keepAliveMaxUse = 0.75

// closeNearLimit closes a connection after its response while most of the limit is in use.
// Otherwise idle connections of one caller could keep all other callers in the listen queue
// for the whole idle timeout.
func (l *limitListener) closeNearLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if float64(l.openConns.Load()) > keepAliveMaxUse*float64(cap(l.slots)) {
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

// errorLog receives the error lines of net/http. Failed handshakes are counted and not
// logged: anyone who reaches the port can cause them, and a line for each would flood the
// log. Other lines, in particular those of panics, are written.
type errorLog struct {
	handshakes atomic.Int64 // failed ones
	out        io.Writer
}

// Write implements io.Writer. Each call carries one line.
func (l *errorLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		l.handshakes.Add(1)
		return len(line), nil
	}
	return l.out.Write(line)
}
