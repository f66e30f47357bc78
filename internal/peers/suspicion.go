package peers

import (
	"context"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// ensurePeerState returns the state of an entry and creates it if necessary. The
// caller holds mu.
func (p *Peers) ensurePeerState(now time.Time, e wire.EntryAddr) *peerState {
	state := p.peerState[e.Incarnation]
	if state == nil {
		state = &peerState{addr: e, unlinkedSince: now}
		if !p.registered[e.Incarnation] {
			state.unregisteredSince = now
		}
		p.peerState[e.Incarnation] = state
	}
	return state
}

// checkPeers reports suspected and gone peers to the roster machine. The caller holds
// mu.
//
// After a pause of this process, every peer appears silent. Closing the links would
// fail each request forwarded over them, so a check that runs late restarts the
// silence timeout of all peers.
func (p *Peers) checkPeers(now time.Time) {
	last, _ := p.View().Last()
	for _, member := range last.Members {
		if member.Incarnation != p.opt.Self.Incarnation {
			p.ensurePeerState(now, member)
		}
	}
	wasPaused := now.Sub(p.lastPeerCheck) >= silenceTimeout/2
	p.lastPeerCheck = now
	for inc, state := range p.peerState {
		if l := (*p.links.Load())[inc]; l != nil && wasPaused {
			l.lastReceivedMs.Store(now.UnixMilli()) // this entry was paused, not the peer
		}
		p.dropSilentLink(now, inc, last.Has(inc))
		p.updateSuspicion(now, inc, state)
		if p.isObsolete(inc, state, last.Has(inc)) {
			delete(p.peerState, inc)
			p.machine.ClearSuspicion(now, inc) // clears the state that the roster machine holds for it
		}
	}
}

// updateSuspicion suspects a peer whose link stays down, and reports it gone if its
// registration is missing as well. Neither alone is sufficient: leases expire during
// store outages, and a broken link may leave a running entry behind.
func (p *Peers) updateSuspicion(now time.Time, inc identity.Incarnation, state *peerState) {
	if state.unlinkedSince.IsZero() || now.Sub(state.unlinkedSince) < suspectTimeout {
		return
	}
	if p.hasRegistrations && !state.unregisteredSince.IsZero() && now.Sub(state.unregisteredSince) >= registrationLossTimeout {
		p.machine.ReportGone(now, inc)
		return
	}
	p.machine.Suspect(now, inc)
}

// dropSilentLink closes the link to a member that sends nothing; see silenceTimeout.
func (p *Peers) dropSilentLink(now time.Time, inc identity.Incarnation, isMember bool) {
	l := (*p.links.Load())[inc]
	if l != nil && isMember && now.UnixMilli()-l.lastReceivedMs.Load() >= silenceTimeout.Milliseconds() {
		p.opt.count("silent_peer")
		p.dropLink(now, l)
	}
}

// isObsolete reports whether the state of an entry is no longer needed: it is neither
// linked, registered nor a member, and was declared gone.
func (p *Peers) isObsolete(inc identity.Incarnation, state *peerState, isMember bool) bool {
	return !state.unlinkedSince.IsZero() && !p.registered[inc] && !isMember && p.machine.IsDeclaredGone(inc)
}

// dialUnlinked opens links to known entries and to the seeds. Of two entries the one
// whose incarnation sorts first dials, so that they do not replace each other's
// links. The caller holds mu.
func (p *Peers) dialUnlinked(now time.Time) {
	for inc, state := range p.peerState {
		if state.unlinkedSince.IsZero() || state.isDialing || now.Before(state.nextDial) || inc < p.opt.Self.Incarnation {
			continue
		}
		state.isDialing, state.nextDial = true, now.Add(dialInterval)
		p.spawn(func(ctx context.Context) {
			p.dial(ctx, state.addr)
			p.mu.Lock()
			state.isDialing = false
			p.mu.Unlock()
		})
	}
	for _, seed := range p.opt.Seeds {
		p.dialSeed(now, seed)
	}
}

// dialSeed dials an address from the settings unless a link to it exists. An entry
// that starts while the store is down finds the others this way.
func (p *Peers) dialSeed(now time.Time, inner string) {
	if inner == p.opt.Self.Inner || now.Before(p.nextSeedDial[inner]) {
		return
	}
	for _, l := range *p.links.Load() {
		if l.addr.Inner == inner {
			return
		}
	}
	p.nextSeedDial[inner] = now.Add(dialTimeout + helloTimeout + dialInterval)
	p.spawn(func(ctx context.Context) { p.dial(ctx, wire.EntryAddr{Inner: inner}) })
}

// setRegistered replaces the set of registered entries by the one read from the
// store.
func (p *Peers) setRegistered(now time.Time, addrs []wire.EntryAddr) {
	p.hasRegistrations = true
	clear(p.registered)
	for _, e := range addrs {
		p.registered[e.Incarnation] = true
	}
	for inc, state := range p.peerState {
		switch {
		case p.registered[inc]:
			state.unregisteredSince = time.Time{}
		case state.unregisteredSince.IsZero():
			state.unregisteredSince = now
		}
	}
	for _, e := range slices.Clone(addrs) {
		if e.Incarnation != p.opt.Self.Incarnation && !p.machine.IsDeclaredGone(e.Incarnation) {
			p.ensurePeerState(now, e)
		}
	}
}
