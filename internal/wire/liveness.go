package wire

import (
	"sync"
	"time"
)

// Timing of the liveness check.
const (
	// PingInterval is the idle time after which the dialing end sends a ping.
	PingInterval = 30 * time.Second
	// idleTimeout is the idle time after which the accepting end closes the link. It leaves
	// room for one ping of the dialing end.
	idleTimeout = 45 * time.Second
	// responseTimeout is the time after which an end that has sent a frame and received
	// nothing since sends a ping.
	responseTimeout = time.Second
	// pingTimeout bounds the wait for a pong.
	pingTimeout = 2 * time.Second
	// FailureDetectionTime is the time in which a failed peer is detected after a frame was
	// sent to it.
	FailureDetectionTime = responseTimeout + pingTimeout
)

// action is the result of a liveness check.
type action int

const (
	noAction action = iota
	sendPing
	peerDead
)

// liveness decides when to ping a peer and when to consider it unreachable. A peer whose
// host froze or lost its network does not close the connection, and TCP gives up only after many
// minutes. In that time the peer would be sent tasks whose jobs then time out.
//
// An idle link is pinged by the dialing end only. That suffices for both ends, since the
// accepting end sees the ping. After a frame is sent, either end pings much sooner, since
// the frame may carry a task.
//
// One timer serves both cases and no goroutine waits for it. On a busy link the timer is
// reset at most once a second.
type liveness struct {
	dialed bool

	mu            sync.Mutex
	timer         *time.Timer
	nextCheck     time.Time     // when timer fires; in the past while a check runs
	lastReceived  time.Time     // when anything was last received
	awaitingSince time.Time     // when the first frame was sent since the last receipt; zero if none
	pingDelay     time.Duration // time from awaitingSince to a ping
}

func newLiveness(dialed bool) *liveness { return &liveness{dialed: dialed} }

// start calls f whenever the peer has to be checked, until stop.
func (l *liveness) start(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	l.nextCheck = l.idleDeadline()
	l.timer = time.AfterFunc(time.Until(l.nextCheck), f)
}

func (l *liveness) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextCheck = time.Time{}
	l.timer.Stop()
}

// recordSend records that a frame was sent to the peer.
func (l *liveness) recordSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.awaitingSince.IsZero() {
		return
	}
	l.awaitingSince, l.pingDelay = time.Now(), responseTimeout
	if at := l.awaitingSince.Add(responseTimeout); at.Before(l.nextCheck) {
		l.nextCheck = at
		l.timer.Reset(responseTimeout)
	}
}

// recordReceive records the receipt of a frame or a ping.
func (l *liveness) recordReceive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived, l.awaitingSince = time.Now(), time.Time{}
}

// recordPong records the answer to a ping. The accepting end keeps waiting for a frame and
// doubles the time until its next ping: it may have sent a task that takes several seconds,
// and the peer may fail while running it. The dialing end sends results, which need no
// response.
func (l *liveness) recordPong() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	if l.awaitingSince.IsZero() {
		return
	}
	l.awaitingSince = l.lastReceived
	l.pingDelay *= 2
	if l.dialed || l.pingDelay > PingInterval {
		l.awaitingSince = time.Time{}
	}
}

// checkPeer returns what has to be done now. With noAction it has set the timer; after
// sendPing it has to be called again once the pong is recorded.
func (l *liveness) checkPeer() action {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	idleAt, nextCheck := l.idleDeadline(), l.idleDeadline()
	if !l.awaitingSince.IsZero() {
		nextCheck = earliest(idleAt, l.awaitingSince.Add(l.pingDelay))
	}
	switch {
	case nextCheck.After(now):
		l.nextCheck = nextCheck
		l.timer.Reset(nextCheck.Sub(now))
		return noAction
	case !l.dialed && !idleAt.After(now):
		return peerDead
	default:
		return sendPing
	}
}

// receivedNothingSince reports whether nothing has been received since t.
func (l *liveness) receivedNothingSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReceived.Before(t)
}

// idleDeadline returns when a link without traffic has to be checked. l.mu must be held.
func (l *liveness) idleDeadline() time.Time {
	if l.dialed {
		return l.lastReceived.Add(PingInterval)
	}
	return l.lastReceived.Add(idleTimeout)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
