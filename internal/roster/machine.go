package roster

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Machine is the roster state of one entry. The now passed to its methods may run
// backwards only as far as the system clock does; safety does not depend on it.
type Machine struct {
	self wire.EntryAddr
	opt  Options

	versions      []Version
	revision      int64     // ModRevision of the newest value read from the store
	storedVersion int64     // number of the last version in that value
	hasReadStore  bool      // the store's value, or that there is none, has been read
	answered      time.Time // time of the store's last answer

	// Promises under the last version, in Unix milliseconds.
	ownPromiseMs   int64 // greatest promise made by this entry
	promisesMs     map[identity.Incarnation]int64
	futurePromises map[identity.Incarnation]wire.Promise // under versions that this entry does not have yet

	pending          *pendingSwap
	lastSwapID       uint64 // ID of the last Swap action
	joinRequests     map[identity.Incarnation]wire.EntryAddr
	suspectedSince   map[identity.Incarnation]time.Time
	undeclaredGone   map[identity.Incarnation]bool // gone, but not yet declared gone by a version
	isLeaving        bool
	hasPledgedToStay bool                          // announced that it will not resign under the last version
	stayingPeers     map[identity.Incarnation]bool // peers that announced the same
	isFenced         bool

	nextPromise        time.Time
	nextRead           time.Time
	nextJoin           time.Time
	joinAttempts       int
	changePendingSince time.Time // zero if the last version needs no change

	actions []Action
	view    atomic.Pointer[View]
}

// pendingSwap is a compare-and-swap that is not settled: it may still take effect.
type pendingSwap struct {
	swap     Swap
	versions []Version
	// promiseLimitMs limits this entry's promises until the swap is settled.
	promiseLimitMs int64
	isInFlight     bool
	nextAttempt    time.Time // earliest time of the next attempt if no answer arrives
}

// NewMachine returns the Machine of the entry self.
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

// View returns the latest snapshot. It may be called from any goroutine.
func (m *Machine) View() *View { return m.view.Load() }

// Actions returns and clears the pending actions. The slice is valid until the next
// call of any method.
func (m *Machine) Actions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// HandleStoreValue processes the store's value as read or watched; an absent key has
// revision 0 and no value. A value no newer than one seen before is ignored, since
// the store may return stale data. It returns the error of DecodeHistory.
func (m *Machine) HandleStoreValue(now time.Time, value []byte, revision int64) error {
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

// adoptStoredVersions merges the versions that the store held at revision.
func (m *Machine) adoptStoredVersions(now time.Time, versions []Version, revision int64) {
	m.revision = revision
	m.storedVersion = versions[len(versions)-1].Version
	m.dropSettledSwap()
	first := versions[0].Version
	if last, ok := m.last(); ok && last.Version < first-1 {
		// This entry was cut off for longer than versions are retained. One of the
		// versions that it missed may have declared it gone.
		m.isFenced = true
		m.versions = nil
	}
	for _, v := range versions {
		m.mergeVersion(now, v)
	}
}

// dropSettledSwap clears the pending swap once the key has moved past the revision
// that the swap expects. Reading the old value back is not sufficient: an unanswered
// request may still take effect later. A higher revision, or a successor of the
// version that it was to follow, shows that it has either succeeded or can only fail.
func (m *Machine) dropSettledSwap() {
	if m.pending != nil && m.revision > m.pending.swap.Expect {
		m.pending = nil
	}
}

// HandleRoster processes a version received from a peer.
func (m *Machine) HandleRoster(now time.Time, r *wire.Roster) {
	m.mergeVersion(now, versionFromMessage(r))
	m.Tick(now)
}

// mergeVersion adopts v if it is the successor of the last version, or raises the
// ceiling of the last version.
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
		// Versions are missing: births of a missing version would be attributed to
		// another one.
		m.requestRead(now)
	}
}

// adoptVersion makes v the last version and resets all state that depends on it.
func (m *Machine) adoptVersion(now time.Time, v Version) {
	if m.pending != nil && m.pending.promiseLimitMs != noPromiseLimit {
		m.pending = nil // v succeeds the version that the append was to follow, which settles the append
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

// Promise processes the promise p of the peer from.
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

// isNewer reports whether p supersedes old.
func isNewer(p, old wire.Promise) bool {
	if p.Version != old.Version {
		return p.Version > old.Version
	}
	return p.UntilMs > old.UntilMs
}

// announceVersionsAfter sends a peer all versions after the given one.
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

// HandleLinkUp sends the known versions to a newly linked peer, so that an entry that
// was cut off, or that cannot reach the store, catches up.
func (m *Machine) HandleLinkUp(now time.Time, peer identity.Incarnation) {
	m.announceVersionsAfter(peer, math.MinInt64)
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// HandleJoin processes a peer's request to become a member.
func (m *Machine) HandleJoin(now time.Time, j *wire.Join) {
	if last, ok := m.last(); ok && !last.Has(j.Entry.Incarnation) && !m.IsDeclaredGone(j.Entry.Incarnation) {
		m.joinRequests[j.Entry.Incarnation] = j.Entry
	}
	m.Tick(now)
}

// Suspect records that a peer does not respond. The next version leaves it out, but
// it may join again.
func (m *Machine) Suspect(now time.Time, peer identity.Incarnation) {
	if _, already := m.suspectedSince[peer]; !already {
		m.suspectedSince[peer] = now
	}
	delete(m.joinRequests, peer)
	m.Tick(now)
}

// ClearSuspicion withdraws Suspect for a peer, and ReportGone if no version has
// declared the peer gone yet.
func (m *Machine) ClearSuspicion(now time.Time, peer identity.Incarnation) {
	delete(m.suspectedSince, peer)
	delete(m.undeclaredGone, peer)
	m.Tick(now)
}

// ReportGone records that a peer's lease has expired and its link is down. The next
// version declares it permanently gone.
func (m *Machine) ReportGone(now time.Time, peer identity.Incarnation) {
	if !m.IsDeclaredGone(peer) {
		m.undeclaredGone[peer] = true
	}
	m.Suspect(now, peer)
}

// IsDeclaredGone reports whether a retained version declares peer gone.
func (m *Machine) IsDeclaredGone(peer identity.Incarnation) bool {
	for _, v := range m.versions {
		if slices.Contains(v.Gone, peer) {
			return true
		}
	}
	return false
}

// Leave starts a planned stop: this entry resigns, so that no peer waits for its
// promises, and leaves the roster. It serves births that it owns until a version
// without it has begun; see HasLeft.
func (m *Machine) Leave(now time.Time) {
	m.isLeaving = true
	m.nextPromise = time.Time{}
	m.Tick(now)
}

// HasLeft reports whether a version without this entry is in force at now.
func (m *Machine) HasLeft(now time.Time) bool {
	last, ok := m.last()
	return ok && !last.Has(m.self.Incarnation) && last.FromMs <= now.UnixMilli()
}

// HandleSwapResult processes the outcome of the Swap action id. A watch often
// delivers the effect of a write before the write's own answer arrives, and by then
// the next write may be in flight. If the late answer were attributed to that write,
// this entry would adopt a roster that the store does not hold.
func (m *Machine) HandleSwapResult(now time.Time, id uint64, outcome Outcome, revision int64) {
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
		// Either another value was written or an unanswered attempt of this entry has
		// succeeded; the stored value shows which. The promises stay limited until it
		// is read.
		p.nextAttempt = now.Add(m.opt.StoreRetryDelay)
		m.nextRead = time.Time{}
		m.requestRead(now)
	case OutcomeUnknown:
		p.nextAttempt = now.Add(m.opt.StoreRetryDelay)
	}
	m.Tick(now)
}

// announceLastVersion sends the last version to all linked entries.
func (m *Machine) announceLastVersion() {
	last := m.versions[len(m.versions)-1]
	m.actions = append(m.actions, Action{Announce: &Announce{Versions: []*wire.Roster{last.Message()}}})
}

// Tick performs all operations that are due and publishes the view.
func (m *Machine) Tick(now time.Time) {
	if !m.hasReadStore {
		m.requestRead(now)
	}
	m.renewPromise(now)
	m.proposeWrite(now)
	m.requestJoin(now)
	m.publishView()
}

// requestRead requests a read of the store, at most once per StoreRetryDelay.
func (m *Machine) requestRead(now time.Time) {
	if now.Before(m.nextRead) {
		return
	}
	m.nextRead = now.Add(m.opt.StoreRetryDelay)
	m.actions = append(m.actions, Action{Read: true})
}

// last returns the newest version. ok is false if no version is known.
func (m *Machine) last() (Version, bool) {
	if len(m.versions) == 0 {
		return Version{}, false
	}
	return m.versions[len(m.versions)-1], true
}
