package roster

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Machine is one entry's part in the roster. now never runs backwards between
// calls by more than the clock itself does; safety does not depend on it.
type Machine struct {
	self wire.EntryAddr
	opt  Options

	versions []Version
	revision int64     // ModRevision of the newest store value seen
	stored   int64     // last version in that value
	read     bool      // a store value, or its absence, has been seen
	answered time.Time // when the store last answered

	own     int64 // greatest promise made under the last version
	current map[identity.Incarnation]int64
	later   map[identity.Incarnation]wire.Promise // under versions not yet known

	pending  *pendingSwap
	swaps    uint64 // Swap actions so far
	joiners  map[identity.Incarnation]wire.EntryAddr
	suspects map[identity.Incarnation]time.Time // since when
	gone     map[identity.Incarnation]bool      // proved gone, not yet in a roster
	leaving  bool
	stays    bool                          // has said that it will not resign under the last version
	staying  map[identity.Incarnation]bool // others that have said so
	fenced   bool

	nextPromise time.Time
	nextRead    time.Time
	nextJoin    time.Time
	joinTurn    int
	changeSince time.Time // since when a change of the roster has been wanted

	actions []Action
	view    atomic.Pointer[View]
}

// pendingSwap is a compare-and-swap whose outcome is not settled.
type pendingSwap struct {
	swap     Swap
	versions []Version
	// capMs bounds this entry's promises until the swap is settled.
	capMs    int64
	inFlight bool
	next     time.Time // when an unanswered swap is repeated
}

// NewMachine returns the machine of the entry self.
func NewMachine(self wire.EntryAddr, opt Options) *Machine {
	m := &Machine{
		self:     self,
		opt:      opt.withDefaults(),
		current:  make(map[identity.Incarnation]int64),
		later:    make(map[identity.Incarnation]wire.Promise),
		joiners:  make(map[identity.Incarnation]wire.EntryAddr),
		suspects: make(map[identity.Incarnation]time.Time),
		gone:     make(map[identity.Incarnation]bool),
		staying:  make(map[identity.Incarnation]bool),
	}
	m.publish()
	return m
}

// View gives the latest picture. It may be called from any goroutine.
func (m *Machine) View() *View { return m.view.Load() }

// Actions returns the actions since the last call. The slice is valid until the
// next call of any method.
func (m *Machine) Actions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Stored takes the store's value as read or watched; an absent key has revision
// 0 and no value. A value older than one seen before is passed over: the store
// may answer from the past.
func (m *Machine) Stored(now time.Time, value []byte, revision int64) error {
	m.answered = now
	if m.read && revision <= m.revision {
		m.Tick(now)
		return nil
	}
	if revision == 0 {
		m.read = true
		m.Tick(now)
		return nil
	}
	h, err := DecodeHistory(value)
	if err != nil {
		return err
	}
	m.read = true
	m.adoptStored(now, h.Versions, revision)
	m.Tick(now)
	return nil
}

// adoptStored takes versions that the store held at revision.
func (m *Machine) adoptStored(now time.Time, versions []Version, revision int64) {
	m.revision = revision
	m.stored = versions[len(versions)-1].Version
	m.settle()
	first := versions[0].Version
	if last, ok := m.last(); ok && last.Version < first-1 {
		// This entry was cut off for longer than versions are kept. One of the
		// lost versions may have declared it gone.
		m.fenced = true
		m.versions = nil
	}
	for _, v := range versions {
		m.learn(now, v)
	}
}

// settle drops an unsettled swap once the key has moved past the revision that
// it expects. Reading the value back is not enough for that: a request that got
// no answer may still take effect later. A higher revision, or a successor of
// the version it wanted to follow, shows that it has won or can only lose.
func (m *Machine) settle() {
	if m.pending != nil && m.revision > m.pending.swap.Expect {
		m.pending = nil
	}
}

// Learned takes a version from the peer from.
func (m *Machine) Learned(now time.Time, r *wire.Roster) {
	m.learn(now, fromMessage(r))
	m.Tick(now)
}

// learn adopts v if it is the successor of the last version, or raises the last
// version's ceiling.
func (m *Machine) learn(now time.Time, v Version) {
	last, ok := m.last()
	switch {
	case !ok:
		m.adopt(now, v)
	case v.Version == last.Version+1 && v.FromMs >= last.FromMs:
		m.adopt(now, v)
	case v.Version == last.Version:
		m.versions[len(m.versions)-1].CeilingMs = max(last.CeilingMs, v.CeilingMs)
	case v.Version > last.Version+1:
		// A gap: births between would be taken for the wrong version's.
		m.wantRead(now)
	}
}

func (m *Machine) adopt(now time.Time, v Version) {
	if m.pending != nil && m.pending.capMs != noCap {
		m.pending = nil // v follows the version that the append expected to be last
	}
	floor := now.Add(-m.opt.Retention).UnixMilli()
	m.versions = slices.Clone(trimmed(append(slices.Clone(m.versions), v), floor))
	m.own, m.stays = 0, false
	clear(m.staying)
	clear(m.current)
	for inc, p := range m.later {
		if p.Version == v.Version {
			m.current[inc] = p.UntilMs
		}
		if p.Version <= v.Version {
			delete(m.later, inc)
		}
	}
	for _, inc := range v.Gone {
		delete(m.gone, inc)
		m.fenced = m.fenced || inc == m.self.Incarnation
	}
	for _, e := range v.Members {
		delete(m.joiners, e.Incarnation)
	}
	m.changeSince = time.Time{}
	m.nextPromise = time.Time{}
}

// Promise takes the promise of the peer from.
func (m *Machine) Promise(now time.Time, from identity.Incarnation, p wire.Promise) {
	last, ok := m.last()
	switch {
	case !ok || p.Version > last.Version:
		if old, seen := m.later[from]; !seen || newer(p, old) {
			m.later[from] = p
		}
		m.wantRead(now)
	case p.Version < last.Version:
		m.announceAfter(from, p.Version)
	default:
		m.current[from] = max(m.current[from], p.UntilMs)
		m.hearLeaving(from, p)
	}
	m.Tick(now)
}

func newer(p, old wire.Promise) bool {
	if p.Version != old.Version {
		return p.Version > old.Version
	}
	return p.UntilMs > old.UntilMs
}

// announceAfter sends a peer the versions that follow the one it acts under.
func (m *Machine) announceAfter(to identity.Incarnation, version int64) {
	var out []*wire.Roster
	for _, v := range m.versions {
		if v.Version > version {
			out = append(out, v.Message())
		}
	}
	if len(out) > 0 {
		m.actions = append(m.actions, Action{Announce: &Announce{To: to, Versions: out}})
	}
}

// Linked sends a newly linked peer what is known, so that an entry that was cut
// off, or that cannot reach the store, catches up.
func (m *Machine) Linked(now time.Time, peer identity.Incarnation) {
	m.announceAfter(peer, math.MinInt64)
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// JoinAsked takes a peer's wish to become a member.
func (m *Machine) JoinAsked(now time.Time, j *wire.Join) {
	if last, ok := m.last(); ok && !last.Has(j.Entry.Incarnation) && !m.DeclaredGone(j.Entry.Incarnation) {
		m.joiners[j.Entry.Incarnation] = j.Entry
	}
	m.Tick(now)
}

// Suspect notes that a peer does not answer. It is left out of the next roster
// and may join again.
func (m *Machine) Suspect(now time.Time, peer identity.Incarnation) {
	if _, already := m.suspects[peer]; !already {
		m.suspects[peer] = now
	}
	delete(m.joiners, peer)
	m.Tick(now)
}

// Trust withdraws a suspicion.
func (m *Machine) Trust(now time.Time, peer identity.Incarnation) {
	delete(m.suspects, peer)
	delete(m.gone, peer)
	m.Tick(now)
}

// Gone notes that a peer's lease has lapsed and its link is down. The next
// roster declares it gone for good.
func (m *Machine) Gone(now time.Time, peer identity.Incarnation) {
	if !m.DeclaredGone(peer) {
		m.gone[peer] = true
	}
	m.Suspect(now, peer)
}

// DeclaredGone tells whether a version that is still kept declares peer gone.
func (m *Machine) DeclaredGone(peer identity.Incarnation) bool {
	for _, v := range m.versions {
		if slices.Contains(v.Gone, peer) {
			return true
		}
	}
	return false
}

// Leave begins a planned stop: this entry resigns, so that nobody waits for its
// promises, and asks to be left out. It keeps serving births that it owns until
// a roster without it has begun; see Left.
func (m *Machine) Leave(now time.Time) {
	m.leaving = true
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// Left tells whether a roster without this entry is in force at now.
func (m *Machine) Left(now time.Time) bool {
	last, ok := m.last()
	return ok && !last.Has(m.self.Incarnation) && last.FromMs <= now.UnixMilli()
}

// Swapped takes the outcome of the Swap action id. The watch often shows the
// effect of a write before its answer comes, and the next write may be on its
// way by then. Taken for the answer to that one, it would have this entry adopt
// a roster that the store does not hold.
func (m *Machine) Swapped(now time.Time, id uint64, o Outcome, revision int64) {
	p := m.pending
	if p == nil || !p.inFlight || p.swap.ID != id {
		return
	}
	p.inFlight = false
	if o != OutcomeUnknown {
		m.answered = now
	}
	switch o {
	case OutcomeDone:
		m.adoptStored(now, p.versions, revision)
		m.announceLast()
	case OutcomeConflict:
		// Something else was written, or an unanswered attempt of our own: the
		// value says which. Until it is read, the promises stay capped.
		p.next = now.Add(m.opt.Retry)
		m.nextRead = time.Time{}
		m.wantRead(now)
	case OutcomeUnknown:
		p.next = now.Add(m.opt.Retry)
	}
	m.Tick(now)
}

func (m *Machine) announceLast() {
	last := m.versions[len(m.versions)-1]
	m.actions = append(m.actions, Action{Announce: &Announce{Versions: []*wire.Roster{last.Message()}}})
}

// Tick does what is due and publishes the view.
func (m *Machine) Tick(now time.Time) {
	if !m.read {
		m.wantRead(now)
	}
	m.promise(now)
	m.swap(now)
	m.join(now)
	m.publish()
}

func (m *Machine) wantRead(now time.Time) {
	if now.Before(m.nextRead) {
		return
	}
	m.nextRead = now.Add(m.opt.Retry)
	m.actions = append(m.actions, Action{Read: true})
}

// last gives the newest version.
func (m *Machine) last() (Version, bool) {
	if len(m.versions) == 0 {
		return Version{}, false
	}
	return m.versions[len(m.versions)-1], true
}
