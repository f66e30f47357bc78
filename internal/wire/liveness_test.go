package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

// Short times for the tests; the ratio is that of a real link.
const (
	testEvery  = 200 * time.Millisecond
	testAnswer = 300 * time.Millisecond // room for a busy machine
)

// accepted serves one link per request and hands it over.
func accepted(c *qt.C) (url string, links chan Link) {
	links = make(chan Link, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := accept(w, r, nil, newLiveness(false, testEvery, testAnswer))
		if err != nil {
			return
		}
		links <- l
		for err == nil {
			_, err = l.Recv(context.Background())
		}
	}))
	c.Cleanup(server.Close)
	return "ws" + server.URL[len("http"):], links
}

// A guard's host freezes. Its connection stays open, nothing comes any more,
// and without a look at the silence its entry would send it tasks for minutes.
func TestSilentPeerIsLeft(t *testing.T) {
	c := qt.New(t)
	url, links := accepted(c)
	conn, _, err := websocket.Dial(context.Background(), url, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.CloseNow() }()
	select {
	case <-(<-links).Done():
	case <-time.After(10 * time.Second):
		c.Fatal("the link to a silent peer stayed open")
	}
}

// An idle guard sends nothing but pings. They must keep its link, or every idle
// worker would be lost again and again.
func TestPingsKeepAnIdleLink(t *testing.T) {
	c := qt.New(t)
	url, links := accepted(c)
	conn, _, err := websocket.Dial(context.Background(), url, nil)
	c.Assert(err, qt.IsNil)
	l := newLink(conn, nil, newLiveness(true, testEvery/10, 10*time.Second))
	defer l.Close("done")
	go func() { _, _ = l.Recv(context.Background()) }() // reads the answers to pings
	other := <-links
	select {
	case <-other.Done():
		c.Fatal("the link of an idle peer was closed")
	case <-time.After(2 * (testEvery + testAnswer)):
	}
}
