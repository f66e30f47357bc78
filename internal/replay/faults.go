package replay

import "fmt"

// apply carries out one event of the trace.
func (w *world) apply(ev *Event) error {
	switch ev.Op {
	case OpSubmit, OpResubmit:
		w.submit(ev)
		return nil
	case OpCancel:
		w.cancel(ev)
		return nil
	case OpStoreDown, OpStoreUp, OpConfigure:
		w.storeEvent(ev)
		return nil
	case OpCut, OpHeal, OpReset:
		return w.linkEvent(ev)
	}
	if e := w.entryNamed(ev.Target); e != nil {
		return e.apply(ev)
	}
	if g := w.guardNamed(ev.Target); g != nil {
		return g.apply(ev)
	}
	return fmt.Errorf("%s: no process %q", ev.Op, ev.Target)
}

func (w *world) entryNamed(name string) *entry {
	for _, e := range w.entries {
		if e.def.Name == name {
			return e
		}
	}
	return nil
}

func (w *world) guardNamed(name string) *guard {
	for _, g := range w.guards {
		if g.def.Name == name {
			return g
		}
	}
	return nil
}

func (w *world) cancel(ev *Event) {
	e, j := w.entryNamed(ev.Other), w.jobs[ev.Target]
	if e == nil || j == nil {
		return
	}
	w.clock.after(w.trace.Delays.Client, e.later(func() { e.cancel(j) }))
}

func (e *entry) apply(ev *Event) error {
	switch ev.Op {
	case OpKill:
		e.kill()
		e.w.loseCalls(e)
		e.w.snapLinks(func(l *link) bool { return l.entry == e })
	case OpRestart:
		e.boot()
	case OpPause:
		e.pauseFor(e.w, func(l *link) bool { return l.entry == e })
		e.stoodAt = e.w.clock.now
	case OpResume:
		e.stood += e.w.clock.now.Sub(e.stoodAt)
		e.resume()
	case OpDrain:
		e.draining = true
	default:
		return fmt.Errorf("%s does not apply to entry %s", ev.Op, ev.Target)
	}
	return nil
}

func (g *guard) apply(ev *Event) error {
	now := g.w.clock.now
	switch ev.Op {
	case OpKill:
		g.kill()
		g.w.snapLinks(func(l *link) bool { return l.guard == g })
	case OpRestart:
		g.boot()
	case OpPause:
		g.pauseFor(g.w, func(l *link) bool { return l.guard == g })
	case OpResume:
		g.resume()
	case OpDrain:
		g.do(func() { g.ledger.Drain(now, "planned stop"); g.flush() })
	case OpUnhealthy, OpHealthy:
		g.do(func() { g.ledger.Health(now, ev.Op == OpHealthy); g.flush() })
	case OpFailing:
		g.failing, g.since = true, now
		if g.w.tally.failFrom.IsZero() {
			g.w.tally.failFrom = now
		}
	case OpWorking:
		g.failing, g.factor = false, 1
	case OpWarm:
		g.factor = 1
	case OpSlow:
		g.factor = ev.Factor
	default:
		return fmt.Errorf("%s does not apply to worker %s", ev.Op, ev.Target)
	}
	return nil
}

// pauseFor stops the process. Its peers close the links when it stays silent
// for linkTimeout.
func (p *process) pauseFor(w *world, own func(*link) bool) {
	p.paused = true
	p.pauses++
	n := p.pauses
	w.clock.after(linkTimeout, func() {
		if p.paused && p.pauses == n {
			w.snapLinks(own)
		}
	})
}

func (w *world) snapLinks(which func(*link) bool) {
	for _, l := range w.links {
		if which(l) {
			l.snap()
		}
	}
}

// linkEvent cuts, heals or resets the links between two processes; a failure
// domain's name stands for all its processes, and "*" for all.
func (w *world) linkEvent(ev *Event) error {
	found := false
	for _, l := range w.links {
		if !l.joins(ev.Target, ev.Other) {
			continue
		}
		found = true
		switch ev.Op {
		case OpReset:
			l.snap()
		default:
			l.setCut(ev.Op == OpCut)
		}
	}
	if !found {
		return fmt.Errorf("%s: no link between %q and %q", ev.Op, ev.Target, ev.Other)
	}
	return nil
}

func (l *link) joins(a, b string) bool {
	return l.entryIs(a) && l.guardIs(b) || l.entryIs(b) && l.guardIs(a)
}

func (l *link) entryIs(name string) bool {
	return name == "*" || name == l.entry.def.Name || name == l.entry.def.Domain
}

func (l *link) guardIs(name string) bool {
	return name == "*" || name == l.guard.def.Name || name == l.guard.def.Domain
}

// storeEvent models the platform's store. An amendment during an outage is
// repeated by its operator until the store takes it.
func (w *world) storeEvent(ev *Event) {
	switch ev.Op {
	case OpStoreDown:
		w.storeDown = true
	case OpConfigure:
		w.pending = append(w.pending, ev.Policy)
	case OpStoreUp:
		w.storeDown = false
	}
	if w.storeDown {
		return
	}
	for _, p := range w.pending {
		w.policy = *p
		for _, e := range w.entries {
			e.do(func() { e.configure(*p) })
		}
	}
	w.pending = nil
}
