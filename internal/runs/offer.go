package runs

import (
	"time"

	"wigeontray/internal/sched"
)

// While entries wait for room, what becomes free is offered to one of them at a
// time. Told to all, each would send a task for the same room, and all but one
// would be refused: with four entries at a full fleet a task was sent up to 38
// times, and its job was late for that alone.

// offerPause is how long an entry that did not use an offer is passed over. It may
// have found room elsewhere in the meantime, or be frozen.
const offerPause = 50 * time.Millisecond

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
	var made map[*permit]bool
	for {
		left := m.freeFor(nil)
		p := m.nextWaiting(now, left)
		if p == nil {
			return made
		}
		left.CPU = min(left.CPU, p.want.CPU)
		m.turns++
		p.offer, p.turn = offer{room: left, until: now + offerTime}, m.turns
		if made == nil {
			made = make(map[*permit]bool)
		}
		made[p] = true
	}
}

// nextWaiting is the entry that comes next and could use the room, or nil.
func (m *Machine) nextWaiting(now time.Duration, left sched.Room) *permit {
	var best *permit
	for _, name := range m.names() {
		p := m.entries[name]
		if !p.linked || p.offer.until > 0 || now < p.offer.pause || p.want.CPU == 0 || left.CPU < max(1, p.want.LeastCPU) {
			continue
		}
		if best == nil || p.want.Priority < best.want.Priority || p.want.Priority == best.want.Priority && p.turn < best.turn {
			best = p
		}
	}
	return best
}

// endOffers takes back what was not used in time.
func (m *Machine) endOffers(now time.Duration) {
	for _, p := range m.entries {
		if p.offer.until > 0 && now >= p.offer.until {
			p.offer = offer{pause: now + offerPause}
		}
		if p.offer.pause > 0 && now >= p.offer.pause {
			p.offer.pause = 0
		}
	}
}
