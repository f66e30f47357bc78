package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// proposeWrite requests the next write to the store: it repeats an unsettled
// compare-and-swap, or else starts a new one if the roster or its ceiling must
// change.
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
		m.requestRead(now) // a peer announced a version that this entry has not read from the store
		return
	}
	if last.Has(m.self.Incarnation) {
		m.proposeAsMember(now, last)
	} else {
		m.proposeAsNonMember(now, last)
	}
}

// resendSwap sends the pending compare-and-swap under a new ID. All attempts carry
// the same bytes and expect the same revision, so at most one of them takes effect,
// and the promises are limited by the same beginning.
func (m *Machine) resendSwap(now time.Time) {
	if m.pending.isInFlight || now.Before(m.pending.nextAttempt) {
		return
	}
	m.lastSwapID++
	m.pending.swap.ID, m.pending.isInFlight = m.lastSwapID, true
	sent := m.pending.swap
	m.actions = append(m.actions, Action{Swap: &sent})
}

// startSwap sends a compare-and-swap that replaces the history by versions. Until it
// is settled, this entry promises nothing beyond promiseLimitMs.
func (m *Machine) startSwap(now time.Time, versions []Version, promiseLimitMs int64) {
	versions = trimVersions(versions, now.Add(-m.opt.Retention).UnixMilli())
	value, err := History{Versions: versions}.Encode()
	if err != nil {
		return // cannot happen: a decoded or locally built history can be encoded
	}
	m.pending = &pendingSwap{
		swap:           Swap{Expect: m.revision, Value: value},
		versions:       slices.Clone(versions),
		promiseLimitMs: promiseLimitMs,
	}
	m.resendSwap(now)
}

// appendVersion appends next to the known versions if the store last answered less
// than StoreRetryDelay ago. An append without an answer limits the promises until the
// store recovers; started during an outage, it would turn the mere wish to add or
// remove a member into refusals of all plain identities.
func (m *Machine) appendVersion(now time.Time, next Version) {
	if now.Sub(m.answered) >= m.opt.StoreRetryDelay {
		m.requestRead(now)
		return
	}
	m.startSwap(now, append(slices.Clone(m.versions), next), next.FromMs)
}

// appendInitialVersion writes the first version of the history. It begins now, so
// earlier births have no owner, in case an earlier history was lost with the store's
// data.
func (m *Machine) appendInitialVersion(now time.Time) {
	if m.revision != 0 || m.isLeaving {
		return
	}
	m.appendVersion(now, Version{
		Version: 1, FromMs: now.UnixMilli(), Members: []wire.EntryAddr{m.self}, CeilingMs: m.newCeilingMs(now),
	})
}

// newCeilingMs returns the ceiling to write at now, in Unix milliseconds.
func (m *Machine) newCeilingMs(now time.Time) int64 { return now.Add(m.opt.CeilingLead).UnixMilli() }

// proposeAsMember appends a version if the members should change, or else raises the
// ceiling if that is due. A resigned entry does neither.
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
// or later. A version that only adds members is not urgent and begins JoinLead ahead
// of now.
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

// nextMembers returns the members of the next version, sorted: the members of last
// and the entries that asked to join, without suspected, resigned and leaving ones.
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

// sortedGone returns the entries that the next version declares gone.
func (m *Machine) sortedGone() []identity.Incarnation {
	return slices.Sorted(maps.Keys(m.undeclaredGone))
}

// rankDelay returns the delay after which this member writes a change, by its rank
// among the unsuspected members of last.
func (m *Machine) rankDelay(last Version) time.Duration {
	rank := slices.Index(m.unsuspectedMembers(last.Members), m.self.Incarnation)
	return time.Duration(max(rank, 0)) * m.opt.RankDelay
}

// raiseCeiling extends the time up to which members may promise without the store.
func (m *Machine) raiseCeiling(now time.Time, last Version) {
	due := time.UnixMilli(last.CeilingMs).Add(m.opt.CeilingRenewAge - m.opt.CeilingLead).Add(m.rankDelay(last))
	if now.Before(due) || m.isLeaving {
		return
	}
	versions := slices.Clone(m.versions)
	versions[len(versions)-1].CeilingMs = m.newCeilingMs(now)
	m.startSwap(now, versions, noPromiseLimit)
}

// proposeAsNonMember appends a version if the last one has no members, or if all of
// them are gone and have been suspected for TakeoverDelay. The members may be running
// and only cut off from the store, so the new version begins at the ceiling, which
// none of their promises exceeds. If it began at this entry's clock, a task would
// start twice whenever the members were declared gone by mistake.
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

// areAllMembersGone reports whether every member of last is gone and has been
// suspected for TakeoverDelay.
func (m *Machine) areAllMembersGone(now time.Time, last Version) bool {
	for _, e := range last.Members {
		since, isSuspected := m.suspectedSince[e.Incarnation]
		isGone := m.undeclaredGone[e.Incarnation] || m.IsDeclaredGone(e.Incarnation)
		if !isSuspected || !isGone || now.Before(since.Add(m.opt.TakeoverDelay)) {
			return false
		}
	}
	return true
}

func haveSameMembers(a, b []wire.EntryAddr) bool { return containsAll(a, b) && containsAll(b, a) }

// containsAll reports whether every entry of subset is in entries.
func containsAll(entries, subset []wire.EntryAddr) bool {
	for _, e := range subset {
		if !slices.ContainsFunc(entries, func(w wire.EntryAddr) bool { return w.Incarnation == e.Incarnation }) {
			return false
		}
	}
	return true
}
