package httpserve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/membudget"
)

// pipeListener accepts in-memory connections that a test dials.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return new(net.TCPAddr) }

// testServer is a server with limits, whose connections a test reads and writes byte by
// byte.
type testServer struct {
	*qt.C
	listener *pipeListener
	budget   *membudget.Budget // nil for none
}

func newTestServer(t *testing.T, h http.HandlerFunc, limits Limits) *testServer {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := newServer(listener, h, nil, limits)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
		_ = s.http.Close()
	})
	return &testServer{C: qt.New(t), listener: listener}
}

// clientConn is the client's end of a connection.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// dial connects, and reports false if the server does not accept a connection now.
func (s *testServer) dial() (*clientConn, bool) {
	clientEnd, serverEnd := net.Pipe()
	synctest.Wait()
	select {
	case s.listener.conns <- serverEnd:
		return &clientConn{Conn: clientEnd, r: bufio.NewReader(clientEnd)}, true
	default:
		return nil, false
	}
}

func (s *testServer) mustDial() *clientConn {
	c, ok := s.dial()
	s.Assert(ok, qt.IsTrue)
	s.Cleanup(func() { c.Close() })
	return c
}

// send writes in the background, since a pipe has no buffer.
func (c *clientConn) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// readResponse reads a response with its body.
func (s *testServer) readResponse(c *clientConn) *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	s.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	s.Assert(err, qt.IsNil)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

// timeUntilClosed waits until the server closes the connection and returns how long that
// took.
func timeUntilClosed(c *clientConn) time.Duration {
	startedAt := time.Now()
	_, _ = io.Copy(io.Discard, c.r)
	return time.Since(startedAt)
}

func testLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: time.Minute, HeaderBytes: 1 << 10}
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(b)
}

// A client sends its header, or its body, a few bytes at a time. Without a timeout a few
// machines could hold every connection of an entry for days, and other callers would wait
// in the listen queue.
func TestSlowClientsAreDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, testLimits())
		header := s.mustDial()
		header.send("POST / HTTP/1.1\r\nHo")
		s.Assert(timeUntilClosed(header), qt.Equals, 5*time.Second)
		body := s.mustDial()
		body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
		startedAt := time.Now()
		s.Assert(s.readResponse(body).StatusCode, qt.Equals, http.StatusBadRequest)
		s.Assert(time.Since(startedAt), qt.Equals, 30*time.Second)
		s.Assert(timeUntilClosed(body) < time.Second, qt.IsTrue)
	})
}

// A refusal is sent before the body is read, and the client continues to send slowly. Its
// connection must be closed too.
func TestSlowUnreadBodyIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, testLimits())
		c := s.mustDial()
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
		s.Assert(timeUntilClosed(c) <= 31*time.Second, qt.IsTrue)
	})
}

// A job takes longer than the body timeout. Its caller has sent the whole request, so it
// must still get its response, and the connection must serve another request.
func TestBodyTimeoutEndsWithTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			select {
			case <-time.After(10 * time.Minute):
			case <-r.Context().Done():
				t.Error("request context was cancelled although its client is still connected")
			}
		}, testLimits())
		c := s.mustDial()
		for range 2 {
			c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde")
			resp := s.readResponse(c)
			s.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}

// A caller opens connections up to the limit and keeps them idle. While more than three
// quarters of the limit are in use, connections are closed after their response, so that
// other callers get one.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.MaxConnections = 4
		s := newTestServer(t, echo, l)
		var conns []*clientConn
		for range l.MaxConnections {
			conns = append(conns, s.mustDial())
		}
		_, ok := s.dial()
		s.Assert(ok, qt.IsFalse)
		const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		conns[0].send(request)
		resp := s.readResponse(conns[0])
		s.Assert(resp.Close, qt.IsTrue)
		timeUntilClosed(conns[0])
		synctest.Wait() // the client sees the close before the server counts it
		conns[1].send(request)
		s.Assert(s.readResponse(conns[1]).Close, qt.IsFalse) // below three quarters: kept alive
		s.mustDial()
	})
}

// A client sends a header of 1 MiB. It is refused before it is held in memory.
func TestOversizedHeaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, echo, testLimits())
		c := s.mustDial()
		c.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n")
		s.Assert(s.readResponse(c).StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	})
}
