package httpserve

import (
	"net/http"
	"sync/atomic"
	"time"
)

// resendShare is the part of the time until callers send a request again after which it may
// stand beside its successor at another server. The rest is for clocks that differ.
const resendShare = 0.75

// lookAgain is how long a request that may have been held up waits before it is begun. The
// end of its connection follows it by a round trip, if the caller's TCP sends the two
// apart: 2 ms between a caller and its failure domain, 6 ms between distant ones. It costs
// the first request after a pause of a second 10 ms, and no other request.
const lookAgain = 10 * time.Millisecond

// returnTime is for how long requests that a cut has held up go on to arrive after the first
// one, where a relay on a busy VM passes them on.
const returnTime = 500 * time.Millisecond

// LeaveCheck finds the requests for whose answer nobody waits any more. A cut may hold up
// a request for longer than its caller waits; the caller then sends it to another server.
// When the cut heals, the end of the connection may arrive some milliseconds after the
// request: begun in between, its work would be done twice at once, and two escorts booked.
type LeaveCheck struct {
	heldUpAfter time.Duration // silence of a connection after which a request may be such
	pause       func(time.Duration)

	// Times since started, in nanoseconds: when the newest request came, and when the newest
	// one came that none had come before for heldUpAfter.
	newest, returned atomic.Int64
}

// NewLeaveCheck is for callers that wait for resend before they send a request again.
func NewLeaveCheck(resend time.Duration) *LeaveCheck {
	return &LeaveCheck{heldUpAfter: time.Duration(resendShare * float64(resend)), pause: time.Sleep}
}

// Left tells whether the caller of a request has ended its connection. It waits for
// lookAgain if the request may have been held up.
func (c *LeaveCheck) Left(r *http.Request) bool {
	c.noteArrival(time.Since(started))
	if PeerLeft(r) {
		return true
	}
	if peerQuiet(r) < c.heldUpAfter {
		return false
	}
	c.pause(lookAgain)
	return PeerLeft(r)
}

// noteArrival notes that a request came at a time since started.
func (c *LeaveCheck) noteArrival(now time.Duration) {
	if now-time.Duration(c.newest.Load()) >= c.heldUpAfter {
		c.returned.Store(int64(now))
	}
	c.newest.Store(int64(now))
}

// HeldUp tells whether a cut has probably held up a request whose caller has not been seen to
// leave: it is one of the first after a silence of all connections.
func (c *LeaveCheck) HeldUp(r *http.Request) bool {
	return peerQuiet(r) >= c.heldUpAfter && time.Since(started)-time.Duration(c.returned.Load()) < returnTime
}
