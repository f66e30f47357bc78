package batchnode

import (
	"cmp"
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

// announcersFor returns the known addresses of the entries that tell a guard the addresses.
func announcersFor(guard identity.Incarnation, known []string) []string {
	var first []weightedAddress // the greatest weight first
	for _, a := range known {
		candidate := weightedAddress{address: a, weight: announceWeight(a, guard)}
		if len(first) == announcersPerGuard && first[len(first)-1].compare(candidate) < 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(first, candidate, weightedAddress.compare)
		first = slices.Insert(first, position, candidate)
		first = first[:min(len(first), announcersPerGuard)]
	}
	addresses := make([]string, len(first))
	for i := range first {
		addresses[i] = first[i].address
	}
	return addresses
}

// weightedAddress is an address with its weight for one guard.
type weightedAddress struct {
	address string
	weight  uint64
}

func (w weightedAddress) compare(other weightedAddress) int {
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.address, other.address))
}

func announceWeight(address string, guard identity.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(guard)) // a hash does not fail
	_, _ = io.WriteString(h, address)
	weight := h.Sum64()
	return (weight ^ weight>>32) * 0x9e3779b97f4a7c15 // spreads the last bytes over all bits
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
	if slices.Equal(addresses, e.known) {
		return
	}
	previous := e.known
	e.known = addresses
	e.opt.Log.Info("entries changed", "entries", len(addresses))
	e.machine.SetEntries(len(addresses))
	for id := range e.links {
		if news := e.newAddressesFor(id, previous); len(news) > 0 {
			e.sendToGuard(id, &wire.Frame{Entries: &wire.Entries{Addresses: news}})
		}
	}
}

// addressesFor returns the addresses that a new link of a guard is told: all if this entry is one of
// the guard's announcers, else those of the announcers.
func (e *Entry) addressesFor(guard identity.Incarnation) []string {
	announcers := announcersFor(guard, e.known)
	if slices.Contains(announcers, e.opt.Address) {
		return e.known
	}
	return announcers
}

// newAddressesFor returns the addresses that a guard is told after the known ones have changed.
func (e *Entry) newAddressesFor(guard identity.Incarnation, previous []string) []string {
	before, now := announcersFor(guard, previous), announcersFor(guard, e.known)
	switch isAnnouncer := slices.Contains(now, e.opt.Address); {
	case isAnnouncer && slices.Contains(before, e.opt.Address):
		return withoutKnown(e.known, previous)
	case isAnnouncer:
		return e.known
	}
	return withoutKnown(now, before)
}

// withoutKnown returns the addresses that are not in known.
func withoutKnown(addresses, known []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(known, a) })
}
