package batchnode

import (
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Guards learn the addresses of entries from entries. If each entry sent them to all guards, a start
// of n entries would send n*n addresses to each guard. Each guard therefore gets them from its
// announcers, the few entries that rank first for it by rendezvous hashing over the known addresses;
// the other entries only send it the addresses of its announcers. All entries compute the same ranks
// once they know the same addresses.

// announcersPerGuard is the number of announcers of a guard. The next in rank takes over when one of
// them is no longer listed.
const announcersPerGuard = 3

// SetEntries stores the addresses of all entries, as the store lists them.
func (e *Entry) SetEntries(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asksNextGuard = false
	e.setEntriesLocked(addresses)
}

// RequestEntries asks a guard for the addresses of all entries, because the store does not list them. An
// entry without a guard asks the next one that links to it.
func (e *Entry) RequestEntries() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for guard := range e.links {
		e.requestEntriesFrom(guard)
		return
	}
	e.asksNextGuard = true
}

func (e *Entry) requestEntriesFrom(guard identity.Incarnation) {
	e.sendToGuard(guard, &wire.Frame{Entries: &wire.Entries{LinkAll: e.linksToAll(guard), Ask: true}})
}

// addEntries adds addresses that a guard knows. Only the store can tell that an entry has ended.
func (e *Entry) addEntries(addresses []string) {
	e.setEntriesLocked(slices.Concat(e.known.addresses, addresses))
}

// setEntriesLocked stores the addresses of all entries, to which it adds its own, and sends the guards
// those that they have to know in addition. Duplicate addresses are removed: a restarted entry is
// listed twice until its earlier registration expires.
func (e *Entry) setEntriesLocked(addresses []string) {
	e.hasEntryList = true
	if !slices.Contains(addresses, e.opt.Address) {
		addresses = append(addresses, e.opt.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if slices.Equal(addresses, e.known.addresses) {
		return
	}
	previous := e.known
	e.known = newAddressList(addresses)
	e.opt.Log.Info("entries changed", "entries", len(addresses))
	e.machine.SetEntries(len(addresses), min(len(addresses), entriesPerGuard))
	added := withoutKnown(addresses, previous.addresses)
	for id := range e.links {
		if news := e.newAddressesFor(id, &previous, added); len(news) > 0 {
			e.sendToGuard(id, &wire.Frame{Entries: &wire.Entries{Addresses: news, LinkAll: e.linksToAll(id)}})
		}
	}
}

// addressesFor returns the addresses that a guard gets on a new link.
func (e *Entry) addressesFor(guard identity.Incarnation) []string {
	announcers := e.known.announcersFor(guard)
	if slices.Contains(announcers, e.opt.Address) {
		return e.known.addresses
	}
	return announcers
}

// newAddressesFor returns the addresses that a linked guard gets after the known ones have changed.
// added are those that are not in previous.
func (e *Entry) newAddressesFor(guard identity.Incarnation, previous *addressList, added []string) []string {
	before, now := previous.announcersFor(guard), e.known.announcersFor(guard)
	switch isAnnouncer := slices.Contains(now, e.opt.Address); {
	case isAnnouncer && slices.Contains(before, e.opt.Address):
		return added
	case isAnnouncer:
		return e.known.addresses
	}
	return withoutKnown(now, before)
}

// withoutKnown returns the addresses that are not in known.
func withoutKnown(addresses, known []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(known, a) })
}
