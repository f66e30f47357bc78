package wire

import (
	"sync"
	"time"
)

// Timing of the check that a peer lives.
const (
	// PingEvery is the time of silence after which the end that dialed pings.
	PingEvery = 30 * time.Second
	// silenceLimit is the time of silence after which the end that accepted
	// closes the link. It leaves room for one ping of the other end.
	silenceLimit = 45 * time.Second
	// answerWithin is how long something sent may stay without anything
	// received before this end pings.
	answerWithin = time.Second
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 2 * time.Second
	// NoticeWithin is when a dead peer is noticed after something was sent to it.
	NoticeWithin = answerWithin + pingTimeout
)

// verdict is what a check of the peer asks for.
type verdict int

const (
	wait verdict = iota
	ping
	dead
)

// liveness decides when a peer is pinged and when it counts as dead. A peer
// whose host froze or lost its network sends no end of the connection, and TCP
// gives up on it only after many minutes. All that time it would be given work,
// and callers would see their jobs time out.
//
// An idle link is pinged by the end that dialed only, which is enough for both:
// the other end sees the ping. A peer that was sent something is pinged much
// sooner, by either end, since what was sent may be work.
//
// One timer serves both, and no goroutine waits for it. A busy link moves it at
// most once a second.
type liveness struct {
	dialed bool

	mu       sync.Mutex
	timer    *time.Timer
	due      time.Time     // when timer fires; in the past while a check runs
	lastIn   time.Time     // arrival of anything
	waiting  time.Time     // first frame sent that nothing followed; zero for none
	patience time.Duration // from waiting to a ping
}

func newLiveness(dialed bool) *liveness { return &liveness{dialed: dialed} }

// start calls f whenever the peer has to be checked, until stop.
func (l *liveness) start(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIn = time.Now()
	l.due = l.idleDue()
	l.timer = time.AfterFunc(time.Until(l.due), f)
}

func (l *liveness) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = time.Time{}
	l.timer.Stop()
}

// sent notes a frame for the peer.
func (l *liveness) sent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.waiting.IsZero() {
		return
	}
	l.waiting, l.patience = time.Now(), answerWithin
	if at := l.waiting.Add(answerWithin); at.Before(l.due) {
		l.due = at
		l.timer.Reset(answerWithin)
	}
}

// received notes a frame or a ping of the peer.
func (l *liveness) received() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIn, l.waiting = time.Now(), time.Time{}
}

// answered notes the answer to a ping. The end that accepted goes on waiting
// for a frame and asks again after twice the time: it may have given out a task
// of several seconds, and its peer may die in the midst of it. The end that
// dialed sends results, which call for no frame.
func (l *liveness) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIn = time.Now()
	if l.waiting.IsZero() {
		return
	}
	l.waiting = l.lastIn
	l.patience *= 2
	if l.dialed || l.patience > PingEvery {
		l.waiting = time.Time{}
	}
}

// check tells what has to be done now. After wait it has set the timer; after
// ping it has to be called again once the answer is noted.
func (l *liveness) check() verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	idle, due := l.idleDue(), l.idleDue()
	if !l.waiting.IsZero() {
		due = earlier(idle, l.waiting.Add(l.patience))
	}
	switch {
	case due.After(now):
		l.due = due
		l.timer.Reset(due.Sub(now))
		return wait
	case !l.dialed && !idle.After(now):
		return dead
	default:
		return ping
	}
}

// silentSince tells whether nothing has come since a time.
func (l *liveness) silentSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastIn.Before(t)
}

// idleDue is when a link that carries nothing has to be checked. mu is held.
func (l *liveness) idleDue() time.Time {
	if l.dialed {
		return l.lastIn.Add(PingEvery)
	}
	return l.lastIn.Add(silenceLimit)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
