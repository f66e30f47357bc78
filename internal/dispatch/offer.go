package dispatch

import (
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Late binding: while tasks are waiting and no slot is estimated to be free,
// the entry reserves slots at the guards, and a guard offers a slot when one
// becomes free. Only then is a task assigned to that worker, so that it never
// waits behind another task.

// maxReservedPerGuard limits the slots reserved at one guard at a time.
const maxReservedPerGuard = 4

// reservationsPerTask is the number of reservations made for each waiting task.
const reservationsPerTask = 4

// reservationTimeout is the time after which a reservation without an offer is
// made again. Offers and reservations can cross on a link and leave both ends
// with different counts of pending offers; without a timeout a queue could wait
// for an offer forever.
const reservationTimeout = 250 * time.Millisecond

// Offer implements Machine.
func (c *Dispatcher) Offer(now time.Time, inc identity.Incarnation, o *wire.Offer) {
	g := c.findGuard(inc)
	if g == nil || !g.isConnected {
		return
	}
	c.setPendingOffers(g, g.pendingOffers-1)
	g.reservedAt = now
	c.applyLoad(now, g, &o.Load)
	if c.pool.Workers[g.workerIndex].State != sched.Usable {
		c.declineOffers(g)
	} else if t, ok := c.nextTaskFor(now, int32(g.workerIndex)); ok {
		c.sendTask(now, t, g.workerIndex, o.ID)
	} else {
		c.declineOffers(g)
	}
	c.dispatchWaiting(now)
}

// declineOffers withdraws all reservations at g, so that a slot that this entry
// does not need is not kept idle.
func (c *Dispatcher) declineOffers(g *guard) {
	c.setPendingOffers(g, 0)
	g.declinedAt = c.enqueueCount
	c.emit(Action{Guard: g.incarnation, Reserve: &wire.Reserve{}})
}

// nextTaskFor removes the next task that fits the worker and that its guard has
// not refused.
func (c *Dispatcher) nextTaskFor(now time.Time, workerIndex int32) (*task, bool) {
	if t, ok := c.takeParkedFor(now, workerIndex); ok {
		return t, true
	}
	for {
		t, ok := c.nextTask(now)
		if !ok {
			return nil, false
		}
		need := t.job.spec.Need
		switch {
		case !c.pool.Workers[workerIndex].HasRoom(need):
			c.park(t)
		case t.wasRefusedBy(workerIndex):
			c.skipped = append(c.skipped, t)
		default:
			return t, true
		}
	}
}

// reserveSlots reserves slots for the waiting tasks, starting at a random
// guard. Pending offers count towards the number needed: without that, each
// event reserved anew, and a fleet of 820 workers received six reservations per
// task.
func (c *Dispatcher) reserveSlots(now time.Time) {
	if !c.usesReservations() {
		return
	}
	n, missing := len(c.guards), reservationsPerTask*c.waitingTasks()-c.totalPendingOffers
	if missing <= 0 {
		return
	}
	perGuard := min(maxReservedPerGuard, (missing+n-1)/n)
	for i, workerIndex := 0, c.rng.IntN(n); i < n && missing > 0; i, workerIndex = i+1, (workerIndex+1)%n {
		g := c.guards[workerIndex]
		if g == nil || g.pendingOffers > 0 || c.pool.Workers[workerIndex].State != sched.Usable || g.declinedAt == c.enqueueCount || !c.canUseOffer(workerIndex) {
			continue
		}
		missing -= perGuard
		c.setPendingOffers(g, perGuard)
		g.reservedAt = now
		c.emit(Action{Guard: g.incarnation, Reserve: &wire.Reserve{Want: perGuard}})
	}
}

// expireReservations resets reservations that have not led to an offer within
// reservationTimeout, so that they can be made again.
func (c *Dispatcher) expireReservations(now time.Time) {
	for _, g := range c.guards {
		if g != nil && g.pendingOffers > 0 && now.Sub(g.reservedAt) > reservationTimeout {
			c.setPendingOffers(g, 0)
		}
	}
}

// usesReservations reports whether the policy lets tasks wait for offers.
func (c *Dispatcher) usesReservations() bool {
	switch c.policy.Placement {
	case LateBinding:
		return true
	case DefaultPlacement:
		return c.policy.Weighting == PreferResponseTime
	}
	return false
}

// setPendingOffers sets the number of offers that g still has to make. While it
// is not zero, placement treats the worker's slots as taken.
func (c *Dispatcher) setPendingOffers(g *guard, pendingOffers int) {
	pendingOffers = max(0, pendingOffers)
	c.totalPendingOffers += pendingOffers - g.pendingOffers
	g.pendingOffers = pendingOffers
	w := c.pool.Workers[g.workerIndex]
	w.HasReservation = g.pendingOffers > 0
	c.pool.Set(g.workerIndex, w)
}
