package runs

import (
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
)

// While entries wait for capacity, freed capacity is offered to one entry at a time. If it
// were announced to all, each would send a task for it and all but one task would be refused:
// on a full fleet a task was sent dozens of times, which alone made its job late.
//
// The entry with the most urgent task that fits is served first.

// After an entry lets an offer expire it gets no other one for offerBackoffDelay. The delay doubles
// with each consecutive expired offer, up to maxUnusedOffers times (320 ms), until the entry sends
// a heartbeat or tasks. An entry that has found capacity elsewhere declines at once. A frozen one
// sends nothing, and with a short constant delay it would reserve most of the freed capacity until
// it resumes.
const (
	offerBackoffDelay = 5 * time.Millisecond
	maxUnusedOffers   = 6
)

// offerTimeout is how long offered capacity stays reserved for an entry: two round trips
// between failure domains and a pause of the entry's processor.
const offerTimeout = 20 * time.Millisecond

// offer is capacity that is reserved for one entry.
type offer struct {
	capacity  sched.Resources
	expiresAt time.Duration // end of the reservation; 0 if there is none
	notBefore time.Duration // earliest time of the next offer; 0 for any time
}

// freeCapacityFor returns the capacity that an entry may use: all free capacity except what is
// offered to other entries. A nil entry excludes all offers.
func (m *Machine) freeCapacityFor(ent *entryState) sched.Resources {
	freeCapacity := m.freeCapacity()
	for _, other := range m.entries {
		if other != ent && other.offer.expiresAt > 0 {
			freeCapacity = freeCapacity.Minus(other.offer.capacity)
		}
	}
	return freeCapacity
}

// makeOffers offers free capacity to waiting entries, the most urgent first and in turn among
// equally urgent ones. It returns the entries that received an offer.
func (m *Machine) makeOffers(now time.Duration) map[*entryState]bool {
	if m.disabled.Has(policy.Offers) {
		return nil
	}
	var offered map[*entryState]bool
	for {
		free := m.freeCapacityFor(nil)
		ent := m.nextEntryToOffer(now, free)
		if ent == nil {
			return offered
		}
		free.CPU = min(free.CPU, ent.demand.CPU-ent.offer.capacity.CPU)
		m.offerTurns++
		ent.offer, ent.lastOfferTurn = ent.offer.extendedBy(now, free), m.offerTurns
		if offered == nil {
			offered = make(map[*entryState]bool)
		}
		offered[ent] = true
	}
}

// extendedBy returns the offer enlarged by more. The expiry of an existing offer does not
// change.
func (o offer) extendedBy(now time.Duration, more sched.Resources) offer {
	if o.expiresAt == 0 {
		return offer{capacity: more, expiresAt: now + offerTimeout}
	}
	o.capacity = o.capacity.Plus(more)
	return o
}

// nextEntryToOffer returns the next entry that can use the free capacity, or nil.
func (m *Machine) nextEntryToOffer(now time.Duration, free sched.Resources) *entryState {
	var best *entryState
	byArrival := m.offersByArrival(now)
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if !m.canOffer(now, ent) || free.CPU < max(1, ent.demand.MinCPU) {
			continue
		}
		if best == nil || m.isServedBefore(ent, best, free, byArrival) {
			best = ent
		}
	}
	return best
}

// canOffer reports whether an entry may be offered capacity, or more in addition to a pending
// offer. Capacity that becomes free while the answer to an offer is in transit would otherwise
// go to other entries, which would start less urgent tasks. An entry whose frames arrive late
// gets no offers, as it could not use them in time.
func (m *Machine) canOffer(now time.Duration, ent *entryState) bool {
	if !ent.isLinked || ent.isRetiring || now < ent.offer.notBefore || ent.demand.CPU == 0 || ent.tasksAge > offerTimeout {
		return false
	}
	return ent.offer.expiresAt == 0 || ent.offer.capacity.CPU < ent.demand.CPU && !m.disabled.Has(policy.UrgentOffers)
}

// isServedBefore reports whether ent is offered capacity before other. Entries are ordered by
// their most urgent task, and equally urgent ones by the arrival of their oldest waiting jobs, or else by
// turn. An entry whose most urgent task does
// not fit into the free capacity comes after those whose task fits, because it would use the
// capacity for a less urgent task.
func (m *Machine) isServedBefore(ent, other *entryState, free sched.Resources, byArrival bool) bool {
	entFits, otherFits := free.CPU >= ent.demand.MinUrgentCPU, free.CPU >= other.demand.MinUrgentCPU
	if entFits != otherFits && !m.disabled.Has(policy.UrgentOffers) {
		return entFits
	}
	if ent.demand.IsMoreUrgent(&other.demand) != other.demand.IsMoreUrgent(&ent.demand) {
		return ent.demand.IsMoreUrgent(&other.demand)
	}
	if byArrival {
		return ent.stated.waitingSince < other.stated.waitingSince
	}
	return ent.lastOfferTurn < other.lastOfferTurn
}

// expireOffers withdraws offers that were not used in time.
func (m *Machine) expireOffers(now time.Duration) {
	for _, ent := range m.entries {
		if ent.offer.expiresAt > 0 && now >= ent.offer.expiresAt {
			ent.offer = offer{notBefore: now + offerBackoffDelay<<ent.unusedOffers}
			ent.unusedOffers = min(ent.unusedOffers+1, maxUnusedOffers)
		}
		if ent.offer.notBefore > 0 && now >= ent.offer.notBefore {
			ent.offer.notBefore = 0
		}
	}
}
