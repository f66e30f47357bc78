package replay

import (
	"time"

	"wigeontray/internal/wire"
)

// Timing of links.
const (
	// linkTimeout is the time without messages after which the link to a peer is
	// closed. Package wire detects much earlier, within wire.FailureDetectionTime,
	// that a peer which was sent work does not respond. The outcomes stated in the
	// traces hold for this longer timeout.
	linkTimeout    = 20 * time.Second
	redialInterval = 100 * time.Millisecond
)

// link connects an entry and a guard. Frames arrive in order, after a delay, and
// are lost if the link breaks.
type link struct {
	sim        *simulation
	entry      *entry
	guard      *guard
	delay      time.Duration
	isUp       bool
	session    int
	isCut      bool
	cutCount   int
	heldFrames []func() // frames to deliver after the end of a cut
}

// transmit runs deliver at the receiver after the delay of the link, or after the
// end of a cut. It drops the frame if the link is down or breaks before then.
func (l *link) transmit(to *process, deliver func()) {
	if !l.isUp {
		return
	}
	session := l.session
	arrive := func() {
		if l.session == session {
			to.do(deliver)
		}
	}
	if l.isCut {
		l.heldFrames = append(l.heldFrames, arrive)
		return
	}
	l.sim.clock.after(l.delay, func() {
		if l.isCut {
			l.heldFrames = append(l.heldFrames, arrive)
			return
		}
		arrive()
	})
}

// sendToEntry sends a frame from the guard to the entry.
func (l *link) sendToEntry(f *wire.Frame) {
	l.sim.recordFrame(f)
	from := l.guard.incarnation
	l.transmit(&l.entry.process, func() { l.entry.receive(from, f) })
}

// sendToGuard sends a frame from the entry to the guard.
func (l *link) sendToGuard(f *wire.Frame) {
	l.sim.recordFrame(f)
	from := l.entry.incarnation
	l.transmit(&l.guard.process, func() { l.guard.receive(from, f) })
}

// dial opens the link, and retries every redialInterval until both processes run
// and can reach each other.
func (l *link) dial() {
	if l.isUp {
		return
	}
	if !l.isReachable() {
		l.sim.clock.after(redialInterval, l.dial)
		return
	}
	l.isUp, l.session = true, l.session+1
	hello := l.guard.hello()
	l.transmit(&l.entry.process, func() { l.entry.guardUp(hello) })
	l.guard.linkUp(l.entry.incarnation)
}

func (l *link) isReachable() bool {
	e, g := &l.entry.process, &l.guard.process
	return e.isAlive && g.isAlive && !e.isPaused && !g.isPaused && !l.isCut
}

// disconnect closes the link at both ends, drops the frames in transit and
// schedules a new dial.
func (l *link) disconnect() {
	if !l.isUp {
		return
	}
	l.isUp, l.heldFrames = false, nil
	l.session++
	g, e := l.guard.incarnation, l.entry.incarnation
	l.entry.do(func() { l.entry.guardDown(g) })
	l.guard.do(func() { l.guard.linkDown(e) })
	l.sim.clock.after(redialInterval, l.dial)
}

// setCut starts or ends a cut, during which frames are delayed. The link is
// closed if the cut lasts for linkTimeout.
func (l *link) setCut(isCut bool) {
	if l.isCut == isCut {
		return
	}
	l.isCut = isCut
	l.cutCount++
	if isCut {
		cutNumber := l.cutCount
		l.sim.clock.after(linkTimeout, func() {
			if l.isCut && l.cutCount == cutNumber {
				l.disconnect()
			}
		})
		return
	}
	heldFrames := l.heldFrames
	l.heldFrames = nil
	for _, arrive := range heldFrames {
		l.sim.clock.after(l.delay, arrive)
	}
}
