package httpserve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// askLeaveCheck sends one request and tells what a check says of its caller, who ends the
// connection while the check pauses.
func askLeaveCheck(t *testing.T, heldUpAfter time.Duration) (left, paused bool) {
	var client net.Conn
	check := &LeaveCheck{heldUpAfter: heldUpAfter, pause: func(time.Duration) {
		paused = true
		qt.Check(t, client.Close(), qt.IsNil)
	}}
	done := make(chan struct{})
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left = check.Left(r)
		close(done)
	}), nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	go s.Serve()
	client, err = net.Dial("tcp", s.Addr())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	fmt.Fprint(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-done
	return left, paused
}

// A cut of the callers' network in one direction heals. A request that it held up is read
// a moment before the end of its connection comes; its caller has sent the job to another
// entry by then, where it runs. Begun here, its tasks are at work at two workers at once.
func TestHeldUpRequestWhoseEndComesAMomentLaterIsNotBegun(t *testing.T) {
	left, _ := askLeaveCheck(t, 0)
	qt.Check(t, left, qt.IsTrue)
}

// Urgent requests on a connection in use are not delayed for the sake of one that a cut
// might have held up.
func TestRequestOnABusyConnectionDoesNotWait(t *testing.T) {
	left, paused := askLeaveCheck(t, time.Hour)
	qt.Check(t, left, qt.IsFalse)
	qt.Check(t, paused, qt.IsFalse)
}

// Guards against a request that a cut held up being taken for a new one, and against a delay of requests on one connection that was quiet while others were in use.
func TestRequestsAreHeldUpAfterASilenceOfAllConnections(t *testing.T) {
	const resend = time.Second
	c := NewLeaveCheck(resend)
	now := time.Since(started)
	request := func(quiet time.Duration) *http.Request {
		p := new(peer)
		p.answered.Store(int64(now - quiet))
		r, err := http.NewRequestWithContext(context.WithValue(t.Context(), peerKey{}, p), http.MethodPost, "/", nil)
		qt.Assert(t, err, qt.IsNil)
		return r
	}
	for _, k := range []struct {
		silence, quiet time.Duration
		heldUp         bool
	}{
		{silence: resend, quiet: resend, heldUp: true},
		{silence: resend, quiet: resend / 2}, // a new connection
		{silence: resend / 2, quiet: resend},
	} {
		c.newest.Store(int64(now - k.silence))
		c.returned.Store(int64(now - time.Hour))
		c.noteArrival(now)
		c.noteArrival(now + time.Microsecond) // the next one of the same burst
		qt.Check(t, c.HeldUp(request(k.quiet)), qt.Equals, k.heldUp, qt.Commentf("%+v", k))
	}
}
