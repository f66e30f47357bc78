package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// swap sends what this entry wants written: the repetition of an unsettled swap,
// else a new one.
func (m *Machine) swap(now time.Time) {
	if m.pending != nil {
		m.repeat(now)
		return
	}
	if !m.read || m.fenced {
		return
	}
	last, ok := m.last()
	if !ok {
		m.appendFirst(now)
		return
	}
	if m.stored != last.Version {
		m.wantRead(now) // a peer knew of a version before the store was read
		return
	}
	if last.Has(m.self.Incarnation) {
		m.swapAsMember(now, last)
	} else {
		m.swapAsOutsider(now, last)
	}
}

// repeat sends the same bytes again. They expect the same revision, so that at
// most one of all attempts takes effect, and its beginning is the one that the
// promises are capped by.
func (m *Machine) repeat(now time.Time) {
	if m.pending.inFlight || now.Before(m.pending.next) {
		return
	}
	m.swaps++
	m.pending.swap.ID, m.pending.inFlight = m.swaps, true
	sent := m.pending.swap
	m.actions = append(m.actions, Action{Swap: &sent})
}

// write sends a swap that replaces the history by versions. capMs bounds the
// promises until it is settled.
func (m *Machine) write(now time.Time, versions []Version, capMs int64) {
	versions = trimmed(versions, now.Add(-m.opt.Retention).UnixMilli())
	value, err := History{Versions: versions}.Encode()
	if err != nil {
		return // a history that was decoded or built here encodes
	}
	m.pending = &pendingSwap{
		swap:     Swap{Expect: m.revision, Value: value},
		versions: slices.Clone(versions),
		capMs:    capMs,
	}
	m.repeat(now)
}

// appendVersion writes next behind the known versions, if the store answered
// just now. An append that gets no answer caps the promises until the store is
// back; begun during an outage, it would turn the wish to add or drop a member
// into refusals for every plain identity.
func (m *Machine) appendVersion(now time.Time, next Version) {
	if now.Sub(m.answered) >= m.opt.Retry {
		m.wantRead(now)
		return
	}
	m.write(now, append(slices.Clone(m.versions), next), next.FromMs)
}

// appendFirst writes the first roster of all. It begins now: births before it
// have no owner, in case an earlier history was lost with the store's data.
func (m *Machine) appendFirst(now time.Time) {
	if m.revision != 0 || m.leaving {
		return
	}
	m.appendVersion(now, Version{
		Version: 1, FromMs: now.UnixMilli(), Members: []wire.EntryAddr{m.self}, CeilingMs: m.ceiling(now),
	})
}

func (m *Machine) ceiling(now time.Time) int64 { return now.Add(m.opt.Lead).UnixMilli() }

// swapAsMember appends a roster when the members should change, else raises the
// ceiling when it is due.
func (m *Machine) swapAsMember(now time.Time, last Version) {
	if m.own == resigned {
		return
	}
	members, gone := m.wanted(last), m.goneList()
	if sameMembers(members, last.Members) && len(gone) == 0 {
		m.changeSince = time.Time{}
		m.raiseCeiling(now, last)
		return
	}
	if m.changeSince.IsZero() {
		m.changeSince = now
	}
	if now.Before(m.changeSince.Add(m.rankDelay(last))) {
		return
	}
	m.appendVersion(now, m.next(now, last, members, gone))
}

// next builds the version after last. It begins at this entry's greatest promise
// or later; a roster that only adds members can wait, and begins JoinLead ahead.
func (m *Machine) next(now time.Time, last Version, members []wire.EntryAddr, gone []identity.Incarnation) Version {
	from := max(m.own, last.FromMs)
	if len(gone) == 0 && containsAll(members, last.Members) {
		from = max(from, now.Add(m.opt.JoinLead).UnixMilli())
	}
	v := Version{Version: last.Version + 1, FromMs: from, Members: members, Gone: gone, CeilingMs: from}
	if len(members) > 0 {
		v.CeilingMs = max(from, m.ceiling(now))
	}
	return v
}

// wanted lists the members of the next roster, sorted.
func (m *Machine) wanted(last Version) []wire.EntryAddr {
	set := maps.Clone(m.joiners)
	for _, e := range last.Members {
		set[e.Incarnation] = e
	}
	if m.leaving {
		delete(set, m.self.Incarnation)
	}
	maps.DeleteFunc(set, func(inc identity.Incarnation, _ wire.EntryAddr) bool {
		_, suspected := m.suspects[inc]
		return suspected || m.current[inc] == resigned
	})
	return slices.SortedFunc(maps.Values(set), func(a, b wire.EntryAddr) int {
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

func (m *Machine) goneList() []identity.Incarnation { return slices.Sorted(maps.Keys(m.gone)) }

func (m *Machine) rankDelay(last Version) time.Duration {
	rank := slices.Index(m.reachable(last.Members), m.self.Incarnation)
	return time.Duration(max(rank, 0)) * m.opt.RankDelay
}

// raiseCeiling extends the time for which members may promise without the store.
func (m *Machine) raiseCeiling(now time.Time, last Version) {
	due := time.UnixMilli(last.CeilingMs).Add(m.opt.Renew - m.opt.Lead).Add(m.rankDelay(last))
	if now.Before(due) || m.leaving {
		return
	}
	versions := slices.Clone(m.versions)
	versions[len(versions)-1].CeilingMs = m.ceiling(now)
	m.write(now, versions, noCap)
}

// swapAsOutsider appends a roster when the last one has no members, or when all
// of them have been gone for some time. The members may be alive and cut off
// from the store, so the roster begins at the ceiling, which no promise of
// theirs exceeds. Beginning it by this entry's clock would start a task twice
// whenever "gone" was a mistake.
func (m *Machine) swapAsOutsider(now time.Time, last Version) {
	if m.leaving || !m.allGone(now, last) {
		return
	}
	m.appendVersion(now, Version{
		Version:   last.Version + 1,
		FromMs:    last.CeilingMs,
		Members:   []wire.EntryAddr{m.self},
		CeilingMs: max(last.CeilingMs, m.ceiling(now)),
		Gone:      m.goneList(),
	})
}

// allGone tells whether every member of last has been gone for Takeover.
func (m *Machine) allGone(now time.Time, last Version) bool {
	for _, e := range last.Members {
		since, suspected := m.suspects[e.Incarnation]
		proved := m.gone[e.Incarnation] || m.DeclaredGone(e.Incarnation)
		if !suspected || !proved || now.Before(since.Add(m.opt.Takeover)) {
			return false
		}
	}
	return true
}

func sameMembers(a, b []wire.EntryAddr) bool { return containsAll(a, b) && containsAll(b, a) }

// containsAll tells whether every entry of part is in whole.
func containsAll(whole, part []wire.EntryAddr) bool {
	for _, e := range part {
		if !slices.ContainsFunc(whole, func(w wire.EntryAddr) bool { return w.Incarnation == e.Incarnation }) {
			return false
		}
	}
	return true
}
