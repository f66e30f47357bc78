package wire

import (
	"sync/atomic"
	"time"
)

// liveness is one end's part in noticing that the other is frozen or cut off.
// The end that dialled pings and closes the link if no answer comes. The end
// that accepted does not ping, as a second ping would double the idle traffic
// of an entry with a link to every guard; it closes the link once neither ping
// nor frame has come for the time in which one must have.
type liveness struct {
	dialled bool
	every   time.Duration // between pings
	answer  time.Duration // for the answer to one
	heard   atomic.Int64  // when something last came, nanoseconds since began
	began   time.Time     // carries the monotonic clock
}

func newLiveness(dialled bool, every, answer time.Duration) *liveness {
	return &liveness{dialled: dialled, every: every, answer: answer, began: time.Now()}
}

// hear notes a sign of life.
func (l *liveness) hear() { l.heard.Store(int64(time.Since(l.began))) }

// next tells when to look again.
func (l *liveness) next() time.Duration {
	if l.dialled {
		return l.every
	}
	return max(l.left(), time.Millisecond)
}

// silent tells whether the peer missed its ping.
func (l *liveness) silent() bool { return !l.dialled && l.left() <= 0 }

// left is the time until the peer has been silent for too long.
func (l *liveness) left() time.Duration {
	return time.Duration(l.heard.Load()) + l.every + l.answer - time.Since(l.began)
}
