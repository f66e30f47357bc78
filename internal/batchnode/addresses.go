package batchnode

import (
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/rendezvous"
)

// addressList is a sorted list of addresses of entries, with their hashes. A change of the list
// ranks every address for every guard, so that a rank must cost no more than some arithmetic.
type addressList struct {
	addresses []string
	hashes    []uint64
}

func newAddressList(sorted []string) addressList {
	l := addressList{addresses: sorted, hashes: make([]uint64, len(sorted))}
	for i, a := range sorted {
		l.hashes[i] = rendezvous.MemberHash(a)
	}
	return l
}

// with returns the list with further addresses.
func (l *addressList) with(addresses []string) addressList {
	merged := slices.Concat(l.addresses, addresses)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	if len(merged) == len(l.addresses) {
		return *l
	}
	return newAddressList(merged)
}

// without returns the list without an address.
func (l *addressList) without(address string) addressList {
	return newAddressList(slices.DeleteFunc(slices.Clone(l.addresses), func(a string) bool { return a == address }))
}

// announcersFor returns the addresses of a guard's announcers.
func (l *addressList) announcersFor(guard identity.Incarnation) []string {
	return l.first(guard, announcersPerGuard)
}

// subsetFor returns the addresses of the entries that a guard links to.
func (l *addressList) subsetFor(guard identity.Incarnation) []string {
	if len(l.addresses) <= entriesPerGuard {
		return l.addresses
	}
	return l.first(guard, entriesPerGuard)
}

// first returns the n addresses that rank first for a guard by rendezvous hashing.
func (l *addressList) first(guard identity.Incarnation, n int) []string {
	n = min(n, len(l.hashes))
	guardHash := rendezvous.KeyHash(string(guard))
	addresses, weights := make([]string, 0, n+1), make([]uint64, 0, n+1)
	for position, h := range l.hashes {
		weight := rendezvous.Weight(guardHash, h)
		rank := len(weights)
		for rank > 0 && weight > weights[rank-1] {
			rank--
		}
		if rank == n {
			continue
		}
		addresses, weights = slices.Insert(addresses, rank, l.addresses[position]), slices.Insert(weights, rank, weight)
		addresses, weights = addresses[:min(n, len(addresses))], weights[:min(n, len(weights))]
	}
	return addresses
}
