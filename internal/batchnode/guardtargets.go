package batchnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wigeontray/internal/pause"
	"wigeontray/internal/runs"
)

// A guard links to a subset of the entries: those that rank first for it by rendezvous hashing. The
// links of a guard, and with as many entries for each guard those of an entry, then stay the same in a
// growing fleet. Up to entriesPerGuard entries, and for a service with few guards, the subset is all
// entries.

const (
	// entriesPerGuard is the number of entries that a guard links to. A guard that loses half of
	// its entries still has more than it can work for at once.
	entriesPerGuard = 64
	// retireCheckInterval is how often a link outside of the subset is checked for runs, and how
	// long it is kept at least: tasks may be on their way to the guard.
	retireCheckInterval = time.Second
	// lookupInterval is the delay between two lookups of entries in the store by a guard
	// without a link; firstLookupInterval is the delay after the first lookup.
	lookupInterval      = 2 * time.Second
	firstLookupInterval = 200 * time.Millisecond
)

// target is an entry that a guard links to.
type target struct {
	cancel     context.CancelFunc // stops dialing and closes the link
	isRetiring bool               // not in the subset any more; the link closes when the entry has no run here
}

// AddEntries adds addresses to the known entries, and starts to maintain links to those of the
// subset. It has no effect before Run and after its context has ended.
func (g *Guard) AddEntries(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addEntriesLocked(addresses)
}

func (g *Guard) addEntriesLocked(addresses []string) {
	if g.ctx == nil || g.ctx.Err() != nil {
		return
	}
	g.known = g.known.with(addresses)
	g.updateTargets()
}

// updateTargets starts to link to the entries of the subset, and retires the links to others. mu must
// be held.
func (g *Guard) updateTargets() {
	subset := g.known.subsetFor(g.id)
	if g.linksToAll() {
		subset = g.known.addresses
	}
	wanted := make(map[string]bool, len(subset))
	for _, i := range rand.Perm(len(subset)) {
		address := subset[i]
		wanted[address] = true
		switch t := g.targets[address]; {
		case t == nil:
			g.startTarget(address)
		case t.isRetiring:
			g.setRetiring(address, t, false)
		}
	}
	for address, t := range g.targets {
		if !wanted[address] && !t.isRetiring {
			g.setRetiring(address, t, true)
			g.checkRetiredLater(address, t)
		}
	}
}

// linksToAll reports whether an announcer asks for links to all entries. mu must be held.
func (g *Guard) linksToAll() bool {
	announcers := g.known.announcersFor(g.id)
	for _, l := range g.links {
		if l.linkAll && slices.Contains(announcers, l.address) {
			return true
		}
	}
	return false
}

func (g *Guard) startTarget(address string) {
	ctx, cancel := context.WithCancel(g.ctx)
	t := &target{cancel: cancel}
	g.targets[address] = t
	g.goroutines.Go(func() {
		g.maintainLink(ctx, address)
		g.endTarget(address, t)
	})
}

// endTarget allows the address to become a target again.
func (g *Guard) endTarget(address string, t *target) {
	t.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targets[address] == t {
		delete(g.targets, address)
	}
}

// isRetiring reports whether the address is not in the subset any more. mu must be held.
func (g *Guard) isRetiring(address string) bool {
	t := g.targets[address]
	return t != nil && t.isRetiring
}

// setRetiring sets whether a link is being retired. Its entry then sends no more tasks. mu must be
// held.
func (g *Guard) setRetiring(address string, t *target, isRetiring bool) {
	t.isRetiring = isRetiring
	if l := g.linkTo(address); l != nil {
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.SetRetiring(now, l.entry, isRetiring) })
	}
}

// linkTo returns the link to an address, or nil. mu must be held.
func (g *Guard) linkTo(address string) *guardLink {
	for _, l := range g.links {
		if l.address == address {
			return l
		}
	}
	return nil
}

// checkRetiredLater closes a retiring link after retireCheckInterval, or later if its entry has runs.
func (g *Guard) checkRetiredLater(address string, t *target) {
	time.AfterFunc(retireCheckInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		l := g.linkTo(address)
		switch {
		case g.targets[address] != t || !t.isRetiring:
		case l != nil && g.machine.HasRunsOf(l.entry):
			g.checkRetiredLater(address, t)
		default:
			t.cancel()
			delete(g.targets, address)
		}
	})
}

// forgetEntry removes an address that could not be reached, and looks entries up in the store: this
// one may only have been partitioned from the guard, and its announcers announce an address only once.
func (g *Guard) forgetEntry(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = g.known.without(address)
	delete(g.targets, address)
	if g.ctx.Err() != nil {
		return
	}
	g.updateTargets()
	g.goroutines.Go(func() { g.rediscoverEntries(g.ctx) })
}

func (g *Guard) rediscoverEntries(ctx context.Context) {
	pause.For(ctx, pause.Jitter(lookupInterval))
	g.lookUpEntries(ctx)
}

// lookUpEntries adds the entries that are registered in the store.
func (g *Guard) lookUpEntries(ctx context.Context) {
	found, err := g.opt.Lookup(ctx)
	if err != nil {
		g.opt.Log.Warn("entry lookup in the store failed", "err", err)
	}
	g.AddEntries(found)
}

// discoverEntries looks up entries in the store while there is no link, until ctx ends. The
// first lookup is immediate: the configured entries are a few of many, and after a power loss
// of all VMs they may be the last to restart. Until then the worker would be idle, while the
// entries that have restarted have no worker.
func (g *Guard) discoverEntries(ctx context.Context) {
	interval := firstLookupInterval
	for ctx.Err() == nil {
		if g.linkCount() == 0 {
			g.lookUpEntries(ctx)
		}
		pause.For(ctx, pause.Jitter(interval))
		interval = lookupInterval
	}
}
