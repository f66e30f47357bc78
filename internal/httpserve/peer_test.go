package httpserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// askPeer sends a request and reports what PeerLeft says of its caller once the
// request's body is read and send has returned.
func askPeer(t *testing.T, send func(addr string)) bool {
	sent, left := make(chan struct{}), make(chan bool, 1)
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-sent
		left <- PeerLeft(r)
	}), nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	go s.Serve()
	send(s.Addr())
	close(sent)
	return <-left
}

const peerRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// A request and the end of its connection arrive together, as a cut held them up. Its
// caller has sent it elsewhere; begun here as well, it would run twice at once.
func TestCallerThatHasLeftIsNoticed(t *testing.T) {
	qt.Assert(t, askPeer(t, func(addr string) {
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprint(c, peerRequest)
		c.Close()
	}), qt.IsTrue)
}

func TestCallerThatWaitsIsNotTakenForGone(t *testing.T) {
	for _, then := range []string{"", peerRequest} { // a second request may follow at once
		var c net.Conn
		qt.Assert(t, askPeer(t, func(addr string) {
			var err error
			c, err = net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			fmt.Fprint(c, peerRequest+then)
		}), qt.IsFalse)
		c.Close()
	}
}

// A connection has been quiet since its last answer, not since it was opened: a caller
// that keeps it busy would else be taken for one whose request was held up.
func TestPeerIsQuietSinceItsLastAnswer(t *testing.T) {
	var quiet []time.Duration
	var calls []time.Time
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		quiet = append(quiet, peerQuiet(r))
		calls = append(calls, time.Now())
	}), nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	go s.Serve()
	c, err := net.Dial("tcp", s.Addr())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	answers := bufio.NewReader(c)
	for range 2 {
		fmt.Fprint(c, peerRequest)
		res, err := http.ReadResponse(answers, nil)
		qt.Assert(t, err, qt.IsNil)
		res.Body.Close()
	}
	qt.Assert(t, quiet, qt.HasLen, 2)
	qt.Check(t, quiet[0] > 0, qt.IsTrue)
	between := calls[1].Sub(calls[0])
	qt.Check(t, quiet[1] > 0 && quiet[1] <= between, qt.IsTrue, qt.Commentf("%v of %v", quiet[1], between))
}
