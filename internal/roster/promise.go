package roster

import (
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// promise repeats and extends this entry's promise when it is due.
func (m *Machine) promise(now time.Time) {
	last, ok := m.last()
	if !ok || m.fenced || now.Before(m.nextPromise) || !last.Has(m.self.Incarnation) {
		return
	}
	m.nextPromise = now.Add(m.opt.Period)
	until := m.allowed(now, last)
	if m.mayResign(last) {
		until = resigned
	}
	m.own = max(m.own, until)
	m.current[m.self.Incarnation] = m.own
	m.actions = append(m.actions, Action{Broadcast: &wire.Promise{
		Version: last.Version, UntilMs: m.own, Leaving: m.leaving, Stays: m.stays,
	}})
}

// hearLeaving answers an entry that would resign by promising to stay, and notes
// who has promised so.
func (m *Machine) hearLeaving(from identity.Incarnation, p wire.Promise) {
	if p.Stays && !m.staying[from] {
		m.staying[from] = true
		m.nextPromise = time.Time{}
	}
	if p.Leaving && !m.leaving && !m.stays {
		m.stays = true
		m.nextPromise = time.Time{}
	}
}

// allowed is how far this entry may promise: beyond the ceiling an outsider may
// append, and beyond the beginning of an unsettled append lies another owner.
func (m *Machine) allowed(now time.Time, last Version) int64 {
	until := min(now.Add(m.opt.Horizon).UnixMilli(), last.CeilingMs)
	if m.pending != nil {
		until = min(until, m.pending.capMs)
	}
	return until
}

// mayResign tells whether this entry can promise never to append again: it is
// leaving, nothing of its own is unsettled, and another entry of the roster will
// not resign. If all stopped at once and all resigned, nobody could write the
// last roster, and the next entries would refuse plain identities up to the
// ceiling. So the first in order does not resign, unless another one has said
// that it stays; and one that has said so does not.
func (m *Machine) mayResign(last Version) bool {
	if !m.leaving || m.stays || m.pending != nil && m.pending.capMs != noCap {
		return false
	}
	others := m.reachable(last.Members)
	if len(others) > 0 && others[0] != m.self.Incarnation {
		return true
	}
	return slices.ContainsFunc(others, func(inc identity.Incarnation) bool { return m.staying[inc] })
}

// horizon is the least of the members' promises and the ceiling.
func (m *Machine) horizon() int64 {
	last, ok := m.last()
	if !ok || !last.Has(m.self.Incarnation) {
		return 0
	}
	h := last.CeilingMs
	for _, e := range last.Members {
		h = min(h, m.current[e.Incarnation])
	}
	return h
}

func (m *Machine) publish() {
	old := m.view.Load()
	h := m.horizon()
	if old != nil && old.horizonMs == h && old.fenced == m.fenced && sameVersions(old.versions, m.versions) {
		return
	}
	v := &View{self: m.self.Incarnation, horizonMs: h, fenced: m.fenced}
	if old != nil && sameVersions(old.versions, m.versions) {
		v.versions, v.seeds = old.versions, old.seeds
	} else {
		v.versions = slices.Clone(m.versions)
		for _, version := range m.versions {
			v.seeds = append(v.seeds, seedsOf(version))
		}
	}
	m.view.Store(v)
}

func sameVersions(a, b []Version) bool {
	return slices.EqualFunc(a, b, func(x, y Version) bool {
		return x.Version == y.Version && x.CeilingMs == y.CeilingMs
	})
}

// join asks a member to add this entry, each time another one.
func (m *Machine) join(now time.Time) {
	last, ok := m.last()
	if !ok || m.leaving || m.fenced || len(last.Members) == 0 || last.Has(m.self.Incarnation) || now.Before(m.nextJoin) {
		return
	}
	to := m.reachable(last.Members)
	if len(to) < len(last.Members) {
		return // a member that this entry cannot reach would never hear its promises
	}
	m.nextJoin = now.Add(joinAskMultiplier * m.opt.Retry)
	m.joinTurn++
	ask := &wire.Join{Entry: m.self}
	m.actions = append(m.actions, Action{Join: &Join{To: to[m.joinTurn%len(to)], Ask: ask}})
}

// reachable lists the members that are not suspected, sorted.
func (m *Machine) reachable(members []wire.EntryAddr) []identity.Incarnation {
	var out []identity.Incarnation
	for _, e := range members {
		if _, suspected := m.suspects[e.Incarnation]; !suspected {
			out = append(out, e.Incarnation)
		}
	}
	slices.Sort(out)
	return out
}
