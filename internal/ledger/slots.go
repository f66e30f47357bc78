package ledger

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// maxReservedSlots limits the slots that one entry can reserve.
const maxReservedSlots = 1 << 16

// queuedTask is a task that waits for a slot.
type queuedTask struct {
	record    *record
	body      []byte
	deadline  time.Time
	expiresAt time.Time // end of the wait; not after deadline
}

// offer is a free slot that is reserved for one entry.
type offer struct {
	id        uint64
	recipient *entry
	expiresAt time.Time
}

// freeSlots returns the number of slots that are neither in use nor offered.
func (l *Ledger) freeSlots() int {
	if !l.acceptsWork() {
		return 0
	}
	return l.opt.Slots - l.running - len(l.offers)
}

func (l *Ledger) hasQueueRoom(body []byte) bool {
	return len(l.queue) < l.opt.MaxQueued && l.queueBytes+len(body) <= l.opt.MaxQueueBytes
}

func (l *Ledger) enqueue(now time.Time, r *record, s *wire.Start, deadline time.Time) {
	expiresAt := now.Add(cappedMilliseconds(s.WaitMs))
	if expiresAt.After(deadline) {
		expiresAt = deadline
	}
	l.queue = append(l.queue, &queuedTask{record: r, body: s.Body, deadline: deadline, expiresAt: expiresAt})
	l.queueBytes += len(s.Body)
}

func (l *Ledger) dequeue(r *record) {
	for i, task := range l.queue {
		if task.record == r {
			l.queue = slices.Delete(l.queue, i, i+1)
			l.queueBytes -= len(task.body)
			return
		}
	}
}

func (l *Ledger) refuseQueue(now time.Time, kind errkind.Kind) {
	waiting := l.queue
	l.queue, l.queueBytes = nil, 0
	for _, task := range waiting {
		l.refuse(now, task.record, kind)
	}
}

// assignSlots gives free slots to queued tasks in order of arrival, then offers the
// remaining slots to entries with reservations.
func (l *Ledger) assignSlots(now time.Time) {
	l.refuseExpired(now)
	for l.freeSlots() > 0 && len(l.queue) > 0 {
		task := l.queue[0]
		l.dequeue(task.record)
		l.startTask(task.record, task.body, task.deadline)
	}
	for l.freeSlots() > 0 {
		e := l.nextEntryToOffer()
		if e == nil {
			return
		}
		l.offer(now, e)
	}
}

// nextEntryToOffer selects entries in round-robin order, so that an entry with many
// waiting tasks cannot starve the others.
func (l *Ledger) nextEntryToOffer() *entry {
	for i := range l.entries {
		index := (l.nextEntry + i) % len(l.entries)
		if e := l.entries[index]; e.reserved > e.openOffers {
			l.nextEntry = index + 1
			return e
		}
	}
	return nil
}

func (l *Ledger) offer(now time.Time, e *entry) {
	l.lastOfferID++
	e.openOffers++
	l.offers = append(l.offers, offer{id: l.lastOfferID, recipient: e, expiresAt: now.Add(l.opt.OfferTimeout)})
	msg := &wire.Offer{ID: l.lastOfferID, HoldMs: l.opt.OfferTimeout.Milliseconds(), Load: l.loadReportFor(e.incarnation)}
	l.send(e.incarnation, &wire.Frame{Offer: msg})
}

// consumeOffer removes the offer with this ID if it is still open for the entry, and
// reports whether it was.
func (l *Ledger) consumeOffer(incarnation identity.Incarnation, id uint64) bool {
	if id == 0 {
		return false
	}
	for i, o := range l.offers {
		if o.id == id && o.recipient.incarnation == incarnation {
			l.removeOffer(i)
			return true
		}
	}
	return false
}

// removeOffer removes an offer and the reservation that it fulfilled, whether or not
// it was used. Otherwise an unresponsive entry would be offered the same slot
// indefinitely.
func (l *Ledger) removeOffer(i int) {
	e := l.offers[i].recipient
	e.openOffers--
	e.reserved--
	l.offers = slices.Delete(l.offers, i, i+1)
}

func (l *Ledger) withdrawOffers(e *entry) {
	l.offers = slices.DeleteFunc(l.offers, func(o offer) bool { return o.recipient == e })
	e.openOffers = 0
}

func (l *Ledger) withdrawAllOffers() {
	for _, e := range l.entries {
		l.withdrawOffers(e)
	}
}

// Reserve stores the number of tasks that wait for a slot at an entry. It replaces
// the previous number; open offers count against it.
func (l *Ledger) Reserve(now time.Time, from identity.Incarnation, r *wire.Reserve) {
	e := l.entry(from)
	if e == nil || l.fenced[from] {
		return
	}
	e.reserved = min(max(r.Want, 0), maxReservedSlots)
	if e.reserved == 0 {
		l.withdrawOffers(e)
	}
	l.assignSlots(now)
}

// Tick refuses queued tasks whose wait has ended and releases the slots of expired
// offers.
func (l *Ledger) Tick(now time.Time) {
	for i := len(l.offers) - 1; i >= 0; i-- {
		if !l.offers[i].expiresAt.After(now) {
			l.removeOffer(i)
		}
	}
	l.assignSlots(now)
}

// refuseExpired refuses each queued task whose wait has ended.
func (l *Ledger) refuseExpired(now time.Time) {
	var expired []*queuedTask
	for _, task := range l.queue {
		if !task.expiresAt.After(now) {
			expired = append(expired, task)
		}
	}
	for _, task := range expired {
		l.dequeue(task.record)
		kind := errkind.Busy
		if !task.deadline.After(now) {
			kind = errkind.DeadlineExpired
		}
		l.refuse(now, task.record, kind)
	}
}

// NextTick returns the time when Tick is next due, or the zero time if nothing is
// pending.
func (l *Ledger) NextTick() time.Time {
	var next time.Time
	keepEarliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, task := range l.queue {
		keepEarliest(task.expiresAt)
	}
	for _, o := range l.offers {
		keepEarliest(o.expiresAt)
	}
	return next
}
