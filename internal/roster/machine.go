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

	versions      []Version
	revision      int64     // ModRevision of the newest store value seen
	storedVersion int64     // last version in that value
	hasReadStore  bool      // a store value, or its absence, has been seen
	answered      time.Time // when the store last answered

	ownPromiseMs   int64 // greatest promise made under the last version
	promisesMs     map[identity.Incarnation]int64
	futurePromises map[identity.Incarnation]wire.Promise // under versions not yet known

	pending          *pendingSwap
	lastSwapID       uint64 // Swap actions so far
	joinRequests     map[identity.Incarnation]wire.EntryAddr
	suspectedSince   map[identity.Incarnation]time.Time // since when
	undeclaredGone   map[identity.Incarnation]bool      // proved gone, not yet in a roster
	isLeaving        bool
	hasPledgedToStay bool                          // has said that it will not resign under the last version
	stayingPeers     map[identity.Incarnation]bool // others that have said so
	isFenced         bool

	nextPromise        time.Time
	nextRead           time.Time
	nextJoin           time.Time
	joinAttempts       int
	changePendingSince time.Time // since when a change of the roster has been wanted

	actions []Action
	view    atomic.Pointer[View]
}

// pendingSwap is a compare-and-swap whose outcome is not settled.
type pendingSwap struct {
	swap     Swap
	versions []Version
	// promiseLimitMs bounds this entry's promises until the swap is settled.
	promiseLimitMs int64
	isInFlight     bool
	nextAttempt    time.Time // when an unanswered swap is repeated
}

// NewMachine returns the machine of the entry self.
func NewMachine(self wire.EntryAddr, opt Options) *Machine {
	m := &Machine{
		self:           self,
		opt:            opt.withDefaults(),
		promisesMs:     make(map[identity.Incarnation]int64),
		futurePromises: make(map[identity.Incarnation]wire.Promise),
		joinRequests:   make(map[identity.Incarnation]wire.EntryAddr),
		suspectedSince: make(map[identity.Incarnation]time.Time),
		undeclaredGone: make(map[identity.Incarnation]bool),
		stayingPeers:   make(map[identity.Incarnation]bool),
	}
	m.publishView()
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
	if m.hasReadStore && revision <= m.revision {
		m.Tick(now)
		return nil
	}
	if revision == 0 {
		m.hasReadStore = true
		m.Tick(now)
		return nil
	}
	h, err := DecodeHistory(value)
	if err != nil {
		return err
	}
	m.hasReadStore = true
	m.adoptStoredVersions(now, h.Versions, revision)
	m.Tick(now)
	return nil
}

// adoptStoredVersions takes versions that the store held at revision.
func (m *Machine) adoptStoredVersions(now time.Time, versions []Version, revision int64) {
	m.revision = revision
	m.storedVersion = versions[len(versions)-1].Version
	m.dropSettledSwap()
	first := versions[0].Version
	if last, ok := m.last(); ok && last.Version < first-1 {
		// This entry was cut off for longer than versions are kept. One of the
		// lost versions may have declared it gone.
		m.isFenced = true
		m.versions = nil
	}
	for _, v := range versions {
		m.mergeVersion(now, v)
	}
}

// dropSettledSwap drops an unsettled swap once the key has moved past the revision that
// it expects. Reading the value back is not enough for that: a request that got
// no answer may still take effect later. A higher revision, or a successor of
// the version it wanted to follow, shows that it has won or can only lose.
func (m *Machine) dropSettledSwap() {
	if m.pending != nil && m.revision > m.pending.swap.Expect {
		m.pending = nil
	}
}

// Learned takes a version from the peer from.
func (m *Machine) Learned(now time.Time, r *wire.Roster) {
	m.mergeVersion(now, versionFromMessage(r))
	m.Tick(now)
}

// mergeVersion adopts v if it is the successor of the last version, or raises the last
// version's ceiling.
func (m *Machine) mergeVersion(now time.Time, v Version) {
	last, ok := m.last()
	switch {
	case !ok:
		m.adoptVersion(now, v)
	case v.Version == last.Version+1 && v.FromMs >= last.FromMs:
		m.adoptVersion(now, v)
	case v.Version == last.Version:
		m.versions[len(m.versions)-1].CeilingMs = max(last.CeilingMs, v.CeilingMs)
	case v.Version > last.Version+1:
		// A gap: births between would be taken for the wrong version's.
		m.requestRead(now)
	}
}

func (m *Machine) adoptVersion(now time.Time, v Version) {
	if m.pending != nil && m.pending.promiseLimitMs != noPromiseLimit {
		m.pending = nil // v follows the version that the append expected to be last
	}
	cutoffMs := now.Add(-m.opt.Retention).UnixMilli()
	m.versions = slices.Clone(trimVersions(append(slices.Clone(m.versions), v), cutoffMs))
	m.ownPromiseMs, m.hasPledgedToStay = 0, false
	clear(m.stayingPeers)
	clear(m.promisesMs)
	for inc, p := range m.futurePromises {
		if p.Version == v.Version {
			m.promisesMs[inc] = p.UntilMs
		}
		if p.Version <= v.Version {
			delete(m.futurePromises, inc)
		}
	}
	for _, inc := range v.Gone {
		delete(m.undeclaredGone, inc)
		m.isFenced = m.isFenced || inc == m.self.Incarnation
	}
	for _, e := range v.Members {
		delete(m.joinRequests, e.Incarnation)
	}
	m.changePendingSince = time.Time{}
	m.nextPromise = time.Time{}
}

// Promise takes the promise of the peer from.
func (m *Machine) Promise(now time.Time, from identity.Incarnation, p wire.Promise) {
	last, ok := m.last()
	switch {
	case !ok || p.Version > last.Version:
		if old, seen := m.futurePromises[from]; !seen || isNewer(p, old) {
			m.futurePromises[from] = p
		}
		m.requestRead(now)
	case p.Version < last.Version:
		m.announceVersionsAfter(from, p.Version)
	default:
		m.promisesMs[from] = max(m.promisesMs[from], p.UntilMs)
		m.handleLeaveIntent(from, p)
	}
	m.Tick(now)
}

func isNewer(p, old wire.Promise) bool {
	if p.Version != old.Version {
		return p.Version > old.Version
	}
	return p.UntilMs > old.UntilMs
}

// announceVersionsAfter sends a peer the versions that follow the one it acts under.
func (m *Machine) announceVersionsAfter(to identity.Incarnation, version int64) {
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
	m.announceVersionsAfter(peer, math.MinInt64)
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// JoinAsked takes a peer's wish to become a member.
func (m *Machine) JoinAsked(now time.Time, j *wire.Join) {
	if last, ok := m.last(); ok && !last.Has(j.Entry.Incarnation) && !m.IsDeclaredGone(j.Entry.Incarnation) {
		m.joinRequests[j.Entry.Incarnation] = j.Entry
	}
	m.Tick(now)
}

// Suspect notes that a peer does not answer. It is left out of the next roster
// and may join again.
func (m *Machine) Suspect(now time.Time, peer identity.Incarnation) {
	if _, already := m.suspectedSince[peer]; !already {
		m.suspectedSince[peer] = now
	}
	delete(m.joinRequests, peer)
	m.Tick(now)
}

// Trust withdraws a suspicion.
func (m *Machine) Trust(now time.Time, peer identity.Incarnation) {
	delete(m.suspectedSince, peer)
	delete(m.undeclaredGone, peer)
	m.Tick(now)
}

// Gone notes that a peer's lease has lapsed and its link is down. The next
// roster declares it gone for good.
func (m *Machine) Gone(now time.Time, peer identity.Incarnation) {
	if !m.IsDeclaredGone(peer) {
		m.undeclaredGone[peer] = true
	}
	m.Suspect(now, peer)
}

// IsDeclaredGone tells whether a version that is still kept declares peer gone.
func (m *Machine) IsDeclaredGone(peer identity.Incarnation) bool {
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
	m.isLeaving = true
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// HasLeft tells whether a roster without this entry is in force at now.
func (m *Machine) HasLeft(now time.Time) bool {
	last, ok := m.last()
	return ok && !last.Has(m.self.Incarnation) && last.FromMs <= now.UnixMilli()
}

// Swapped takes the outcome of the Swap action id. The watch often shows the
// effect of a write before its answer comes, and the next write may be on its
// way by then. Taken for the answer to that one, it would have this entry adopt
// a roster that the store does not hold.
func (m *Machine) Swapped(now time.Time, id uint64, outcome Outcome, revision int64) {
	p := m.pending
	if p == nil || !p.isInFlight || p.swap.ID != id {
		return
	}
	p.isInFlight = false
	if outcome != OutcomeUnknown {
		m.answered = now
	}
	switch outcome {
	case OutcomeDone:
		m.adoptStoredVersions(now, p.versions, revision)
		m.announceLastVersion()
	case OutcomeConflict:
		// Something else was written, or an unanswered attempt of our own: the
		// value says which. Until it is read, the promises stay capped.
		p.nextAttempt = now.Add(m.opt.Retry)
		m.nextRead = time.Time{}
		m.requestRead(now)
	case OutcomeUnknown:
		p.nextAttempt = now.Add(m.opt.Retry)
	}
	m.Tick(now)
}

func (m *Machine) announceLastVersion() {
	last := m.versions[len(m.versions)-1]
	m.actions = append(m.actions, Action{Announce: &Announce{Versions: []*wire.Roster{last.Message()}}})
}

// Tick does what is due and publishes the view.
func (m *Machine) Tick(now time.Time) {
	if !m.hasReadStore {
		m.requestRead(now)
	}
	m.renewPromise(now)
	m.proposeWrite(now)
	m.requestJoin(now)
	m.publishView()
}

func (m *Machine) requestRead(now time.Time) {
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
