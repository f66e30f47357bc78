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

// runDisconnectCheck sends one request and returns what a DisconnectCheck reports for it. The
// caller closes the connection when the check pauses.
func runDisconnectCheck(t *testing.T, heldUpAfter time.Duration) (disconnected, paused bool) {
	var client net.Conn
	check := &DisconnectCheck{heldUpAfter: heldUpAfter, sleep: func(time.Duration) {
		paused = true
		qt.Check(t, client.Close(), qt.IsNil)
	}}
	done := make(chan struct{})
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		disconnected = check.HasDisconnected(r)
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
	return disconnected, paused
}

// Guards against tasks running on two workers at once after a one-way partition between callers and
// an entry heals. A request that it held up is read just before the end of its connection
// arrives, when the caller has already sent the job to another entry, where it runs.
func TestHeldUpRequestIsRecheckedForDisconnect(t *testing.T) {
	disconnected, _ := runDisconnectCheck(t, 0)
	qt.Check(t, disconnected, qt.IsTrue)
}

// Requests on a connection in use must not be delayed by the check for requests that a
// partition held up.
func TestRequestOnABusyConnectionIsNotDelayed(t *testing.T) {
	disconnected, paused := runDisconnectCheck(t, time.Hour)
	qt.Check(t, disconnected, qt.IsFalse)
	qt.Check(t, paused, qt.IsFalse)
}

// A request that a partition held up must not be treated as a new one, and a request on a
// connection that was idle while others were in use must not be delayed.
func TestHeldUpRequiresSilenceOnAllConnections(t *testing.T) {
	const resend = time.Second
	c := NewDisconnectCheck(resend)
	now := time.Since(processStart)
	request := func(quiet time.Duration) *http.Request {
		p := new(peer)
		p.lastAnswer.Store(int64(now - quiet))
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
		c.newestArrival.Store(int64(now - k.silence))
		c.burstStart.Store(int64(now - time.Hour))
		c.recordArrival(now)
		c.recordArrival(now + time.Microsecond) // the next request of the same burst
		qt.Check(t, c.HeldUp(request(k.quiet)), qt.Equals, k.heldUp, qt.Commentf("%+v", k))
	}
}
