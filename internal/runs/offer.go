package runs

import (
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
)

// While entries wait for room, what becomes free is offered to one of them at a
// time. Told to all, each would send a task for the same room, and all but one
// would be refused: at a full fleet a task is sent dozens of times then, and its job
// is late for that alone.
//
// The most urgent task that fits goes first, whichever entry has it.

// An entry that did not use an offer is passed over for offerBackoffDelay, and each further time
// in a row for twice as long, up to maxUnusedOffers times (320 ms), until it is heard from. One
// that has found room elsewhere says so at once; one that is frozen says nothing, and with
// a short pause alone it would hold most of what becomes free until it wakes.
const (
	offerBackoffDelay = 5 * time.Millisecond
	maxUnusedOffers   = 6
)

// offerTimeout is how long room is held for an entry that was offered it: two round
// trips between failure domains, and a pause of its processor.
const offerTimeout = 20 * time.Millisecond

// offer is room that is held for one entry.
type offer struct {
	room      sched.Room
	expiresAt time.Duration // 0 if none is held
	notBefore time.Duration // no other one before
}

// freeRoomFor is what an entry may use: all that is free but what is offered to
// others.
func (m *Machine) freeRoomFor(ent *entryState) sched.Room {
	freeRoom := m.freeRoom()
	for _, other := range m.entries {
		if other != ent && other.offer.expiresAt > 0 {
			freeRoom = freeRoom.Minus(other.offer.room)
		}
	}
	return freeRoom
}

// makeOffers offers free room to entries that wait, the most urgent first and
// those of one urgency in turn, and gives those that were made an offer.
func (m *Machine) makeOffers(now time.Duration) map[*entryState]bool {
	if m.disabled.Has(policy.Offers) {
		return nil
	}
	var offered map[*entryState]bool
	for {
		free := m.freeRoomFor(nil)
		ent := m.nextEntryToOffer(now, free)
		if ent == nil {
			return offered
		}
		free.CPU = min(free.CPU, ent.demand.CPU-ent.offer.room.CPU)
		m.offerTurns++
		ent.offer, ent.lastOfferTurn = ent.offer.extendedBy(now, free), m.offerTurns
		if offered == nil {
			offered = make(map[*entryState]bool)
		}
		offered[ent] = true
	}
}

// extendedBy is the offer with more room. It ends when the first part of it does.
func (o offer) extendedBy(now time.Duration, more sched.Room) offer {
	if o.expiresAt == 0 {
		return offer{room: more, expiresAt: now + offerTimeout}
	}
	o.room = o.room.Plus(more)
	return o
}

// nextEntryToOffer is the entry that comes next and could use the room, or nil.
func (m *Machine) nextEntryToOffer(now time.Duration, free sched.Room) *entryState {
	var best *entryState
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if !m.canOffer(now, ent) || free.CPU < max(1, ent.demand.LeastCPU) {
			continue
		}
		if best == nil || m.isServedBefore(ent, best, free) {
			best = ent
		}
	}
	return best
}

// canOffer tells whether an entry may be offered room, or more of it than it has been:
// if what ends while its answer is on the way went to others, these would begin what is
// less urgent. One whose frames are held up on their way could not use it in time.
func (m *Machine) canOffer(now time.Duration, ent *entryState) bool {
	if !ent.isLinked || now < ent.offer.notBefore || ent.demand.CPU == 0 || ent.tasksAge > offerTimeout {
		return false
	}
	return ent.offer.expiresAt == 0 || ent.offer.room.CPU < ent.demand.CPU && !m.disabled.Has(policy.UrgentOffers)
}

// isServedBefore orders entries by the most urgent of their tasks, and those of one urgency
// by turn. An entry whose most urgent task does not fit into the room comes after those
// whose fits: it would use it for something that is less urgent.
func (m *Machine) isServedBefore(ent, other *entryState, free sched.Room) bool {
	entFits, otherFits := free.CPU >= ent.demand.UrgentCPU, free.CPU >= other.demand.UrgentCPU
	if entFits != otherFits && !m.disabled.Has(policy.UrgentOffers) {
		return entFits
	}
	if ent.demand.Priority != other.demand.Priority {
		return ent.demand.Priority < other.demand.Priority
	}
	return ent.lastOfferTurn < other.lastOfferTurn
}

// expireOffers takes back what was not used in time.
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
