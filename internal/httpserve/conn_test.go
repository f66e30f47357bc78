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

// gatedListener accepts connections on which each Read needs a permit. This simulates a
// process that does not get CPU time to read a request.
type gatedListener struct {
	net.Listener
	readPermits chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &gatedConn{Conn: c, readPermits: l.readPermits}, err
}

type gatedConn struct {
	net.Conn
	readPermits chan struct{} // each Read takes one
}

func (c *gatedConn) NetConn() net.Conn { return c.Conn }

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.readPermits
	return c.Conn.Read(p)
}

// A planned stop must not close a connection as unused when a request on it has arrived but
// has not been read yet.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gated := &gatedListener{Listener: ln, readPermits: make(chan struct{}, 100)}
	idle := make(chan struct{}, 2)
	s := newServer(gated, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }), nil, DefaultLimits())
	onStateChange := s.http.ConnState
	s.http.ConnState = func(conn net.Conn, state http.ConnState) {
		onStateChange(conn, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go s.Serve()
	defer s.Close()
	client, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	responses := bufio.NewReader(client)
	sendRequest := func() { fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }
	readResponse := func() *http.Response {
		res, err := http.ReadResponse(responses, nil)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(b), qt.Equals, "done")
		return res
	}
	gated.readPermits <- struct{}{} // for the first request
	gated.readPermits <- struct{}{} // for the server's background read after it
	sendRequest()
	readResponse()
	<-idle
	sendRequest()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	select {
	case <-stopped:
		c.Fatal("server stopped before it answered a request that had arrived")
	case <-time.After(50 * time.Millisecond):
	}
	close(gated.readPermits)
	c.Check(readResponse().Close, qt.IsTrue)
	c.Check(<-stopped, qt.IsNil)
}

// A planned stop must not wait for connections on which no request has arrived.
func TestStopClosesUnusedConnections(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", http.NotFoundHandler(), nil, DefaultLimits())
	c.Assert(err, qt.IsNil)
	go s.Serve()
	client, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	responses := bufio.NewReader(client)
	_, err = http.ReadResponse(responses, nil)
	c.Assert(err, qt.IsNil)
	c.Check(s.Stop(context.Background()), qt.IsNil)
}
