package httpserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heldListener hands out connections whose second Read waits: those of a process whose
// processor is busy.
type heldListener struct {
	net.Listener
	reads chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, reads: l.reads}, err
}

type heldConn struct {
	net.Conn
	reads chan struct{} // one is taken for each Read
}

func (c *heldConn) NetConn() net.Conn { return c.Conn }

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.reads
	return c.Conn.Read(p)
}

// Guards against a request that has arrived being cut off by a planned stop, as its connection was taken for unused.
func TestRequestThatArrivedBeforeTheStopIsAnswered(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	held := &heldListener{Listener: ln, reads: make(chan struct{}, 100)}
	idle := make(chan struct{}, 2)
	s := newServer(held, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }), nil, DefaultLimits())
	follow := s.http.ConnState
	s.http.ConnState = func(conn net.Conn, state http.ConnState) {
		follow(conn, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go s.Serve()
	defer s.Close()
	client, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	answers := bufio.NewReader(client)
	ask := func() { fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }
	take := func() *http.Response {
		res, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(b), qt.Equals, "done")
		return res
	}
	held.reads <- struct{}{} // the first request
	held.reads <- struct{}{} // the server looks for a second one meanwhile
	ask()
	take()
	<-idle
	ask()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	select {
	case <-stopped:
		c.Fatal("the server has stopped with a request that is not answered")
	case <-time.After(50 * time.Millisecond):
	}
	close(held.reads)
	c.Check(take().Close, qt.IsTrue)
	c.Check(<-stopped, qt.IsNil)
}

// Guards against a stop that waits for connections on which nothing has arrived.
func TestUnusedConnectionsEndWithTheStop(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", http.NotFoundHandler(), nil, DefaultLimits())
	c.Assert(err, qt.IsNil)
	go s.Serve()
	client, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answers := bufio.NewReader(client)
	_, err = http.ReadResponse(answers, nil)
	c.Assert(err, qt.IsNil)
	c.Check(s.Stop(context.Background()), qt.IsNil)
}
