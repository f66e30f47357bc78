package replay

import (
	"time"

	"wigeontray/internal/wire"
)

// Timing of links.
const (
	// linkTimeout is when a silent peer's link is closed. Package wire notices a
	// peer that was given work much sooner, within wire.NoticeWithin; the stated
	// outcomes of the traces are those of this longer time.
	linkTimeout = 20 * time.Second
	redialEvery = 100 * time.Millisecond
)

// link joins an entry and a guard. Frames arrive in order, after a delay, and
// are lost when the link breaks.
type link struct {
	w       *world
	entry   *entry
	guard   *guard
	delay   time.Duration
	up      bool
	session int
	cut     bool
	cuts    int
	held    []func() // frames that wait for the end of a cut
}

// carry delivers after the link's delay, unless the link breaks first.
func (l *link) carry(to *process, deliver func()) {
	if !l.up {
		return
	}
	session := l.session
	arrive := func() {
		if l.session == session {
			to.do(deliver)
		}
	}
	if l.cut {
		l.held = append(l.held, arrive)
		return
	}
	l.w.clock.after(l.delay, func() {
		if l.cut {
			l.held = append(l.held, arrive)
			return
		}
		arrive()
	})
}

// toEntry and toGuard send one frame.
func (l *link) toEntry(f *wire.Frame) {
	l.w.count(f)
	from := l.guard.incarnation
	l.carry(&l.entry.process, func() { l.entry.receive(from, f) })
}

func (l *link) toGuard(f *wire.Frame) {
	l.w.count(f)
	from := l.entry.incarnation
	l.carry(&l.guard.process, func() { l.guard.receive(from, f) })
}

// dial opens the link as soon as both ends live and can reach each other.
func (l *link) dial() {
	if l.up {
		return
	}
	if !l.reachable() {
		l.w.clock.after(redialEvery, l.dial)
		return
	}
	l.up, l.session = true, l.session+1
	hello := l.guard.hello()
	l.carry(&l.entry.process, func() { l.entry.guardUp(hello) })
	l.guard.linkUp(l.entry.incarnation)
}

func (l *link) reachable() bool {
	e, g := &l.entry.process, &l.guard.process
	return e.alive && g.alive && !e.paused && !g.paused && !l.cut
}

// snap ends the link at both ends, with what is on it.
func (l *link) snap() {
	if !l.up {
		return
	}
	l.up, l.held = false, nil
	l.session++
	g, e := l.guard.incarnation, l.entry.incarnation
	l.entry.do(func() { l.entry.guardDown(g) })
	l.guard.do(func() { l.guard.linkDown(e) })
	l.w.clock.after(redialEvery, l.dial)
}

func (l *link) setCut(cut bool) {
	if l.cut == cut {
		return
	}
	l.cut = cut
	l.cuts++
	if cut {
		n := l.cuts
		l.w.clock.after(linkTimeout, func() {
			if l.cut && l.cuts == n {
				l.snap()
			}
		})
		return
	}
	held := l.held
	l.held = nil
	for _, arrive := range held {
		l.w.clock.after(l.delay, arrive)
	}
}
