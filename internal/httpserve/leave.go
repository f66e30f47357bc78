package httpserve

import (
	"net/http"
	"sync/atomic"
	"time"
)

// resendShare is the fraction of the callers' resend interval after which a request may
// already be running elsewhere as a resent copy. The rest is a margin for clock
// differences.
const resendShare = 0.75

// recheckDelay is how long a request that may have been held up waits before it starts. If
// the caller's TCP sends the end of the connection separately, it follows the request by up
// to a round trip: 2 ms between a caller and its failure domain, 6 ms between distant ones.
// Only the first request after a pause of a second pays this delay of 10 ms.
const recheckDelay = 10 * time.Millisecond

// heldUpBurst is the time within which requests that a network partition held up continue
// to arrive after the first of them, if a relay on a busy VM forwards them.
const heldUpBurst = 500 * time.Millisecond

// DisconnectCheck detects requests whose caller no longer waits for the response. A network
// partition may hold up a request for longer than its caller waits; the caller then sends
// it to another server. After the partition heals, the end of the connection may arrive
// some milliseconds after the request. If the request were started in between, its work
// would run twice at once, and two escorts would be booked.
type DisconnectCheck struct {
	heldUpAfter time.Duration // silence on a connection after which a request may have been held up
	sleep       func(time.Duration)

	// Times since processStart, in nanoseconds: the arrival of the newest request, and of
	// the newest request that followed a silence of heldUpAfter on all connections.
	newestArrival, burstStart atomic.Int64
}

// NewDisconnectCheck returns a check for callers that resend a request after the interval
// resend.
func NewDisconnectCheck(resend time.Duration) *DisconnectCheck {
	return &DisconnectCheck{heldUpAfter: time.Duration(resendShare * float64(resend)), sleep: time.Sleep}
}

// HasDisconnected records the arrival of a request and reports whether its caller has closed
// the connection. If the request may have been held up, it waits for recheckDelay and checks
// again.
func (c *DisconnectCheck) HasDisconnected(r *http.Request) bool {
	c.recordArrival(time.Since(processStart))
	if PeerDisconnected(r) {
		return true
	}
	if peerIdleTime(r) < c.heldUpAfter {
		return false
	}
	c.sleep(recheckDelay)
	return PeerDisconnected(r)
}

// recordArrival records the arrival of a request at a time since processStart.
func (c *DisconnectCheck) recordArrival(now time.Duration) {
	if now-time.Duration(c.newestArrival.Load()) >= c.heldUpAfter {
		c.burstStart.Store(int64(now))
	}
	c.newestArrival.Store(int64(now))
}

// HeldUp reports whether a request was probably held up by a network partition although its
// caller has not been seen to disconnect: it is one of the first requests after a silence
// of all connections. HasDisconnected must have been called for the request before.
func (c *DisconnectCheck) HeldUp(r *http.Request) bool {
	return peerIdleTime(r) >= c.heldUpAfter && time.Since(processStart)-time.Duration(c.burstStart.Load()) < heldUpBurst
}
