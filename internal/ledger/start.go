package ledger

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Start takes a Start from an entry. A Ref that is known already is never
// started again: while it waits or runs, its result goes to the newest link of
// its home; once it is settled, the same result is sent again.
func (l *Ledger) Start(now time.Time, from identity.Incarnation, s *wire.Start) {
	if r, ok := l.memory.records[s.Ref]; ok {
		l.resent(from, r)
		return
	}
	birthMs, refusal := l.check(now, from, s)
	if refusal != nil {
		l.sendResult(from, *refusal)
		return
	}
	r := l.memory.add(s.Ref, s.Of, from, birthMs)
	if kind := l.admit(s); kind != errkind.None {
		l.refuse(now, r, kind)
		return
	}
	l.place(now, r, s)
}

// resent answers a Start of a known Ref. Another entry than its home is told
// at most that it ran: it asks with Collect once the home is fenced.
func (l *Ledger) resent(from identity.Incarnation, r *record) {
	switch {
	case r.settled() && (from == r.home || r.state == refused):
		l.sendResult(from, r.answer())
	case from != r.home:
		// ran is still unknown unless the record is done.
		l.sendResult(from, *refusal(r.ref, errkind.OutcomeUnknown, r.ran, "the task belongs to another entry"))
	}
}

// check refuses what needs no memory to be refused again. RanNo is claimed only
// where every later Start of the Ref is refused too; what fails by its birth or
// its sender might have run before, or might still be sent by its home.
func (l *Ledger) check(now time.Time, from identity.Incarnation, s *wire.Start) (int64, *wire.Result) {
	if l.opt.Member != "" && s.Ref.Member != l.opt.Member {
		return 0, refusal(s.Ref, errkind.Forbidden, errkind.RanNo, "the upstream belongs to another member")
	}
	key, err := identity.Parse(s.Ref.Key)
	if err != nil {
		return 0, refusal(s.Ref, errkind.BadRequest, errkind.RanNo, err.Error())
	}
	if key.BirthMs < l.memory.floorMs {
		return 0, refusal(s.Ref, errkind.IdentityExpired, errkind.RanUnknown, "born before what this guard remembers")
	}
	if key.BirthMs > now.Add(MaxAhead).UnixMilli() {
		return 0, refusal(s.Ref, errkind.IdentityExpired, errkind.RanUnknown, "born in the future")
	}
	if s.Home != from || key.Home != "" && key.Home != from {
		return 0, refusal(s.Ref, errkind.BadRequest, errkind.RanUnknown, "sent by another entry than its home")
	}
	if l.draining {
		return 0, refusal(s.Ref, errkind.Draining, errkind.RanNo, "")
	}
	return key.BirthMs, nil
}

func refusal(ref wire.Ref, kind errkind.Kind, ran errkind.Ran, detail string) *wire.Result {
	return &wire.Result{Ref: ref, Kind: kind, Ran: ran, Detail: detail}
}

// admit gives the reason for which a task is refused whatever slots are free,
// or None.
func (l *Ledger) admit(s *wire.Start) errkind.Kind {
	switch {
	case l.fenced[s.Home]:
		return errkind.Fenced
	case s.LeftMs <= 0:
		return errkind.DeadlineExpired
	case !l.healthy:
		return errkind.Busy
	}
	return errkind.None
}

// place runs a task on its offered slot or on a free one, else lets it wait,
// else refuses it.
func (l *Ledger) place(now time.Time, r *record, s *wire.Start) {
	deadline := now.Add(milliseconds(s.LeftMs))
	switch {
	case l.takeOffer(r.home, s.Offered), l.free() > 0:
		l.run(r, s.Body, deadline)
	case s.WaitMs > 0 && l.roomInQueue(s.Body):
		l.enqueue(now, r, s, deadline)
	default:
		l.refuse(now, r, errkind.Busy)
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, maxLeftMs)) * time.Millisecond
}

func (l *Ledger) run(r *record, body []byte, deadline time.Time) {
	r.state = running
	l.running++
	l.actions = append(l.actions, Action{Run: &Run{Ref: r.ref, Body: body, Deadline: deadline}})
}

// refuse settles a record that was never started. The record stays, so that the
// refusal is true for good: the entry may send the task elsewhere on it, and a
// duplicate of this Start that a lost link delayed must not run it here too.
func (l *Ledger) refuse(now time.Time, r *record, kind errkind.Kind) {
	res := refusal(r.ref, kind, errkind.RanNo, "")
	l.memory.settle(now, r, refused, res)
	l.sendResult(r.home, *res)
}

// Finished takes the result of a Run. Ran == RanNo says that the request
// provably never reached the upstream. Each Run is finished once; a second
// result is ignored.
func (l *Ledger) Finished(now time.Time, res wire.Result) {
	r, ok := l.memory.records[res.Ref]
	if !ok || r.state != running {
		return
	}
	l.running--
	next := done
	switch {
	case res.Kind == errkind.None:
		res.Ran = errkind.RanYes
	case res.Ran == errkind.RanNo:
		next = refused
	}
	l.memory.settle(now, r, next, &res)
	l.assign(now)
	l.sendResult(r.home, res)
}

// Cancel withdraws a task for its home. A Ref that never came is remembered as
// cancelled, since its Start may still be under way on an older link.
func (l *Ledger) Cancel(now time.Time, from identity.Incarnation, c *wire.Cancel) {
	r, ok := l.memory.records[c.Ref]
	if !ok {
		l.cancelUnknown(now, from, c.Ref)
		return
	}
	if r.home != from {
		return
	}
	switch r.state {
	case queued:
		l.dequeue(r)
		l.refuse(now, r, errkind.Cancelled)
	case refused:
		l.sendResult(from, r.answer())
	}
}

func (l *Ledger) cancelUnknown(now time.Time, from identity.Incarnation, ref wire.Ref) {
	birthMs, refusal := l.check(now, from, &wire.Start{Ref: ref, Home: from})
	if refusal != nil {
		l.sendResult(from, *refusal)
		return
	}
	l.refuse(now, l.memory.add(ref, 0, from, birthMs), errkind.Cancelled)
}

func (l *Ledger) sendResult(to identity.Incarnation, res wire.Result) {
	if l.entry(to) == nil {
		return
	}
	res.Load = l.loadFor(to)
	l.send(to, &wire.Frame{Result: &res})
}
