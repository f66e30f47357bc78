package replay

import "fmt"

// apply performs one event of the trace.
func (sim *simulation) apply(ev *Event) error {
	switch ev.Op {
	case OpSubmit, OpResubmit:
		sim.submit(ev)
		return nil
	case OpCancel:
		sim.cancel(ev)
		return nil
	case OpStoreDown, OpStoreUp, OpConfigure:
		sim.applyStoreEvent(ev)
		return nil
	case OpCut, OpHeal, OpReset:
		return sim.applyLinkEvent(ev)
	}
	if e := sim.findEntry(ev.Target); e != nil {
		return e.apply(ev)
	}
	if g := sim.findGuard(ev.Target); g != nil {
		return g.apply(ev)
	}
	return fmt.Errorf("%s: unknown process %q", ev.Op, ev.Target)
}

func (sim *simulation) findEntry(name string) *entry {
	for _, e := range sim.entries {
		if e.config.Name == name {
			return e
		}
	}
	return nil
}

func (sim *simulation) findGuard(name string) *guard {
	for _, g := range sim.guards {
		if g.config.Name == name {
			return g
		}
	}
	return nil
}

func (sim *simulation) cancel(ev *Event) {
	e, j := sim.findEntry(ev.Other), sim.jobs[ev.Target]
	if e == nil || j == nil {
		return
	}
	sim.clock.after(sim.trace.Delays.Client, e.inGeneration(func() { e.cancel(j) }))
}

func (e *entry) apply(ev *Event) error {
	switch ev.Op {
	case OpKill:
		e.kill()
		e.sim.dropCalls(e)
		e.sim.disconnectLinks(func(l *link) bool { return l.entry == e })
	case OpRestart:
		e.boot()
	case OpPause:
		e.pause(e.sim, func(l *link) bool { return l.entry == e })
		e.pausedAt = e.sim.clock.now
	case OpResume:
		e.pausedTime += e.sim.clock.now.Sub(e.pausedAt)
		e.resume()
	case OpDrain:
		e.isDraining = true
	default:
		return fmt.Errorf("%s does not apply to entry %s", ev.Op, ev.Target)
	}
	return nil
}

func (g *guard) apply(ev *Event) error {
	now := g.sim.clock.now
	switch ev.Op {
	case OpKill:
		g.kill()
		g.sim.disconnectLinks(func(l *link) bool { return l.guard == g })
	case OpRestart:
		g.boot()
	case OpPause:
		g.pause(g.sim, func(l *link) bool { return l.guard == g })
	case OpResume:
		g.resume()
	case OpDrain:
		g.do(func() { g.ledger.Drain(now, "planned stop"); g.applyActions() })
	case OpUnhealthy, OpHealthy:
		g.do(func() { g.ledger.SetHealthy(now, ev.Op == OpHealthy); g.applyActions() })
	case OpFailing:
		g.isFailing, g.failingSince = true, now
		if g.sim.counters.firstFailureAt.IsZero() {
			g.sim.counters.firstFailureAt = now
		}
	case OpWorking:
		g.isFailing, g.runTimeFactor = false, 1
	case OpWarm:
		g.runTimeFactor = 1
	case OpSlow:
		g.runTimeFactor = ev.SlowFactor
	default:
		return fmt.Errorf("%s does not apply to worker %s", ev.Op, ev.Target)
	}
	return nil
}

// pause suspends the process. Its links are closed if it is still suspended
// after linkTimeout, as its peers then receive nothing from it.
func (p *process) pause(sim *simulation, matches func(*link) bool) {
	p.isPaused = true
	p.pauseCount++
	pauseNumber := p.pauseCount
	sim.clock.after(linkTimeout, func() {
		if p.isPaused && p.pauseCount == pauseNumber {
			sim.disconnectLinks(matches)
		}
	})
}

func (sim *simulation) disconnectLinks(matches func(*link) bool) {
	for _, l := range sim.links {
		if matches(l) {
			l.disconnect()
		}
	}
}

// applyLinkEvent cuts, heals or resets the links between two processes. The name
// of a failure domain selects all its processes, and "*" all processes.
func (sim *simulation) applyLinkEvent(ev *Event) error {
	found := false
	for _, l := range sim.links {
		if !l.connects(ev.Target, ev.Other) {
			continue
		}
		found = true
		switch ev.Op {
		case OpReset:
			l.disconnect()
		default:
			l.setCut(ev.Op == OpCut)
		}
	}
	if !found {
		return fmt.Errorf("%s: no link between %q and %q", ev.Op, ev.Target, ev.Other)
	}
	return nil
}

func (l *link) connects(a, b string) bool {
	return l.matchesEntry(a) && l.matchesGuard(b) || l.matchesEntry(b) && l.matchesGuard(a)
}

func (l *link) matchesEntry(name string) bool {
	return name == "*" || name == l.entry.config.Name || name == l.entry.config.Domain
}

func (l *link) matchesGuard(name string) bool {
	return name == "*" || name == l.guard.config.Name || name == l.guard.config.Domain
}

// applyStoreEvent simulates the configuration store of the platform. An update
// during an outage takes effect at its end, as operators retry it until the
// store accepts it.
func (sim *simulation) applyStoreEvent(ev *Event) {
	switch ev.Op {
	case OpStoreDown:
		sim.isStoreDown = true
	case OpConfigure:
		sim.pendingPolicies = append(sim.pendingPolicies, ev.Policy)
	case OpStoreUp:
		sim.isStoreDown = false
	}
	if sim.isStoreDown {
		return
	}
	for _, p := range sim.pendingPolicies {
		sim.policy = *p
		for _, e := range sim.entries {
			e.do(func() { e.configure(*p) })
		}
	}
	sim.pendingPolicies = nil
}
