package peers

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/recovery"
	"wigeontray/internal/roster"
	"wigeontray/internal/wire"
)

// Peers connects one entry with the other entries of its region.
type Peers struct {
	opt Options

	// links is read by request handlers. The map is replaced on change and never
	// modified.
	links atomic.Pointer[map[identity.Incarnation]*peerLink]
	// maxAllowedBirthMs is the greatest birth that MayStart has permitted.
	maxAllowedBirthMs atomic.Int64
	hooks             hookQueue
	activeForwards    atomic.Int64

	mu                    sync.Mutex // guards the fields below
	ctx                   context.Context
	machine               *roster.Machine
	recovery              *recovery.Machine
	announcer             *recovery.Announcer
	peerState             map[identity.Incarnation]*peerState
	registered            map[identity.Incarnation]bool // entries registered in the store
	hasRegistrations      bool                          // registered has been read from the store
	recoveryWaiters       map[recovery.Job][]chan recovery.Finding
	nextSeedDial          map[string]time.Time // earliest next dial, by address of Options.Seeds
	lastPeerCheck         time.Time            // last run of checkPeers
	lastPropagatedVersion int64                // last version passed to recovery and announcer
	isReadingRoster       bool
	isFenced              bool
	isStopped             bool // no goroutine may be added to wg
	wg                    sync.WaitGroup
}

// peerState is what this entry stores about another entry.
type peerState struct {
	addr              wire.EntryAddr
	unlinkedSince     time.Time // zero while linked
	unregisteredSince time.Time // zero while registered in the store
	isDialing         bool
	nextDial          time.Time
}

// New returns a Peers. It does nothing until Run is called.
func New(opt Options) *Peers {
	p := &Peers{
		opt:             opt.withDefaults(),
		ctx:             context.Background(),
		machine:         roster.NewMachine(opt.Self, opt.Roster),
		recovery:        recovery.NewMachine(opt.Self.Incarnation, opt.Recovery),
		announcer:       recovery.NewAnnouncer(),
		peerState:       make(map[identity.Incarnation]*peerState),
		nextSeedDial:    make(map[string]time.Time),
		registered:      make(map[identity.Incarnation]bool),
		recoveryWaiters: make(map[recovery.Job][]chan recovery.Finding),
	}
	p.hooks.notify = make(chan struct{}, 1)
	p.links.Store(&map[identity.Incarnation]*peerLink{})
	return p
}

// Run registers this entry, watches the store, dials peers and drives the roster
// until ctx ends. It returns after all of its goroutines have ended.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for _, f := range []func(context.Context){p.hooks.run, p.keepRegistered, p.watchEntries, p.watchRoster} {
		p.wg.Go(func() { f(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		p.update(p.tick)
		select {
		case <-tick.C:
		case <-ctx.Done():
			p.stop()
			return
		}
	}
}

// stop closes the links and waits for all goroutines.
func (p *Peers) stop() {
	p.mu.Lock()
	p.isStopped = true
	p.mu.Unlock()
	for _, l := range *p.links.Load() {
		l.link.Close("stopping")
	}
	p.wg.Wait()
}

// spawn runs f in a goroutine that Run waits for. The caller holds mu.
func (p *Peers) spawn(f func(ctx context.Context)) {
	if !p.isStopped {
		ctx := p.ctx // read under mu: a link may be accepted just before Run sets it
		p.wg.Go(func() { f(ctx) })
	}
}

// update applies a change under the lock and executes the resulting actions.
func (p *Peers) update(change func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	change(now)
	p.runActions(now)
}

// tick performs the periodic work. The caller holds mu.
func (p *Peers) tick(now time.Time) {
	p.checkPeers(now)
	p.dialUnlinked(now)
	p.machine.Tick(now)
	p.recovery.Tick(now)
	p.requestNewerConfig(now)
}

// View returns the latest roster view. It takes no lock.
func (p *Peers) View() *roster.View { return p.machine.View() }

// MayStart returns nil if this entry may start key for member. That permission is
// permanent. MayStart must be called before a job is admitted: the births that it has
// permitted determine the birth from which on a peer is a witness. It takes no lock,
// and allocates nothing if it permits the start.
func (p *Peers) MayStart(member string, key identity.Key) *errkind.Error {
	if err := p.machine.View().MayStart(member, key); err != nil {
		return err
	}
	if key.Home != "" && key.BirthMs > time.Now().Add(maxTicketSkew).UnixMilli() {
		return errkind.New(errkind.BadRequest, "the ticket's birth lies in the future")
	}
	for {
		maxMs := p.maxAllowedBirthMs.Load()
		if key.BirthMs <= maxMs || p.maxAllowedBirthMs.CompareAndSwap(maxMs, key.BirthMs) {
			return nil
		}
	}
}

// admittedBeforeMs returns a time above every birth that MayStart has permitted.
func (p *Peers) admittedBeforeMs() int64 { return p.maxAllowedBirthMs.Load() + 1 }

// Peer is a linked entry.
type Peer struct {
	Addr     wire.EntryAddr
	IsMember bool // whether the entry belongs to the last roster version
}

// Peers returns the linked entries, sorted by incarnation.
func (p *Peers) Peers() []Peer {
	last, _ := p.View().Last()
	var out []Peer
	links := *p.links.Load()
	for _, inc := range slices.Sorted(maps.Keys(links)) {
		out = append(out, Peer{Addr: links[inc].addr, IsMember: last.Has(inc)})
	}
	return out
}

// Entries returns the entries that guards should link to: this entry, the linked ones
// and those registered in the store.
func (p *Peers) Entries() []wire.EntryAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []wire.EntryAddr{p.opt.Self}
	for _, inc := range slices.Sorted(maps.Keys(p.peerState)) {
		if state := p.peerState[inc]; state.unlinkedSince.IsZero() || p.registered[inc] {
			out = append(out, state.addr)
		}
	}
	return out
}

// Leave announces to the peers that this entry is stopping, has it removed from the
// roster, and waits until it owns no births any more. The caller must continue to
// serve meanwhile. Leave returns an error if ctx ends first; peers then no longer
// wait for this entry's promises, except as described in docs/start-at-most-once.md.
func (p *Peers) Leave(ctx context.Context) error {
	p.update(p.machine.Leave)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for !p.hasLeft() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("leave the roster: %w", ctx.Err())
		}
	}
	return nil
}

// hasLeft reports whether a roster without this entry began at least leaveMargin ago.
func (p *Peers) hasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.HasLeft(time.Now().Add(-leaveMargin))
}

// runActions executes the pending actions of all machines. The caller holds mu.
func (p *Peers) runActions(now time.Time) {
	p.propagateVersions(now)
	last, _ := p.View().Last()
	p.announcer.Grant(last.Version, last.Has, p.admittedBeforeMs())
	for _, a := range p.machine.Actions() {
		p.runRosterAction(a)
	}
	for _, a := range p.announcer.Actions() {
		if a.Witness != nil {
			p.sendTo(a.Peer, &wire.Frame{Witness: a.Witness})
		} else {
			p.hooks.add(func() { p.opt.OnGuardReady(a.Ready) })
		}
	}
	for _, a := range p.recovery.Actions() {
		p.runRecoveryAction(a)
	}
}

// propagateVersions passes new roster versions to the other machines and the hooks,
// each once and in order.
func (p *Peers) propagateVersions(now time.Time) {
	view := p.machine.View()
	for _, v := range view.Versions() {
		if v.Version <= p.lastPropagatedVersion {
			continue
		}
		hasGap := p.lastPropagatedVersion != 0 && v.Version != p.lastPropagatedVersion+1
		p.lastPropagatedVersion = v.Version
		p.opt.Log.Info("roster", "version", v.Version, "members", len(v.Members), "gone", v.Gone)
		p.recovery.Roster(now, v.Message(), hasGap)
		p.announcer.Roster(v.Version, v.Has, view.Fenced())
		for _, inc := range v.Gone {
			if inc != p.opt.Self.Incarnation {
				p.hooks.add(func() { p.opt.OnGone(inc) })
			}
		}
	}
	if view.Fenced() && !p.isFenced {
		p.isFenced = true
		p.opt.Log.Error("this entry was declared gone by a roster", "entry", p.opt.Self.Incarnation)
		p.hooks.add(p.opt.OnFenced)
	}
}

func (p *Peers) runRosterAction(a roster.Action) {
	switch {
	case a.Broadcast != nil:
		p.broadcast(&wire.Frame{Promise: a.Broadcast})
	case a.Announce != nil:
		for _, r := range a.Announce.Versions {
			f := &wire.Frame{Roster: r}
			if a.Announce.To == "" {
				p.broadcast(f)
			} else {
				p.sendTo(a.Announce.To, f)
			}
		}
	case a.Join != nil:
		p.sendTo(a.Join.To, &wire.Frame{Join: a.Join.Request})
	case a.Swap != nil:
		p.spawn(func(ctx context.Context) { p.swapRoster(ctx, a.Swap) })
	case a.Read && !p.isReadingRoster:
		p.isReadingRoster = true
		p.spawn(p.readRoster)
	}
}

func (p *Peers) runRecoveryAction(a recovery.Action) {
	switch {
	case a.Fence != nil:
		p.opt.SendToGuard(a.Guard, &wire.Frame{Fence: a.Fence})
	case a.Collect != nil:
		p.opt.SendToGuard(a.Guard, &wire.Frame{Collect: a.Collect})
	case a.Acknowledge != nil:
		p.sendTo(a.Peer, &wire.Frame{WitnessAck: a.Acknowledge})
	case a.Finding != nil:
		p.opt.count("recovered." + a.Finding.Verdict.String())
		for _, ch := range p.recoveryWaiters[a.Finding.Job] {
			ch <- *a.Finding // buffered; each channel receives one finding
		}
		delete(p.recoveryWaiters, a.Finding.Job)
	}
}

// errNotLinked means that there is no link to the peer.
var errNotLinked = errors.New("no link to the peer")

// sendTo sends a frame to one peer. A frame that is lost with its link needs no
// retry: promises and announcements are repeated when the link is re-established.
func (p *Peers) sendTo(to identity.Incarnation, f *wire.Frame) {
	if l := (*p.links.Load())[to]; l != nil {
		_ = l.link.Send(f)
	}
}

// broadcast sends a frame to all linked peers.
func (p *Peers) broadcast(f *wire.Frame) {
	for _, l := range *p.links.Load() {
		_ = l.link.Send(f)
	}
}
