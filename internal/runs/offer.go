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

// An entry that did not use an offer is passed over for offerPause, and each further time
// in a row for twice as long, up to mostUnused times (320 ms), until it is heard from. One
// that has found room elsewhere says so at once; one that is frozen says nothing, and with
// a short pause alone it would hold most of what becomes free until it wakes.
const (
	offerPause = 5 * time.Millisecond
	mostUnused = 6
)

// offerTime is how long room is held for an entry that was offered it: two round
// trips between failure domains, and a pause of its processor.
const offerTime = 20 * time.Millisecond

// offer is room that is held for one entry.
type offer struct {
	room  sched.Room
	until time.Duration // 0 if none is held
	pause time.Duration // no other one before
}

// freeFor is what an entry may use: all that is free but what is offered to
// others.
func (m *Machine) freeFor(p *permit) sched.Room {
	free := m.free()
	for _, o := range m.entries {
		if o != p && o.offer.until > 0 {
			free = free.Minus(o.offer.room)
		}
	}
	return free
}

// makeOffers offers free room to entries that wait, the most urgent first and
// those of one urgency in turn, and gives those that were made an offer.
func (m *Machine) makeOffers(now time.Duration) map[*permit]bool {
	if m.off.Has(policy.Offers) {
		return nil
	}
	var made map[*permit]bool
	for {
		left := m.freeFor(nil)
		p := m.nextWaiting(now, left)
		if p == nil {
			return made
		}
		left.CPU = min(left.CPU, p.demand.CPU-p.offer.room.CPU)
		m.turns++
		p.offer, p.turn = p.offer.grown(now, left), m.turns
		if made == nil {
			made = make(map[*permit]bool)
		}
		made[p] = true
	}
}

// grown is the offer with more room. It ends when the first part of it does.
func (o offer) grown(now time.Duration, more sched.Room) offer {
	if o.until == 0 {
		return offer{room: more, until: now + offerTime}
	}
	o.room = o.room.Plus(more)
	return o
}

// nextWaiting is the entry that comes next and could use the room, or nil.
func (m *Machine) nextWaiting(now time.Duration, left sched.Room) *permit {
	var best *permit
	for _, name := range m.names() {
		p := m.entries[name]
		if !m.mayOffer(now, p) || left.CPU < max(1, p.demand.LeastCPU) {
			continue
		}
		if best == nil || m.goesBefore(p, best, left) {
			best = p
		}
	}
	return best
}

// mayOffer tells whether an entry may be offered room, or more of it than it has been:
// if what ends while its answer is on the way went to others, these would begin what is
// less urgent. One whose frames are held up on their way could not use it in time.
func (m *Machine) mayOffer(now time.Duration, p *permit) bool {
	if !p.linked || now < p.offer.pause || p.demand.CPU == 0 || p.age > offerTime {
		return false
	}
	return p.offer.until == 0 || p.offer.room.CPU < p.demand.CPU && !m.off.Has(policy.UrgentOffers)
}

// goesBefore orders entries by the most urgent of their tasks, and those of one urgency
// by turn. An entry whose most urgent task does not fit into the room comes after those
// whose fits: it would use it for something that is less urgent.
func (m *Machine) goesBefore(p, o *permit, left sched.Room) bool {
	pFits, oFits := left.CPU >= p.demand.UrgentCPU, left.CPU >= o.demand.UrgentCPU
	if pFits != oFits && !m.off.Has(policy.UrgentOffers) {
		return pFits
	}
	if p.demand.Priority != o.demand.Priority {
		return p.demand.Priority < o.demand.Priority
	}
	return p.turn < o.turn
}

// endOffers takes back what was not used in time.
func (m *Machine) endOffers(now time.Duration) {
	for _, p := range m.entries {
		if p.offer.until > 0 && now >= p.offer.until {
			p.offer = offer{pause: now + offerPause<<p.unused}
			p.unused = min(p.unused+1, mostUnused)
		}
		if p.offer.pause > 0 && now >= p.offer.pause {
			p.offer.pause = 0
		}
	}
}
