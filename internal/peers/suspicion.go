package peers

import (
	"context"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// note finds or makes what is kept of an entry. The caller holds mu.
func (p *Peers) note(now time.Time, e wire.EntryAddr) *known {
	k := p.known[e.Incarnation]
	if k == nil {
		k = &known{addr: e, downSince: now}
		if !p.entries[e.Incarnation] {
			k.absentSince = now
		}
		p.known[e.Incarnation] = k
	}
	return k
}

// judge tells the roster whom to suspect and who is gone. The caller holds mu.
//
// An entry that was itself paused finds every peer silent. Were it to close the
// links, each request that it had passed on would fail on its return; so a late
// judgement gives the peers their time anew.
func (p *Peers) judge(now time.Time) {
	last, _ := p.View().Last()
	for _, e := range last.Members {
		if e.Incarnation != p.opt.Self.Incarnation {
			p.note(now, e)
		}
	}
	paused := now.Sub(p.judged) >= silentAfter/2
	p.judged = now
	for inc, k := range p.known {
		if l := (*p.links.Load())[inc]; l != nil && paused {
			l.lastMs.Store(now.UnixMilli()) // the silence was this entry's own
		}
		p.closeSilent(now, inc, last.Has(inc))
		p.judgeOne(now, inc, k)
		if p.forgettable(inc, k, last.Has(inc)) {
			delete(p.known, inc)
			p.machine.Trust(now, inc) // nothing is left to suspect
		}
	}
}

// judgeOne suspects a peer whose link stays down, and declares it gone when its
// registration is missing, too. Either alone is not enough: a lease lapses while
// the store is in trouble, and a cut link leaves a living entry.
func (p *Peers) judgeOne(now time.Time, inc identity.Incarnation, k *known) {
	if k.downSince.IsZero() || now.Sub(k.downSince) < suspectAfter {
		return
	}
	if p.listed && !k.absentSince.IsZero() && now.Sub(k.absentSince) >= absentAfter {
		p.machine.Gone(now, inc)
		return
	}
	p.machine.Suspect(now, inc)
}

// closeSilent ends the link to a member that sends nothing; see silentAfter.
func (p *Peers) closeSilent(now time.Time, inc identity.Incarnation, member bool) {
	l := (*p.links.Load())[inc]
	if l != nil && member && now.UnixMilli()-l.lastMs.Load() >= silentAfter.Milliseconds() {
		p.opt.count("silent_peer")
		p.drop(now, l)
	}
}

// forgettable tells whether an entry plays no part any more.
func (p *Peers) forgettable(inc identity.Incarnation, k *known, member bool) bool {
	return !k.downSince.IsZero() && !p.entries[inc] && !member && p.machine.DeclaredGone(inc)
}

// dialMissing opens links to known peers. Of two entries the one whose
// incarnation sorts first dials, so that they do not replace each other's links.
// The caller holds mu.
func (p *Peers) dialMissing(now time.Time) {
	for inc, k := range p.known {
		if k.downSince.IsZero() || k.dialing || now.Before(k.nextDial) || inc < p.opt.Self.Incarnation {
			continue
		}
		k.dialing, k.nextDial = true, now.Add(dialEvery)
		p.spawn(func(ctx context.Context) {
			p.dial(ctx, k.addr)
			p.mu.Lock()
			k.dialing = false
			p.mu.Unlock()
		})
	}
	for _, seed := range p.opt.Seeds {
		p.dialSeed(now, seed)
	}
}

// dialSeed dials an address of the settings if no link leads there. An entry
// that starts while the store is down finds the others this way.
func (p *Peers) dialSeed(now time.Time, inner string) {
	if inner == p.opt.Self.Inner || now.Before(p.seeds[inner]) {
		return
	}
	for _, l := range *p.links.Load() {
		if l.addr.Inner == inner {
			return
		}
	}
	p.seeds[inner] = now.Add(dialTimeout + helloTimeout + dialEvery)
	p.spawn(func(ctx context.Context) { p.dial(ctx, wire.EntryAddr{Inner: inner}) })
}

// setEntries takes the store's list of registered entries.
func (p *Peers) setEntries(now time.Time, addrs []wire.EntryAddr) {
	p.listed = true
	clear(p.entries)
	for _, e := range addrs {
		p.entries[e.Incarnation] = true
	}
	for inc, k := range p.known {
		switch {
		case p.entries[inc]:
			k.absentSince = time.Time{}
		case k.absentSince.IsZero():
			k.absentSince = now
		}
	}
	for _, e := range slices.Clone(addrs) {
		if e.Incarnation != p.opt.Self.Incarnation && !p.machine.DeclaredGone(e.Incarnation) {
			p.note(now, e)
		}
	}
}
