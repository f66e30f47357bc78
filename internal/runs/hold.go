package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// pumpHold sends a Hold if one is due. While anything runs there is always one
// under way.
func (m *Machine) pumpHold(now time.Duration) {
	switch {
	case m.life.holding || now < m.life.holdAt || !m.wantsHold():
	case m.next != nil:
		m.verify(now)
	default:
		m.hold(now)
	}
}

// wantsHold tells whether the worker has to be asked. An idle one is not.
func (m *Machine) wantsHold() bool {
	l := &m.life
	if m.next != nil {
		return true
	}
	return l.id != "" && (len(m.runs) > 0 || l.strays || l.probe || l.cursor > l.acked)
}

func (m *Machine) hold(now time.Duration) {
	l := &m.life
	h := &Hold{Lease: m.leaseFrom(now), Ack: l.cursor, AnswerIn: m.holdIn(now, l.silent)}
	switch {
	case l.left:
		h.UntilMs, h.Wait = 0, m.holdWait(now) // it ends
	case l.silent > 0:
		// Renewed blindly, the lease of a worker that hears and cannot be heard
		// would never end, and its tasks could not be given to another.
		h.UntilMs = 0
	case len(m.runs) > 0:
		h.Wait = m.holdWait(now)
		m.noteOrder(now)
	}
	l.holding, l.holdSent, l.holdWait, l.ackSent, l.probe = true, now, h.Wait, l.cursor, false
	m.actions = append(m.actions, Action{Hold: h})
}

// holdWait is how long a Hold may wait. While a stop is in doubt or a run is missed the
// lists are wanted at once.
func (m *Machine) holdWait(now time.Duration) time.Duration {
	stops := false
	for _, r := range m.runs {
		if r.missed > 0 {
			return 0
		}
		stops = stops || r.state == stopping
	}
	switch {
	case stops:
		return retryOrder
	case m.doubts(now):
		return doubtWait
	}
	return renewEvery
}

// verify asks the worker whether it is the life that has reported, under a token
// above every earlier one: the worker's own clock, which only grows within a life.
func (m *Machine) verify(now time.Duration) {
	l := &m.life
	l.token = max(m.next.ClockMs, 1)
	l.holding, l.holdSent, l.holdWait = true, now, 0
	h := &Hold{Lease: Lease{Worker: m.next.ID, Token: l.token}, AnswerIn: m.holdIn(now, l.unverified)}
	m.actions = append(m.actions, Action{Hold: h})
}

// Held takes the answer to a Hold that was sent for the given life.
func (m *Machine) Held(now time.Duration, worker string, a *HoldAnswer) {
	m.life.holding = false
	m.noteAnswer(now, a.Verdict)
	if took := now - m.life.holdSent - m.life.holdWait; a.Verdict != NoAnswer && took > 0 {
		m.noteDelay(took)
	}
	if m.next != nil && worker == m.next.ID {
		m.verified(now, a)
	} else if worker == m.life.id {
		m.answered(now, a)
	}
	m.pumpHold(now)
}

func (m *Machine) verified(now time.Duration, a *HoldAnswer) {
	switch a.Verdict {
	case Done:
		m.adopt(now, a)
	case FencedOff:
		m.next.ClockMs = a.ClockMs
	case OtherWorker:
		m.next = nil
	default:
		m.life.unverified++
		m.life.holdAt = now + retryOrder
	}
}

func (m *Machine) answered(now time.Duration, a *HoldAnswer) {
	l := &m.life
	switch a.Verdict {
	case Done:
		m.noteClock(now, a.ClockMs)
		l.silent, l.gone, l.heard, l.acked = 0, false, now, max(l.acked, l.ackSent)
		m.takeEnds(now, a.Ended)
		m.reconcile(now, a.Active)
		m.setUsable(now, !l.strays)
		m.endLeft(now)
	case OtherWorker:
		m.endLife(now)
		m.announce(now)
	case FencedOff:
		// Another guard of this worker took over, or an earlier one had a
		// greater token.
		l.token = max(l.token, a.ClockMs)
		l.holdAt = now + retryOrder
	default:
		m.life.gone = m.life.gone || a.Gone
		m.unanswered(now)
	}
}

func (m *Machine) unanswered(now time.Duration) {
	l := &m.life
	l.silent++
	l.holdAt = now + retryOrder
	if l.silent < silentHolds {
		l.probe = true
		return
	}
	m.setUsable(now, false)
	l.holdAt = now + probeEvery
	l.probe = true
}

// takeEnds settles the runs whose end is listed.
func (m *Machine) takeEnds(now time.Duration, ends []Ended) {
	for _, e := range ends {
		if e.Number <= m.life.cursor {
			continue // listed again, as its acknowledgement was not there yet
		}
		m.life.cursor = e.Number
		if r := m.runs[e.Key]; r != nil {
			m.end(now, r, endOf(r, e.How))
		}
	}
}

func endOf(r *run, how How) wire.RunEnd {
	switch how {
	case EndDone:
		return wire.RunEnd{Ran: errkind.RanYes}
	case EndFailed:
		return wire.RunEnd{Kind: errkind.UpstreamFailed, Ran: errkind.RanYes}
	}
	if r.state == stopping {
		return r.why
	}
	return wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes}
}

// reconcile compares the books with what the worker lists. A run that was there
// before the Hold was sent, and is neither listed as present nor as ended, is
// gone; so is one whose stop was confirmed before. A worker that crashed while it was asked
// may have answered in its next life, so that a run that is missed is looked for once more.
func (m *Machine) reconcile(now time.Duration, active []Active) {
	listed := make(map[Key]bool, len(active))
	for _, a := range active {
		listed[a.Key] = true
		m.watch(now, a)
	}
	m.watchPace(now)
	m.watchHang(now)
	m.stopStrays(now, active)
	sent := m.life.holdSent
	for _, r := range m.inOrder() {
		if listed[r.key] {
			r.missed = 0
			continue
		}
		switch {
		case r.state == running && r.present < sent && r.missed == 0:
			r.missed, m.life.holdAt = now, now
		case r.state == running && r.missed > 0 && r.missed <= sent:
			m.end(now, r, wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes})
		case r.state == stopping && r.stopped > 0 && r.stopped < sent:
			m.end(now, r, r.why)
		}
	}
}

// Bounds of the time for which a run may stand still. A worker shows whole
// percents: one that is slow by a factor of eight advances by one in a twelfth of
// the expected time.
const (
	stallLeast = 150 * time.Millisecond
	stallMost  = 600 * time.Millisecond
)

// watch stops a run that stands still. Its worker counts as busy with it for as
// long as the caller waits, which may be ten times its length; started elsewhere,
// the task may still end in time, and the entry learns which worker hangs.
func (m *Machine) watch(now time.Duration, a Active) {
	r := m.runs[a.Key]
	if r == nil || r.state != running {
		return
	}
	if a.Percent != r.percent {
		r.percent, r.advanced = a.Percent, now
		return
	}
	limit := min(max(r.expect, stallLeast), stallMost)
	if now-r.advanced > limit && !m.off.Has(policy.StallWatch) {
		m.stop(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
	}
}
