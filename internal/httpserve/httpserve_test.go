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
)

// pipeListener accepts connections that a test dials in memory.
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

// site is a server with limits that a test speaks to byte by byte.
type site struct {
	*qt.C
	l *pipeListener
}

func newSite(t *testing.T, h http.HandlerFunc, limits Limits) *site {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := newServer(l, h, nil, limits)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
		_ = s.http.Close()
	})
	return &site{C: qt.New(t), l: l}
}

// conn is the client's end of a connection.
type conn struct {
	net.Conn
	r *bufio.Reader
}

// dial connects; false if the server does not accept now.
func (s *site) dial() (*conn, bool) {
	ours, theirs := net.Pipe()
	synctest.Wait()
	select {
	case s.l.conns <- theirs:
		return &conn{Conn: ours, r: bufio.NewReader(ours)}, true
	default:
		return nil, false
	}
}

func (s *site) mustDial() *conn {
	c, ok := s.dial()
	s.Assert(ok, qt.IsTrue)
	s.Cleanup(func() { c.Close() })
	return c
}

// send writes in the background, as a pipe holds nothing.
func (c *conn) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// answer reads an answer with its body.
func (s *site) answer(c *conn) *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	s.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	s.Assert(err, qt.IsNil)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

// ended waits until the server closes the connection and gives the time it took.
func ended(c *conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c.r)
	return time.Since(began)
}

func limits() Limits {
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

// A client sends its header a few bytes at a time, or its body. Unbounded, a
// handful of machines could hold every connection of an entry for days, and
// true callers would wait in the listen queue.
func TestSlowClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, limits())
		header := s.mustDial()
		header.send("POST / HTTP/1.1\r\nHo")
		s.Assert(ended(header), qt.Equals, 5*time.Second)
		body := s.mustDial()
		body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
		began := time.Now()
		s.Assert(s.answer(body).StatusCode, qt.Equals, http.StatusBadRequest)
		s.Assert(time.Since(began), qt.Equals, 30*time.Second)
		s.Assert(ended(body) < time.Second, qt.IsTrue)
	})
}

// A refusal is sent before the body was read, and the client goes on sending
// slowly. Its connection must end too.
func TestSlowBodyThatNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, limits())
		c := s.mustDial()
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
		s.Assert(ended(c) <= 31*time.Second, qt.IsTrue)
	})
}

// A job takes longer than the time for bodies. Its caller has sent all it had to,
// so it must still get its answer, and its connection must serve another request.
func TestBodyTimeEndsWithTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			select {
			case <-time.After(10 * time.Minute):
			case <-r.Context().Done():
				t.Error("the request was taken for one whose client has gone")
			}
		}, limits())
		c := s.mustDial()
		for range 2 {
			c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde")
			resp := s.answer(c)
			s.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}

// A caller opens connections until the limit and keeps them idle. Those beyond
// three quarters of it end after their answer, so that others find room.
func TestTooManyConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limits()
		l.Connections = 4
		s := newSite(t, echo, l)
		var conns []*conn
		for range l.Connections {
			conns = append(conns, s.mustDial())
		}
		_, ok := s.dial()
		s.Assert(ok, qt.IsFalse)
		const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		conns[0].send(request)
		resp := s.answer(conns[0])
		s.Assert(resp.Close, qt.IsTrue)
		ended(conns[0])
		synctest.Wait() // the caller sees the end a moment before the server counts it
		conns[1].send(request)
		s.Assert(s.answer(conns[1]).Close, qt.IsFalse) // below the mark: kept
		s.mustDial()
	})
}

// A client sends a header of a megabyte. It is refused before it is held.
func TestHugeHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, echo, limits())
		c := s.mustDial()
		c.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n")
		s.Assert(s.answer(c).StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	})
}
