package roster

import (
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// renewPromise repeats and extends this entry's promise when it is due.
func (m *Machine) renewPromise(now time.Time) {
	last, ok := m.last()
	if !ok || m.isFenced || now.Before(m.nextPromise) || !last.Has(m.self.Incarnation) {
		return
	}
	m.nextPromise = now.Add(m.opt.Period)
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

// handleLeaveIntent answers an entry that would resign by promising to stay, and notes
// who has promised so.
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

// maxPromiseMs is how far this entry may promise: beyond the ceiling an outsider may
// append, and beyond the beginning of an unsettled append lies another owner.
func (m *Machine) maxPromiseMs(now time.Time, last Version) int64 {
	untilMs := min(now.Add(m.opt.Horizon).UnixMilli(), last.CeilingMs)
	if m.pending != nil {
		untilMs = min(untilMs, m.pending.promiseLimitMs)
	}
	return untilMs
}

// canResign tells whether this entry can promise never to append again: it is
// leaving, nothing of its own is unsettled, and another entry of the roster will
// not resign. If all stopped at once and all resigned, nobody could write the
// last roster, and the next entries would refuse plain identities up to the
// ceiling. So the first in order does not resign, unless another one has said
// that it stays; and one that has said so does not.
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

// computeHorizonMs is the least of the members' promises and the ceiling.
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

func equalVersions(a, b []Version) bool {
	return slices.EqualFunc(a, b, func(x, y Version) bool {
		return x.Version == y.Version && x.CeilingMs == y.CeilingMs
	})
}

// requestJoin asks a member to add this entry, each time another one.
func (m *Machine) requestJoin(now time.Time) {
	last, ok := m.last()
	if !ok || m.isLeaving || m.isFenced || len(last.Members) == 0 || last.Has(m.self.Incarnation) || now.Before(m.nextJoin) {
		return
	}
	candidates := m.unsuspectedMembers(last.Members)
	if len(candidates) < len(last.Members) {
		return // a member that this entry cannot reach would never hear its promises
	}
	m.nextJoin = now.Add(joinRetryMultiplier * m.opt.Retry)
	m.joinAttempts++
	request := &wire.Join{Entry: m.self}
	m.actions = append(m.actions, Action{Join: &Join{To: candidates[m.joinAttempts%len(candidates)], Ask: request}})
}

// unsuspectedMembers lists the members that are not suspected, sorted.
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
