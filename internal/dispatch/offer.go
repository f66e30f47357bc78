package dispatch

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Late binding: while tasks wait and no slot is believed free, the entry
// reserves slots at the guards, and a guard offers one when it frees. The task
// is bound to a worker at that moment, so it never waits behind another one.

// mostReserved bounds what is reserved at one guard at a time.
const mostReserved = 4

// reservePerTask is at how many guards each waiting task reserves.
const reservePerTask = 4

// renewAfter is when a reservation that brought no offer is made again. Offers
// and reservations can cross on a link, and the two ends then disagree on what
// is owed; without the repetition a queue could wait for an offer for good.
const renewAfter = 250 * time.Millisecond

// Offer implements Machine.
func (c *Core) Offer(now time.Time, inc identity.Incarnation, o *wire.Offer) {
	g := c.guardAt(inc)
	if g == nil || !g.up {
		return
	}
	c.setWant(g, g.want-1)
	g.reserved = now
	c.takeLoad(now, g, &o.Load)
	if c.pool.Workers[g.place].State != sched.Usable {
		c.decline(g)
	} else if t, ok := c.nextFor(now, int32(g.place)); ok {
		c.send(now, t, g.place, o.ID)
	} else {
		c.decline(g)
	}
	c.pump(now)
}

// decline withdraws all reservations at g, so that a slot that nobody here
// needs is not held idle.
func (c *Core) decline(g *guard) {
	c.setWant(g, 0)
	g.declined = c.arrivals
	c.act(Action{Guard: g.incarnation, Reserve: &wire.Reserve{}})
}

// nextFor takes the next task that fits the worker at a place and that it has
// not refused.
func (c *Core) nextFor(now time.Time, place int32) (*task, bool) {
	if t, ok := c.apartFor(now, place); ok {
		return t, true
	}
	for {
		t, ok := c.next(now)
		if !ok {
			return nil, false
		}
		need := t.job.spec.Need
		switch {
		case !c.pool.Workers[place].HasRoom(need):
			c.setApart(t)
		case t.wasRefusedBy(place):
			c.aside = append(c.aside, t)
		default:
			return t, true
		}
	}
}

// reserve asks guards for slots for the tasks that wait, beginning at a random
// one. What is owed already counts: asked anew at each event, a fleet of 820
// workers was sent six reservations for each task.
func (c *Core) reserve(now time.Time) {
	if !c.reserves() {
		return
	}
	n, missing := len(c.guards), reservePerTask*c.waitingTasks()-c.owed
	if missing <= 0 {
		return
	}
	each := min(mostReserved, (missing+n-1)/n)
	for i, at := 0, c.rng.IntN(n); i < n && missing > 0; i, at = i+1, (at+1)%n {
		g := c.guards[at]
		if g == nil || g.want > 0 || c.pool.Workers[at].State != sched.Usable || g.declined == c.arrivals || !c.wantsOffer(at) {
			continue
		}
		missing -= each
		c.setWant(g, each)
		g.reserved = now
		c.act(Action{Guard: g.incarnation, Reserve: &wire.Reserve{Want: each}})
	}
}

// forgetReservations lets reservations be made anew that brought no offer for
// long.
func (c *Core) forgetReservations(now time.Time) {
	for _, g := range c.guards {
		if g != nil && g.want > 0 && now.Sub(g.reserved) > renewAfter {
			c.setWant(g, 0)
		}
	}
}

func (c *Core) reserves() bool {
	switch c.policy.Placement {
	case LateBinding:
		return true
	case Chosen:
		return c.policy.Weighting == WeighResponse
	}
	return false
}

func (c *Core) setWant(g *guard, want int) {
	want = max(0, want)
	c.owed += want - g.want
	g.want = want
	w := c.pool.Workers[g.place]
	w.HasReservation = g.want > 0
	c.pool.Set(g.place, w)
}
