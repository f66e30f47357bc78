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

// peerDisconnected sends a request and returns what PeerDisconnected reports once the
// request's body is read and send has returned.
func peerDisconnected(t *testing.T, send func(addr string)) bool {
	sent, disconnected := make(chan struct{}), make(chan bool, 1)
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-sent
		disconnected <- PeerDisconnected(r)
	}), nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	go s.Serve()
	send(s.Addr())
	close(sent)
	return <-disconnected
}

const peerRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// A request and the end of its connection arrive together after a network partition held
// them up. The caller has sent the request to another server; started here too, it would
// run twice at once.
func TestDisconnectedCallerIsDetected(t *testing.T) {
	qt.Assert(t, peerDisconnected(t, func(addr string) {
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprint(c, peerRequest)
		c.Close()
	}), qt.IsTrue)
}

func TestWaitingCallerIsNotReportedDisconnected(t *testing.T) {
	for _, then := range []string{"", peerRequest} { // a second request may follow immediately
		var c net.Conn
		qt.Assert(t, peerDisconnected(t, func(addr string) {
			var err error
			c, err = net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			fmt.Fprint(c, peerRequest+then)
		}), qt.IsFalse)
		c.Close()
	}
}

// The idle time of a connection counts from its last response and not from its start.
// Otherwise a request on a long-lived busy connection would be treated as one that a
// partition held up.
func TestPeerIdleTimeCountsFromLastAnswer(t *testing.T) {
	var quiet []time.Duration
	var calls []time.Time
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		quiet = append(quiet, peerIdleTime(r))
		calls = append(calls, time.Now())
		w.WriteHeader(http.StatusOK)
	}), nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	go s.Serve()
	c, err := net.Dial("tcp", s.Addr())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	responses := bufio.NewReader(c)
	for range 2 {
		fmt.Fprint(c, peerRequest)
		res, err := http.ReadResponse(responses, nil)
		qt.Assert(t, err, qt.IsNil)
		res.Body.Close()
	}
	qt.Assert(t, quiet, qt.HasLen, 2)
	qt.Check(t, quiet[0] > 0, qt.IsTrue)
	between := calls[1].Sub(calls[0])
	qt.Check(t, quiet[1] > 0 && quiet[1] <= between, qt.IsTrue, qt.Commentf("%v of %v", quiet[1], between))
}
