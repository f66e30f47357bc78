package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// sendHoldIfDue sends a Hold if one is due. While anything runs there is always one
// under way.
func (m *Machine) sendHoldIfDue(now time.Duration) {
	switch {
	case m.instance.hasHoldInFlight || now < m.instance.nextHoldAt || !m.needsHold():
	case m.candidate != nil:
		m.verifyCandidate(now)
	default:
		m.sendHold(now)
	}
}

// needsHold tells whether the worker has to be asked. An idle one is not.
func (m *Machine) needsHold() bool {
	inst := &m.instance
	if m.candidate != nil {
		return true
	}
	return inst.id != "" && (len(m.runs) > 0 || inst.hasStrays || inst.needsProbe || inst.endCursor > inst.ackedCursor)
}

func (m *Machine) sendHold(now time.Duration) {
	inst := &m.instance
	h := &Hold{Lease: m.newLease(now), Ack: inst.endCursor, AnswerIn: m.holdTimeout(now, inst.unansweredHolds)}
	switch {
	case inst.hasLeft:
		h.UntilMs, h.Wait = 0, m.holdWait(now) // it ends
	case inst.unansweredHolds > 0:
		// Renewed blindly, the lease of a worker that hears and cannot be heard
		// would never end, and its tasks could not be given to another.
		h.UntilMs = 0
	case len(m.runs) > 0:
		h.Wait = m.holdWait(now)
		m.extendLease(now)
	}
	inst.hasHoldInFlight, inst.holdSentAt, inst.holdWait, inst.sentAck, inst.needsProbe = true, now, h.Wait, inst.endCursor, false
	m.actions = append(m.actions, Action{Hold: h})
}

// holdWait is how long a Hold may wait. While a stop is in doubt or a run is missed the
// lists are wanted at once.
func (m *Machine) holdWait(now time.Duration) time.Duration {
	isStopping := false
	for _, r := range m.runs {
		if r.missingSince > 0 {
			return 0
		}
		isStopping = isStopping || r.state == stopping
	}
	switch {
	case isStopping:
		return requestRetryDelay
	case m.isLossy(now):
		return lossyHoldInterval
	}
	return renewInterval
}

// verifyCandidate asks the worker whether it is the life that has reported, under a token
// above every earlier one: the worker's own clock, which only grows within a life.
func (m *Machine) verifyCandidate(now time.Duration) {
	inst := &m.instance
	inst.token = max(m.candidate.ClockMs, 1)
	inst.hasHoldInFlight, inst.holdSentAt, inst.holdWait = true, now, 0
	h := &Hold{Lease: Lease{Worker: m.candidate.ID, Token: inst.token}, AnswerIn: m.holdTimeout(now, inst.unansweredVerifications)}
	m.actions = append(m.actions, Action{Hold: h})
}

// Held takes the answer to a Hold that was sent for the given life.
func (m *Machine) Held(now time.Duration, worker string, a *HoldAnswer) {
	m.instance.hasHoldInFlight = false
	m.recordAnswer(now, a.Verdict)
	if delay := now - m.instance.holdSentAt - m.instance.holdWait; a.Verdict != NoAnswer && delay > 0 {
		m.recordAnswerDelay(delay)
	}
	if m.candidate != nil && worker == m.candidate.ID {
		m.handleCandidateAnswer(now, a)
	} else if worker == m.instance.id {
		m.handleInstanceAnswer(now, a)
	}
	m.sendHoldIfDue(now)
}

func (m *Machine) handleCandidateAnswer(now time.Duration, a *HoldAnswer) {
	switch a.Verdict {
	case Done:
		m.adoptCandidate(now, a)
	case FencedOff:
		m.candidate.ClockMs = a.ClockMs
	case OtherWorker:
		m.candidate = nil
	default:
		m.instance.unansweredVerifications++
		m.instance.nextHoldAt = now + requestRetryDelay
	}
}

func (m *Machine) handleInstanceAnswer(now time.Duration, a *HoldAnswer) {
	inst := &m.instance
	switch a.Verdict {
	case Done:
		m.updateClockOffset(now, a.ClockMs)
		inst.unansweredHolds, inst.hasRefusedConn, inst.lastAnswerAt, inst.ackedCursor = 0, false, now, max(inst.ackedCursor, inst.sentAck)
		m.settleEndedRuns(now, a.Ended)
		m.reconcile(now, a.Active)
		m.setUsable(now, !inst.hasStrays)
		m.endDepartedInstance(now)
	case OtherWorker:
		m.endInstance(now)
		m.announceWorker(now)
	case FencedOff:
		// Another guard of this worker took over, or an earlier one had a
		// greater token.
		inst.token = max(inst.token, a.ClockMs)
		inst.nextHoldAt = now + requestRetryDelay
	default:
		m.instance.hasRefusedConn = m.instance.hasRefusedConn || a.Gone
		m.recordUnansweredHold(now)
	}
}

func (m *Machine) recordUnansweredHold(now time.Duration) {
	inst := &m.instance
	inst.unansweredHolds++
	inst.nextHoldAt = now + requestRetryDelay
	if inst.unansweredHolds < maxUnansweredHolds {
		inst.needsProbe = true
		return
	}
	m.setUsable(now, false)
	inst.nextHoldAt = now + probeInterval
	inst.needsProbe = true
}

// settleEndedRuns settles the runs whose end is listed.
func (m *Machine) settleEndedRuns(now time.Duration, ends []Ended) {
	for _, e := range ends {
		if e.Number <= m.instance.endCursor {
			continue // listed again, as its acknowledgement was not there yet
		}
		m.instance.endCursor = e.Number
		if r := m.runs[e.Key]; r != nil {
			m.endRun(now, r, runEndFor(r, e.How))
		}
	}
}

func runEndFor(r *run, how How) wire.RunEnd {
	switch how {
	case EndDone:
		return wire.RunEnd{Ran: errkind.RanYes}
	case EndFailed:
		return wire.RunEnd{Kind: errkind.UpstreamFailed, Ran: errkind.RanYes}
	}
	if r.state == stopping {
		return r.endAfterStop
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
		m.trackProgress(now, a)
	}
	m.detectSlowWorker(now)
	m.detectHang(now)
	m.stopStrays(now, active)
	sentAt := m.instance.holdSentAt
	for _, r := range m.sortedRuns() {
		if listed[r.key] {
			r.missingSince = 0
			continue
		}
		switch {
		case r.state == running && r.answeredAt < sentAt && r.missingSince == 0:
			r.missingSince, m.instance.nextHoldAt = now, now
		case r.state == running && r.missingSince > 0 && r.missingSince <= sentAt:
			m.endRun(now, r, wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes})
		case r.state == stopping && r.stopConfirmedAt > 0 && r.stopConfirmedAt < sentAt:
			m.endRun(now, r, r.endAfterStop)
		}
	}
}

// Bounds of the time for which a run may stand still. A worker shows whole
// percents: one that is slow by a factor of eight advances by one in a twelfth of
// the expected time.
const (
	minStallTimeout = 150 * time.Millisecond
	maxStallTimeout = 600 * time.Millisecond
)

// trackProgress stops a run that stands still. Its worker counts as busy with it for as
// long as the caller waits, which may be ten times its length; started elsewhere,
// the task may still end in time, and the entry learns which worker hangs.
func (m *Machine) trackProgress(now time.Duration, a Active) {
	r := m.runs[a.Key]
	if r == nil || r.state != running {
		return
	}
	if a.Percent != r.percent {
		r.percent, r.advancedAt = a.Percent, now
		return
	}
	stallTimeout := min(max(r.expectedTime, minStallTimeout), maxStallTimeout)
	if now-r.advancedAt > stallTimeout && !m.disabled.Has(policy.StallWatch) {
		m.stopRun(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
	}
}
