package batchnode

import (
	"hash/fnv"
	"io"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Guards learn the addresses of entries from entries. If each entry told all guards, a start of n
// entries would send n*n addresses to each guard. Each guard is therefore told by the few entries
// that rank first for it by rendezvous hashing over the known addresses. All entries compute the
// same ranks once they know the same addresses; until then a guard may be told by more of them.

// announcersPerGuard is the number of entries that tell a guard the addresses. The others take over
// when one of them is no longer listed.
const announcersPerGuard = 3

// addressList is a sorted list of addresses of entries, with their hashes. A change of the list
// ranks every address for every guard, so that a rank must cost no more than some arithmetic.
type addressList struct {
	addresses []string
	hashes    []uint64
}

func newAddressList(sorted []string) addressList {
	l := addressList{addresses: sorted, hashes: make([]uint64, len(sorted))}
	for i, a := range sorted {
		l.hashes[i] = hashOf(a)
	}
	return l
}

// announcersFor returns the addresses of the entries that tell a guard the addresses. guardHash is
// the hash of its incarnation.
func (l *addressList) announcersFor(guardHash uint64) []string {
	var first [announcersPerGuard]int // positions, the greatest weight first
	var weights [announcersPerGuard]uint64
	n := min(announcersPerGuard, len(l.hashes))
	for position, h := range l.hashes {
		weight := mix(h ^ guardHash)
		for rank := range n {
			if weight > weights[rank] || weights[rank] == 0 {
				copy(first[rank+1:n], first[rank:])
				copy(weights[rank+1:n], weights[rank:])
				first[rank], weights[rank] = position, max(weight, 1)
				break
			}
		}
	}
	addresses := make([]string, n)
	for rank := range n {
		addresses[rank] = l.addresses[first[rank]]
	}
	return addresses
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s) // a hash does not fail
	return h.Sum64()
}

// mix returns a value whose every bit depends on all bits of h.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// SetEntries stores the addresses of all entries, to which it adds its own. It sends those that were
// added to the guards for which this entry is an announcer, all of them to the guards for which it
// was none before, and new announcers to the others. Duplicate addresses are removed: a restarted entry is listed twice until its
// earlier registration expires.
func (e *Entry) SetEntries(addresses []string) {
	if !slices.Contains(addresses, e.opt.Address) {
		addresses = append(addresses, e.opt.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(addresses, e.known.addresses) {
		return
	}
	previous := e.known
	e.known = newAddressList(addresses)
	e.opt.Log.Info("entries changed", "entries", len(addresses))
	e.machine.SetEntries(len(addresses))
	for id := range e.links {
		if news := e.newAddressesFor(id, &previous); len(news) > 0 {
			e.sendToGuard(id, &wire.Frame{Entries: &wire.Entries{Addresses: news}})
		}
	}
}

// addressesFor returns the addresses that a new link of a guard is told: all if this entry is one of
// the guard's announcers, else those of the announcers.
func (e *Entry) addressesFor(guard identity.Incarnation) []string {
	announcers := e.known.announcersFor(hashOf(string(guard)))
	if slices.Contains(announcers, e.opt.Address) {
		return e.known.addresses
	}
	return announcers
}

// newAddressesFor returns the addresses that a guard is told after the known ones have changed. previous
// are those before the change.
func (e *Entry) newAddressesFor(guard identity.Incarnation, previous *addressList) []string {
	guardHash := hashOf(string(guard))
	before, now := previous.announcersFor(guardHash), e.known.announcersFor(guardHash)
	switch isAnnouncer := slices.Contains(now, e.opt.Address); {
	case isAnnouncer && slices.Contains(before, e.opt.Address):
		return withoutKnown(e.known.addresses, previous.addresses)
	case isAnnouncer:
		return e.known.addresses
	}
	return withoutKnown(now, before)
}

// withoutKnown returns the addresses that are not in known.
func withoutKnown(addresses, known []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(known, a) })
}
