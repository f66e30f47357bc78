package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// sendHoldIfDue sends a Hold if one is due. While the worker has runs, one is always in
// flight or scheduled.
func (m *Machine) sendHoldIfDue(now time.Duration) {
	switch {
	case m.instance.hasHoldInFlight || now < m.instance.nextHoldAt || !m.needsHold():
	case m.candidate != nil && (!m.isSameID() || m.candidate.isPresent):
		m.verifyCandidate(now)
	default:
		m.sendHold(now)
	}
}

// needsHold reports whether the worker must be polled. An idle worker is not.
func (m *Machine) needsHold() bool {
	inst := &m.instance
	if m.candidate != nil {
		return true
	}
	return inst.ID != "" && (len(m.runs) > 0 || inst.hasOrphans || inst.needsProbe || inst.endCursor > inst.ackedCursor)
}

func (m *Machine) sendHold(now time.Duration) {
	inst := &m.instance
	h := &Hold{Lease: m.newLease(now), Timeout: m.holdTimeout(now, inst.unansweredHolds)}
	if inst.endCursor > inst.ackedCursor && !inst.mayHaveRestarted {
		h.Ack = inst.endCursor // a new instance would take the number for one of its own ends
	}
	switch {
	case inst.mayHaveRestarted || m.candidate != nil || inst.terminationAt > 0:
		h.UntilMs = 0
	case inst.isTerminating:
		h.UntilMs, h.Wait = 0, m.holdWait(now) // do not renew: the worker is terminating
	case inst.unansweredHolds > 0:
		// The worker may receive requests while its answers are lost. If its lease
		// were renewed, it would never expire, and its tasks could not be moved to
		// another worker.
		h.UntilMs = 0
	case len(m.runs) > 0:
		h.Wait = m.holdWait(now)
		m.extendLease(now)
	}
	inst.hasHoldInFlight, inst.holdSentAt, inst.holdWait, inst.sentAck, inst.needsProbe = true, now, h.Wait, h.Ack, false
	m.actions = append(m.actions, Action{Hold: h})
}

// holdWait returns how long the worker may delay the answer to a Hold: not at all if a run
// is missing from its lists, and only briefly while a run is being stopped.
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

// verifyCandidate sends a Hold that only a worker with the candidate's ID accepts.
func (m *Machine) verifyCandidate(now time.Duration) {
	inst := &m.instance
	inst.hasHoldInFlight, inst.holdSentAt, inst.holdWait = true, now, 0
	h := &Hold{Lease: Lease{Worker: m.candidate.WorkerInstance, Token: m.candidate.token}, Timeout: m.holdTimeout(now, inst.unansweredVerifications)}
	m.actions = append(m.actions, Action{Hold: h})
}

// HandleHoldAnswer handles the answer to a Hold that was sent to the given worker instance.
func (m *Machine) HandleHoldAnswer(now time.Duration, worker wire.WorkerInstance, a *HoldAnswer) {
	m.instance.hasHoldInFlight = false
	m.recordAnswer(now, a.Verdict)
	if delay := now - m.instance.holdSentAt - m.instance.holdWait; a.Verdict != NoAnswer && delay > 0 {
		m.recordAnswerDelay(delay)
	}
	if m.candidate != nil && worker == m.candidate.WorkerInstance {
		m.handleCandidateAnswer(now, a)
	} else if worker == m.instance.WorkerInstance {
		m.handleInstanceAnswer(now, a)
	}
	m.sendHoldIfDue(now)
}

// handleCandidateAnswer handles the answer to a Hold that verifies the candidate. If the
// candidate has seen a greater fencing token, the next Hold uses its current clock as the token.
func (m *Machine) handleCandidateAnswer(now time.Duration, a *HoldAnswer) {
	c := m.candidate
	switch a.Verdict {
	case Done:
		if a.isFromOtherStart(c.WorkerInstance) {
			m.replaceCandidate(c.ID, a)
			return
		}
		m.adoptCandidate(now, a)
	case FencedOff:
		c.token = raisedToken(c.token, c.WorkerInstance, a.ClockMs)
	case WrongInstance:
		m.rejectCandidate()
	default:
		m.instance.unansweredVerifications++
		m.instance.nextHoldAt = now + requestRetryDelay
	}
}

func (m *Machine) handleInstanceAnswer(now time.Duration, a *HoldAnswer) {
	inst := &m.instance
	switch a.Verdict {
	case Done:
		inst.unansweredHolds = 0
		if m.handleRestart(now, a) {
			return
		}
		m.updateClockOffset(now, a.ClockMs)
		inst.mayHaveRestarted, inst.confirmedAt = false, inst.holdSentAt
		inst.refusedAt, inst.wasSilent, inst.lastAnswerAt, inst.ackedCursor = 0, false, now, max(inst.ackedCursor, inst.sentAck)
		inst.lostInSilence = nil
		m.verifyTermination(now)
		m.settleEndedRuns(now, a.Ended)
		m.reconcile(now, a.Active)
		m.setUsable(now, !inst.hasOrphans)
		m.endTerminatedInstance(now)
	case WrongInstance:
		m.endInstance(now)
		m.announceWorker(now)
	case FencedOff:
		// Another guard took over the worker, or an earlier guard had a greater
		// token.
		inst.token = raisedToken(inst.token, inst.WorkerInstance, a.ClockMs)
		inst.nextHoldAt = now + requestRetryDelay
	default:
		switch {
		case inst.refusedAt > 0:
		case a.IsConnRefused:
			inst.refusedAt = now
		case !a.IsConnLost:
			inst.wasSilent = true
		}
		m.recordUnansweredHold(now)
		if a.IsConnLost {
			m.suspectRestart(now)
		}
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

// settleEndedRuns ends the runs that the worker lists as ended.
func (m *Machine) settleEndedRuns(now time.Duration, ends []Ended) {
	for _, e := range ends {
		if e.Number <= m.instance.endCursor {
			// Listed again, because the acknowledgement had not arrived.
			m.instance.ackedCursor = min(m.instance.ackedCursor, e.Number-1)
			continue
		}
		m.instance.endCursor = e.Number
		if r := m.runs[e.Key]; r != nil {
			m.endRun(now, r, runEndFor(r, e.Outcome))
		}
	}
}

// runEndFor returns the end to report for a run that ended at the worker with the given
// outcome.
func runEndFor(r *run, outcome Outcome) wire.RunEnd {
	switch outcome {
	case EndDone:
		return wire.RunEnd{Ran: errkind.RanYes}
	case EndFailed:
		return wire.RunEnd{Kind: errkind.UpstreamFailed, Ran: errkind.RanYes}
	}
	if r.state == stopping {
		return r.endAfterStop
	}
	return endLost()
}

// reconcile compares the recorded runs with those that the worker lists as active. A run
// that started before the Hold was sent and is listed neither as active nor as ended is
// lost; a run whose stop was confirmed before the Hold was sent has ended. If the worker
// crashed during a Hold, its next instance may have answered. A missing run therefore counts
// as lost only if it is missing from the answer to another Hold as well.
func (m *Machine) reconcile(now time.Duration, active []Active) {
	listed := make(map[Key]bool, len(active))
	for _, a := range active {
		listed[a.Key] = true
		m.trackProgress(now, a)
	}
	m.detectSlowWorker(now)
	m.detectHang(now)
	m.stopOrphans(now, active)
	sentAt := m.instance.holdSentAt
	for _, r := range m.sortedRuns() {
		if listed[r.key] {
			r.missingSince = 0
			continue
		}
		switch {
		case r.state == running && r.acceptedAt < sentAt && r.missingSince == 0:
			r.missingSince, m.instance.nextHoldAt = now, now
		case r.state == running && r.missingSince > 0 && r.missingSince <= sentAt:
			m.endRun(now, r, endLost())
		case r.state == stopping && r.stopConfirmedAt > 0 && r.stopConfirmedAt < sentAt:
			m.endRun(now, r, r.endAfterStop)
		}
	}
}

// Limits of the time that a run may make no progress, which is otherwise its expected run
// time. Workers report whole percents: a worker that is slow by a factor of eight advances
// by one percent in a twelfth of the expected time.
const (
	minStallTimeout = 150 * time.Millisecond
	maxStallTimeout = 600 * time.Millisecond
)

// trackProgress records the progress of a run and stops the run if it is stalled. A stalled
// run would occupy its worker for as long as the caller waits, which may be ten times the
// run time. On another worker the task may still finish in time, and the entry is informed
// which worker hangs.
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
