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
func (d *Dispatcher) Offer(now time.Time, inc identity.Incarnation, o *wire.Offer) {
	g := d.findGuard(inc)
	if g == nil || !g.isConnected {
		return
	}
	d.setPendingOffers(g, g.pendingOffers-1)
	g.reservedAt = now
	d.applyLoad(now, g, &o.Load)
	if d.pool.Workers[g.workerIndex].State != sched.Usable {
		d.declineOffers(g)
	} else if t, ok := d.nextTaskFor(now, int32(g.workerIndex)); ok {
		d.sendTask(now, t, g.workerIndex, o.ID)
	} else {
		d.declineOffers(g)
	}
	d.dispatchWaiting(now)
}

// declineOffers withdraws all reservations at g, so that a slot that this entry
// does not need is not kept idle.
func (d *Dispatcher) declineOffers(g *guard) {
	d.setPendingOffers(g, 0)
	g.declinedAt = d.enqueueCount
	d.emit(Action{Guard: g.incarnation, Reserve: &wire.Reserve{}})
}

// nextTaskFor removes the next task that fits the worker and that its guard has
// not refused.
func (d *Dispatcher) nextTaskFor(now time.Time, workerIndex int32) (*task, bool) {
	if t, ok := d.takeParkedFor(now, workerIndex); ok {
		return t, true
	}
	for {
		t, ok := d.nextTask(now)
		if !ok {
			return nil, false
		}
		need := t.job.spec.Need
		switch {
		case !d.pool.Workers[workerIndex].HasRoom(need):
			d.park(t)
		case t.wasRefusedBy(workerIndex):
			d.skipped = append(d.skipped, t)
		default:
			return t, true
		}
	}
}

// reserveSlots reserves slots for the waiting tasks, starting at a random
// guard. Pending offers count towards the number needed: without that, each
// event reserved anew, and a fleet of 820 workers received six reservations per
// task.
func (d *Dispatcher) reserveSlots(now time.Time) {
	if !d.usesReservations() {
		return
	}
	n, missing := len(d.guards), reservationsPerTask*d.waitingTasks()-d.totalPendingOffers
	if missing <= 0 {
		return
	}
	perGuard := min(maxReservedPerGuard, (missing+n-1)/n)
	for i, workerIndex := 0, d.rng.IntN(n); i < n && missing > 0; i, workerIndex = i+1, (workerIndex+1)%n {
		g := d.guards[workerIndex]
		if g == nil || g.pendingOffers > 0 || d.pool.Workers[workerIndex].State != sched.Usable || g.declinedAt == d.enqueueCount || !d.canUseOffer(workerIndex) {
			continue
		}
		missing -= perGuard
		d.setPendingOffers(g, perGuard)
		g.reservedAt = now
		d.emit(Action{Guard: g.incarnation, Reserve: &wire.Reserve{Want: perGuard}})
	}
}

// expireReservations resets reservations that have not led to an offer within
// reservationTimeout, so that they can be made again.
func (d *Dispatcher) expireReservations(now time.Time) {
	for _, g := range d.guards {
		if g != nil && g.pendingOffers > 0 && now.Sub(g.reservedAt) > reservationTimeout {
			d.setPendingOffers(g, 0)
		}
	}
}

// usesReservations reports whether the policy lets tasks wait for offers.
func (d *Dispatcher) usesReservations() bool {
	switch d.policy.Placement {
	case LateBinding:
		return true
	case DefaultPlacement:
		return d.policy.Weighting == PreferResponseTime
	}
	return false
}

// setPendingOffers sets the number of offers that g still has to make. While it
// is not zero, placement treats the worker's slots as taken.
func (d *Dispatcher) setPendingOffers(g *guard, pendingOffers int) {
	pendingOffers = max(0, pendingOffers)
	d.totalPendingOffers += pendingOffers - g.pendingOffers
	g.pendingOffers = pendingOffers
	w := d.pool.Workers[g.workerIndex]
	w.HasReservation = g.pendingOffers > 0
	d.pool.Set(g.workerIndex, w)
}
