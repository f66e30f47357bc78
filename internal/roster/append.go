package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// proposeWrite sends what this entry wants written: the repetition of an unsettled swap,
// else a new one.
func (m *Machine) proposeWrite(now time.Time) {
	if m.pending != nil {
		m.resendSwap(now)
		return
	}
	if !m.hasReadStore || m.isFenced {
		return
	}
	last, ok := m.last()
	if !ok {
		m.appendInitialVersion(now)
		return
	}
	if m.storedVersion != last.Version {
		m.requestRead(now) // a peer knew of a version before the store was read
		return
	}
	if last.Has(m.self.Incarnation) {
		m.proposeAsMember(now, last)
	} else {
		m.proposeAsNonMember(now, last)
	}
}

// resendSwap sends the same bytes again. They expect the same revision, so that at
// most one of all attempts takes effect, and its beginning is the one that the
// promises are capped by.
func (m *Machine) resendSwap(now time.Time) {
	if m.pending.isInFlight || now.Before(m.pending.nextAttempt) {
		return
	}
	m.lastSwapID++
	m.pending.swap.ID, m.pending.isInFlight = m.lastSwapID, true
	sent := m.pending.swap
	m.actions = append(m.actions, Action{Swap: &sent})
}

// startSwap sends a swap that replaces the history by versions. promiseLimitMs bounds the
// promises until it is settled.
func (m *Machine) startSwap(now time.Time, versions []Version, promiseLimitMs int64) {
	versions = trimVersions(versions, now.Add(-m.opt.Retention).UnixMilli())
	value, err := History{Versions: versions}.Encode()
	if err != nil {
		return // a history that was decoded or built here encodes
	}
	m.pending = &pendingSwap{
		swap:           Swap{Expect: m.revision, Value: value},
		versions:       slices.Clone(versions),
		promiseLimitMs: promiseLimitMs,
	}
	m.resendSwap(now)
}

// appendVersion writes next behind the known versions, if the store answered
// just now. An append that gets no answer caps the promises until the store is
// back; begun during an outage, it would turn the wish to add or drop a member
// into refusals for every plain identity.
func (m *Machine) appendVersion(now time.Time, next Version) {
	if now.Sub(m.answered) >= m.opt.Retry {
		m.requestRead(now)
		return
	}
	m.startSwap(now, append(slices.Clone(m.versions), next), next.FromMs)
}

// appendInitialVersion writes the first roster of all. It begins now: births before it
// have no owner, in case an earlier history was lost with the store's data.
func (m *Machine) appendInitialVersion(now time.Time) {
	if m.revision != 0 || m.isLeaving {
		return
	}
	m.appendVersion(now, Version{
		Version: 1, FromMs: now.UnixMilli(), Members: []wire.EntryAddr{m.self}, CeilingMs: m.newCeilingMs(now),
	})
}

func (m *Machine) newCeilingMs(now time.Time) int64 { return now.Add(m.opt.Lead).UnixMilli() }

// proposeAsMember appends a roster when the members should change, else raises the
// ceiling when it is due.
func (m *Machine) proposeAsMember(now time.Time, last Version) {
	if m.ownPromiseMs == resignedPromiseMs {
		return
	}
	members, gone := m.nextMembers(last), m.sortedGone()
	if haveSameMembers(members, last.Members) && len(gone) == 0 {
		m.changePendingSince = time.Time{}
		m.raiseCeiling(now, last)
		return
	}
	if m.changePendingSince.IsZero() {
		m.changePendingSince = now
	}
	if now.Before(m.changePendingSince.Add(m.rankDelay(last))) {
		return
	}
	m.appendVersion(now, m.successor(now, last, members, gone))
}

// successor builds the version after last. It begins at this entry's greatest promise
// or later; a roster that only adds members can wait, and begins JoinLead ahead.
func (m *Machine) successor(now time.Time, last Version, members []wire.EntryAddr, gone []identity.Incarnation) Version {
	fromMs := max(m.ownPromiseMs, last.FromMs)
	if len(gone) == 0 && containsAll(members, last.Members) {
		fromMs = max(fromMs, now.Add(m.opt.JoinLead).UnixMilli())
	}
	v := Version{Version: last.Version + 1, FromMs: fromMs, Members: members, Gone: gone, CeilingMs: fromMs}
	if len(members) > 0 {
		v.CeilingMs = max(fromMs, m.newCeilingMs(now))
	}
	return v
}

// nextMembers lists the members of the next roster, sorted.
func (m *Machine) nextMembers(last Version) []wire.EntryAddr {
	members := maps.Clone(m.joinRequests)
	for _, e := range last.Members {
		members[e.Incarnation] = e
	}
	if m.isLeaving {
		delete(members, m.self.Incarnation)
	}
	maps.DeleteFunc(members, func(inc identity.Incarnation, _ wire.EntryAddr) bool {
		_, isSuspected := m.suspectedSince[inc]
		return isSuspected || m.promisesMs[inc] == resignedPromiseMs
	})
	return slices.SortedFunc(maps.Values(members), func(a, b wire.EntryAddr) int {
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

func (m *Machine) sortedGone() []identity.Incarnation {
	return slices.Sorted(maps.Keys(m.undeclaredGone))
}

func (m *Machine) rankDelay(last Version) time.Duration {
	rank := slices.Index(m.unsuspectedMembers(last.Members), m.self.Incarnation)
	return time.Duration(max(rank, 0)) * m.opt.RankDelay
}

// raiseCeiling extends the time for which members may promise without the store.
func (m *Machine) raiseCeiling(now time.Time, last Version) {
	due := time.UnixMilli(last.CeilingMs).Add(m.opt.Renew - m.opt.Lead).Add(m.rankDelay(last))
	if now.Before(due) || m.isLeaving {
		return
	}
	versions := slices.Clone(m.versions)
	versions[len(versions)-1].CeilingMs = m.newCeilingMs(now)
	m.startSwap(now, versions, noPromiseLimit)
}

// proposeAsNonMember appends a roster when the last one has no members, or when all
// of them have been gone for some time. The members may be alive and cut off
// from the store, so the roster begins at the ceiling, which no promise of
// theirs exceeds. Beginning it by this entry's clock would start a task twice
// whenever "gone" was a mistake.
func (m *Machine) proposeAsNonMember(now time.Time, last Version) {
	if m.isLeaving || !m.areAllMembersGone(now, last) {
		return
	}
	m.appendVersion(now, Version{
		Version:   last.Version + 1,
		FromMs:    last.CeilingMs,
		Members:   []wire.EntryAddr{m.self},
		CeilingMs: max(last.CeilingMs, m.newCeilingMs(now)),
		Gone:      m.sortedGone(),
	})
}

// areAllMembersGone tells whether every member of last has been gone for Takeover.
func (m *Machine) areAllMembersGone(now time.Time, last Version) bool {
	for _, e := range last.Members {
		since, isSuspected := m.suspectedSince[e.Incarnation]
		isGone := m.undeclaredGone[e.Incarnation] || m.IsDeclaredGone(e.Incarnation)
		if !isSuspected || !isGone || now.Before(since.Add(m.opt.Takeover)) {
			return false
		}
	}
	return true
}

func haveSameMembers(a, b []wire.EntryAddr) bool { return containsAll(a, b) && containsAll(b, a) }

// containsAll tells whether every entry of part is in whole.
func containsAll(entries, subset []wire.EntryAddr) bool {
	for _, e := range subset {
		if !slices.ContainsFunc(entries, func(w wire.EntryAddr) bool { return w.Incarnation == e.Incarnation }) {
			return false
		}
	}
	return true
}
