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

// Peers is one entry's part in the group of entries of its region.
type Peers struct {
	opt Options

	// links are read on the path of requests; they are replaced, never changed.
	links atomic.Pointer[map[identity.Incarnation]*peerLink]
	// maxAllowedBirthMs is the greatest birth that MayStart ever allowed.
	maxAllowedBirthMs atomic.Int64
	hooks             hookQueue
	activeForwards    atomic.Int64

	mu                    sync.Mutex // guards what follows
	ctx                   context.Context
	machine               *roster.Machine
	recovery              *recovery.Machine
	announcer             *recovery.Announcer
	peerState             map[identity.Incarnation]*peerState
	registered            map[identity.Incarnation]bool // registered in the store
	hasRegistrations      bool                          // entries has been read
	recoveryWaiters       map[recovery.Job][]chan recovery.Finding
	nextSeedDial          map[string]time.Time // next dial of an address of the settings
	lastPeerCheck         time.Time            // when peers were last judged
	lastPropagatedVersion int64                // last roster version handed on
	isReadingRoster       bool
	isFenced              bool
	isStopped             bool // no goroutine may be added to wg any more
	wg                    sync.WaitGroup
}

// peerState is what this entry keeps of another one.
type peerState struct {
	addr              wire.EntryAddr
	unlinkedSince     time.Time // zero while linked
	unregisteredSince time.Time // zero while registered in the store
	isDialing         bool
	nextDial          time.Time
}

// New returns a Peers that does nothing until Run.
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

// Run takes part until ctx ends: it registers this entry, follows the store,
// dials peers and drives the roster. It returns after all of its goroutines.
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

// stop ends the links and waits for all goroutines.
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
		ctx := p.ctx // under mu: a link can be accepted just before Run sets it
		p.wg.Go(func() { f(ctx) })
	}
}

// update runs one input under the lock and carries out what follows from it.
func (p *Peers) update(change func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	change(now)
	p.runActions(now)
}

// tick does what is due. The caller holds mu.
func (p *Peers) tick(now time.Time) {
	p.checkPeers(now)
	p.dialUnlinked(now)
	p.machine.Tick(now)
	p.recovery.Tick(now)
	p.requestNewerConfig(now)
}

// View gives the latest roster view, without a lock.
func (p *Peers) View() *roster.View { return p.machine.View() }

// MayStart tells whether this entry may start key for member: nil when it may,
// for good. It must be asked before a job is admitted, since what it allowed
// decides from which birth on a peer is a witness. It takes no lock and
// allocates nothing when it allows.
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

// admittedBeforeMs is above every birth that MayStart allowed so far.
func (p *Peers) admittedBeforeMs() int64 { return p.maxAllowedBirthMs.Load() + 1 }

// Peer is one linked entry.
type Peer struct {
	Addr   wire.EntryAddr
	Member bool // of the last roster
}

// Peers lists the linked entries, sorted.
func (p *Peers) Peers() []Peer {
	last, _ := p.View().Last()
	var out []Peer
	links := *p.links.Load()
	for _, inc := range slices.Sorted(maps.Keys(links)) {
		out = append(out, Peer{Addr: links[inc].addr, Member: last.Has(inc)})
	}
	return out
}

// Entries lists the entries that guards should link to: this one, those that are
// linked and those registered in the store.
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

// Leave takes this entry off the roster, waits until it owns no births any more,
// and tells its peers. The caller goes on serving meanwhile. It returns an error
// when ctx ends first; the others then wait for its promises no longer, except
// as docs/start-at-most-once.md says.
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

func (p *Peers) hasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.HasLeft(time.Now().Add(-leaveMargin))
}

// runActions executes all actions of the machines. The caller holds mu.
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

// propagateVersions tells the other machines of new roster versions, each once and
// in order.
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
		p.opt.Log.Error("declared gone by a roster", "entry", p.opt.Self.Incarnation)
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
		p.sendTo(a.Join.To, &wire.Frame{Join: a.Join.Ask})
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
		p.opt.ToGuard(a.Guard, &wire.Frame{Fence: a.Fence})
	case a.Collect != nil:
		p.opt.ToGuard(a.Guard, &wire.Frame{Collect: a.Collect})
	case a.Acknowledge != nil:
		p.sendTo(a.Peer, &wire.Frame{Witnessed: a.Acknowledge})
	case a.Finding != nil:
		p.opt.count("recovered." + a.Finding.Verdict.String())
		for _, ch := range p.recoveryWaiters[a.Finding.Job] {
			ch <- *a.Finding // buffered, one finding each
		}
		delete(p.recoveryWaiters, a.Finding.Job)
	}
}

// errNotLinked reports a peer to which there is no link.
var errNotLinked = errors.New("no link to the peer")

// sendTo sends a frame to one peer. A frame that is lost with its link is made
// good when the link comes back: promises and announcements are repeated.
func (p *Peers) sendTo(to identity.Incarnation, f *wire.Frame) {
	if l := (*p.links.Load())[to]; l != nil {
		_ = l.link.Send(f)
	}
}

func (p *Peers) broadcast(f *wire.Frame) {
	for _, l := range *p.links.Load() {
		_ = l.link.Send(f)
	}
}
