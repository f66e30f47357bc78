package roster

import (
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// renewPromise extends and broadcasts this entry's promise when it is due.
func (m *Machine) renewPromise(now time.Time) {
	last, ok := m.last()
	if !ok || m.isFenced || now.Before(m.nextPromise) || !last.Has(m.self.Incarnation) {
		return
	}
	m.nextPromise = now.Add(m.opt.PromiseInterval)
	untilMs := m.maxPromiseMs(now, last)
	if m.canResign(last) {
		untilMs = resignedPromiseMs
	}
	m.ownPromiseMs = max(m.ownPromiseMs, untilMs)
	m.promisesMs[m.self.Incarnation] = m.ownPromiseMs
	m.actions = append(m.actions, Action{Broadcast: &wire.Promise{
		Version: last.Version, UntilMs: m.ownPromiseMs, Leaving: m.isLeaving, Stays: m.hasPledgedToStay,
	}})
}

// handleLeaveIntent processes the leave flags of a peer's promise. If the peer
// intends to resign, this entry pledges to stay; if the peer has pledged to stay,
// that is recorded.
func (m *Machine) handleLeaveIntent(from identity.Incarnation, p wire.Promise) {
	if p.Stays && !m.stayingPeers[from] {
		m.stayingPeers[from] = true
		m.nextPromise = time.Time{}
	}
	if p.Leaving && !m.isLeaving && !m.hasPledgedToStay {
		m.hasPledgedToStay = true
		m.nextPromise = time.Time{}
	}
}

// maxPromiseMs returns the limit of this entry's promise: from the ceiling on, an
// entry outside the roster may append, and from the beginning of an unsettled append
// on, births may have another owner.
func (m *Machine) maxPromiseMs(now time.Time, last Version) int64 {
	untilMs := min(now.Add(m.opt.PromiseLead).UnixMilli(), last.CeilingMs)
	if m.pending != nil {
		untilMs = min(untilMs, m.pending.promiseLimitMs)
	}
	return untilMs
}

// canResign reports whether this entry can promise never to append again: it is
// leaving, none of its appends is unsettled, and another member will not resign. If
// all members stopped at once and all resigned, none could write the closing roster,
// and the next entries would refuse plain identities up to the ceiling. The first
// member in order therefore does not resign unless another one has pledged to stay,
// and a member that has pledged to stay does not resign.
func (m *Machine) canResign(last Version) bool {
	if !m.isLeaving || m.hasPledgedToStay || m.pending != nil && m.pending.promiseLimitMs != noPromiseLimit {
		return false
	}
	unsuspected := m.unsuspectedMembers(last.Members)
	if len(unsuspected) > 0 && unsuspected[0] != m.self.Incarnation {
		return true
	}
	return slices.ContainsFunc(unsuspected, func(inc identity.Incarnation) bool { return m.stayingPeers[inc] })
}

// computeHorizonMs returns the least of the members' promises and the ceiling.
func (m *Machine) computeHorizonMs() int64 {
	last, ok := m.last()
	if !ok || !last.Has(m.self.Incarnation) {
		return 0
	}
	h := last.CeilingMs
	for _, e := range last.Members {
		h = min(h, m.promisesMs[e.Incarnation])
	}
	return h
}

// publishView stores a new View if its contents have changed.
func (m *Machine) publishView() {
	old := m.view.Load()
	h := m.computeHorizonMs()
	if old != nil && old.horizonMs == h && old.isFenced == m.isFenced && equalVersions(old.versions, m.versions) {
		return
	}
	v := &View{self: m.self.Incarnation, horizonMs: h, isFenced: m.isFenced}
	if old != nil && equalVersions(old.versions, m.versions) {
		v.versions, v.memberHashes = old.versions, old.memberHashes
	} else {
		v.versions = slices.Clone(m.versions)
		for _, version := range m.versions {
			v.memberHashes = append(v.memberHashes, hashMembers(version))
		}
	}
	m.view.Store(v)
}

// equalVersions compares version numbers and ceilings; the other fields are
// immutable.
func equalVersions(a, b []Version) bool {
	return slices.EqualFunc(a, b, func(x, y Version) bool {
		return x.Version == y.Version && x.CeilingMs == y.CeilingMs
	})
}

// requestJoin asks a member to add this entry, and another member on each retry.
func (m *Machine) requestJoin(now time.Time) {
	last, ok := m.last()
	if !ok || m.isLeaving || m.isFenced || len(last.Members) == 0 || last.Has(m.self.Incarnation) || now.Before(m.nextJoin) {
		return
	}
	candidates := m.unsuspectedMembers(last.Members)
	if len(candidates) < len(last.Members) {
		return // an unreachable member would never receive this entry's promises
	}
	m.nextJoin = now.Add(joinRetryMultiplier * m.opt.StoreRetryDelay)
	m.joinAttempts++
	request := &wire.Join{Entry: m.self}
	m.actions = append(m.actions, Action{Join: &Join{To: candidates[m.joinAttempts%len(candidates)], Request: request}})
}

// unsuspectedMembers returns the members that are not suspected, sorted.
func (m *Machine) unsuspectedMembers(members []wire.EntryAddr) []identity.Incarnation {
	var out []identity.Incarnation
	for _, e := range members {
		if _, isSuspected := m.suspectedSince[e.Incarnation]; !isSuspected {
			out = append(out, e.Incarnation)
		}
	}
	slices.Sort(out)
	return out
}
