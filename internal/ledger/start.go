package ledger

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Start handles a Start from an entry. A Ref that has a record is never started
// again. While it is queued or running, its result will go to the newest link of its
// home; once it is settled, the stored result is sent again.
func (l *Ledger) Start(now time.Time, from identity.Incarnation, s *wire.Start) {
	if r, ok := l.recordTable.records[s.Ref]; ok {
		l.answerDuplicate(from, r)
		return
	}
	birthMs, refusal := l.validateStart(now, from, s)
	if refusal != nil {
		l.sendResult(from, *refusal)
		return
	}
	r := l.recordTable.add(s.Ref, s.Of, from, birthMs)
	if kind := l.refusalKind(s); kind != errkind.None {
		l.refuse(now, r, kind)
		return
	}
	l.placeTask(now, r, s)
}

// answerDuplicate answers a Start of a Ref that has a record. An entry other than
// its home is only informed whether the task is known to have run; once the home is
// fenced, it uses Collect to get the results.
func (l *Ledger) answerDuplicate(from identity.Incarnation, r *record) {
	switch {
	case r.settled() && (from == r.home || r.state == refused):
		l.sendResult(from, r.finalResult())
	case from != r.home:
		// r.ran is RanUnknown unless the task is done.
		l.sendResult(from, *newRefusal(r.ref, errkind.OutcomeUnknown, r.ran, "the task belongs to another entry"))
	}
}

// validateStart makes the checks whose refusals need no record. It claims RanNo only
// if every later Start of the Ref is refused too. A task refused for its birth or
// its sender may have run before, or its home may still send it, so the refusal
// claims RanUnknown.
func (l *Ledger) validateStart(now time.Time, from identity.Incarnation, s *wire.Start) (int64, *wire.Result) {
	if l.opt.Member != "" && s.Ref.Member != l.opt.Member {
		return 0, newRefusal(s.Ref, errkind.Forbidden, errkind.RanNo, "the upstream belongs to another member")
	}
	key, err := identity.Parse(s.Ref.Key)
	if err != nil {
		return 0, newRefusal(s.Ref, errkind.BadRequest, errkind.RanNo, err.Error())
	}
	if key.BirthMs < l.recordTable.floorMs {
		return 0, newRefusal(s.Ref, errkind.IdentityExpired, errkind.RanUnknown, "born before what this guard remembers")
	}
	if key.BirthMs > now.Add(MaxClockSkew).UnixMilli() {
		return 0, newRefusal(s.Ref, errkind.IdentityExpired, errkind.RanUnknown, "born in the future")
	}
	if s.Home != from || key.Home != "" && key.Home != from {
		return 0, newRefusal(s.Ref, errkind.BadRequest, errkind.RanUnknown, "sent by another entry than its home")
	}
	if l.isDraining {
		return 0, newRefusal(s.Ref, errkind.Draining, errkind.RanNo, "")
	}
	return key.BirthMs, nil
}

func newRefusal(ref wire.Ref, kind errkind.Kind, ran errkind.Ran, detail string) *wire.Result {
	return &wire.Result{Ref: ref, Kind: kind, Ran: ran, Detail: detail}
}

// refusalKind returns the reason to refuse a task regardless of free slots, or None.
func (l *Ledger) refusalKind(s *wire.Start) errkind.Kind {
	switch {
	case l.fenced[s.Home]:
		return errkind.Fenced
	case s.LeftMs <= 0:
		return errkind.DeadlineExpired
	case !l.isHealthy:
		return errkind.Busy
	}
	return errkind.None
}

// placeTask runs a task on its offered slot or on a free slot, otherwise queues it,
// and refuses it if it cannot wait or the queue is full.
func (l *Ledger) placeTask(now time.Time, r *record, s *wire.Start) {
	deadline := now.Add(cappedMilliseconds(s.LeftMs))
	switch {
	case l.consumeOffer(r.home, s.OfferID), l.freeSlots() > 0:
		l.startTask(r, s.Body, deadline)
	case s.WaitMs > 0 && l.hasQueueRoom(s.Body):
		l.enqueue(now, r, s, deadline)
	default:
		l.refuse(now, r, errkind.Busy)
	}
}

func cappedMilliseconds(n int64) time.Duration {
	return time.Duration(min(n, maxDurationMs)) * time.Millisecond
}

func (l *Ledger) startTask(r *record, body []byte, deadline time.Time) {
	r.state = running
	l.running++
	l.actions = append(l.actions, Action{Run: &Run{Ref: r.ref, Body: body, Deadline: deadline}})
}

// refuse settles a record that was never started. The record is kept so that the
// refusal is final: the entry may send the task to another guard because of it, and
// a duplicate of this Start that was delayed on a lost link must not run here as
// well.
func (l *Ledger) refuse(now time.Time, r *record, kind errkind.Kind) {
	res := newRefusal(r.ref, kind, errkind.RanNo, "")
	l.recordTable.settle(now, r, refused, res)
	l.sendResult(r.home, *res)
}

// FinishTask handles the result of a Run. Ran == RanNo means that the request
// provably never reached the upstream. Each Run has one result; a second one is
// ignored.
func (l *Ledger) FinishTask(now time.Time, res wire.Result) {
	r, ok := l.recordTable.records[res.Ref]
	if !ok || r.state != running {
		return
	}
	l.running--
	finalState := done
	switch {
	case res.Kind == errkind.None:
		res.Ran = errkind.RanYes
	case res.Ran == errkind.RanNo:
		finalState = refused
	}
	l.recordTable.settle(now, r, finalState, &res)
	l.assignSlots(now)
	l.sendResult(r.home, res)
}

// Cancel withdraws a task at the request of its home. A Ref without a record is
// recorded as cancelled, since its Start may still be in transit on an older link.
func (l *Ledger) Cancel(now time.Time, from identity.Incarnation, c *wire.Cancel) {
	r, ok := l.recordTable.records[c.Ref]
	if !ok {
		l.cancelUnknownTask(now, from, c.Ref)
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
		l.sendResult(from, r.finalResult())
	}
}

func (l *Ledger) cancelUnknownTask(now time.Time, from identity.Incarnation, ref wire.Ref) {
	birthMs, refusal := l.validateStart(now, from, &wire.Start{Ref: ref, Home: from})
	if refusal != nil {
		l.sendResult(from, *refusal)
		return
	}
	l.refuse(now, l.recordTable.add(ref, 0, from, birthMs), errkind.Cancelled)
}

func (l *Ledger) sendResult(to identity.Incarnation, res wire.Result) {
	if l.entry(to) == nil {
		return
	}
	res.Load = l.loadReportFor(to)
	l.send(to, &wire.Frame{Result: &res})
}
