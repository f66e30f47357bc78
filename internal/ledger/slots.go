package ledger

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// maxWant bounds what one entry can reserve.
const maxWant = 1 << 16

// waiter is a task in the queue.
type waiter struct {
	record   *record
	body     []byte
	deadline time.Time
	until    time.Time // end of the wait; never after deadline
}

// offer is a free slot that is held for one entry.
type offer struct {
	id    uint64
	to    *entry
	until time.Time
}

// free counts slots that neither a task nor an offer takes.
func (l *Ledger) free() int {
	if !l.open() {
		return 0
	}
	return l.opt.Slots - l.running - len(l.offers)
}

func (l *Ledger) roomInQueue(body []byte) bool {
	return len(l.queue) < l.opt.MaxQueued && l.queueBytes+len(body) <= l.opt.QueueBytes
}

func (l *Ledger) enqueue(now time.Time, r *record, s *wire.Start, deadline time.Time) {
	until := now.Add(milliseconds(s.WaitMs))
	if until.After(deadline) {
		until = deadline
	}
	l.queue = append(l.queue, &waiter{record: r, body: s.Body, deadline: deadline, until: until})
	l.queueBytes += len(s.Body)
}

func (l *Ledger) dequeue(r *record) {
	for i, w := range l.queue {
		if w.record == r {
			l.queue = slices.Delete(l.queue, i, i+1)
			l.queueBytes -= len(w.body)
			return
		}
	}
}

func (l *Ledger) refuseQueue(now time.Time, kind errkind.Kind) {
	waiting := l.queue
	l.queue, l.queueBytes = nil, 0
	for _, w := range waiting {
		l.refuse(now, w.record, kind)
	}
}

// assign gives free slots to waiting tasks in order of arrival, then offers the
// rest to entries that reserved one.
func (l *Ledger) assign(now time.Time) {
	l.expireQueue(now)
	for l.free() > 0 && len(l.queue) > 0 {
		w := l.queue[0]
		l.dequeue(w.record)
		l.run(w.record, w.body, w.deadline)
	}
	for l.free() > 0 {
		e := l.nextReserved()
		if e == nil {
			return
		}
		l.offer(now, e)
	}
}

// nextReserved goes round the entries, so that one with many waiting tasks
// cannot keep the others from every slot.
func (l *Ledger) nextReserved() *entry {
	for i := range l.entries {
		at := (l.turn + i) % len(l.entries)
		if e := l.entries[at]; e.want > e.offered {
			l.turn = at + 1
			return e
		}
	}
	return nil
}

func (l *Ledger) offer(now time.Time, e *entry) {
	l.offerID++
	e.offered++
	l.offers = append(l.offers, offer{id: l.offerID, to: e, until: now.Add(l.opt.Hold)})
	msg := &wire.Offer{ID: l.offerID, HoldMs: l.opt.Hold.Milliseconds(), Load: l.loadFor(e.name)}
	l.send(e.name, &wire.Frame{Offer: msg})
}

// takeOffer uses up the offer id if it is still held for the entry.
func (l *Ledger) takeOffer(name identity.Incarnation, id uint64) bool {
	if id == 0 {
		return false
	}
	for i, o := range l.offers {
		if o.id == id && o.to.name == name {
			l.endOffer(i)
			return true
		}
	}
	return false
}

// endOffer removes an offer and the reservation that it answered, used or not:
// an entry that is frozen would otherwise be offered the same slot for ever.
func (l *Ledger) endOffer(i int) {
	e := l.offers[i].to
	e.offered--
	e.want--
	l.offers = slices.Delete(l.offers, i, i+1)
}

func (l *Ledger) releaseOffers(e *entry) {
	l.offers = slices.DeleteFunc(l.offers, func(o offer) bool { return o.to == e })
	e.offered = 0
}

func (l *Ledger) releaseAllOffers() {
	for _, e := range l.entries {
		l.releaseOffers(e)
	}
}

// Reserve takes an entry's count of tasks that wait for a slot. It replaces the
// earlier one; offers that are still held count against it.
func (l *Ledger) Reserve(now time.Time, from identity.Incarnation, r *wire.Reserve) {
	e := l.entry(from)
	if e == nil || l.fenced[from] {
		return
	}
	e.want = min(max(r.Want, 0), maxWant)
	if e.want == 0 {
		l.releaseOffers(e)
	}
	l.assign(now)
}

// Tick refuses tasks whose wait is over and frees slots whose offer lapsed.
func (l *Ledger) Tick(now time.Time) {
	for i := len(l.offers) - 1; i >= 0; i-- {
		if !l.offers[i].until.After(now) {
			l.endOffer(i)
		}
	}
	l.assign(now)
}

// expireQueue refuses each waiting task whose wait is over.
func (l *Ledger) expireQueue(now time.Time) {
	var over []*waiter
	for _, w := range l.queue {
		if !w.until.After(now) {
			over = append(over, w)
		}
	}
	for _, w := range over {
		l.dequeue(w.record)
		kind := errkind.Busy
		if !w.deadline.After(now) {
			kind = errkind.DeadlineExpired
		}
		l.refuse(now, w.record, kind)
	}
}

// NextTick tells when Tick is next due; zero for never.
func (l *Ledger) NextTick() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, w := range l.queue {
		sooner(w.until)
	}
	for _, o := range l.offers {
		sooner(o.until)
	}
	return next
}
