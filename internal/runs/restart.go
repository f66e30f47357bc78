package runs

import (
	"time"

	"wigeontray/internal/wire"
)

// A worker may restart under the ID that it had. Requests name it by its ID alone, so that an order
// for the earlier instance may start a run at the new one, with a lease and a fencing token of the
// earlier one. The instance that answers a Hold states its start time. When it has changed, the
// guard takes the new instance over with a greater token, so that it refuses all earlier orders.
// The runs that it lists then continue; all others have ended with the earlier instance.

const (
	// maxClockStepBack is by how much a worker's clock may seem to go back because an answer was
	// delayed. A clock that goes back further shows a restart, or a pause of the guard's VM.
	maxClockStepBack = 250 * time.Millisecond
	// terminationDelay is how long after it has announced its termination a worker may answer.
	terminationDelay = 100 * time.Millisecond
	// maxToken is the greatest fencing token that a guard uses.
	maxToken = 1 << 62
)

// candidate is a worker instance that may have replaced the present one.
type candidate struct {
	wire.WorkerInstance
	token     int64   // fencing token for its verification
	report    *Report // its newest report; nil if it has only answered
	isPresent bool    // an answer has shown that it is at the worker's address
}

// newToken returns a fencing token for an instance whose clock shows clockMs. It exceeds every
// earlier token, because the clock only increases within an instance, and a later instance of the
// same ID has a later start time.
func newToken(instance wire.WorkerInstance, clockMs int64) int64 {
	return max(1, instance.StartMs+clockMs)
}

// raisedToken returns a greater token than one that an instance has refused. clockMs is the clock
// in its answer.
func raisedToken(refused int64, instance wire.WorkerInstance, clockMs int64) int64 {
	if token := newToken(instance, clockMs); token > refused {
		return token
	}
	return min(maxToken, 2*refused)
}

// addCandidate records a report of an instance other than the present one. Unless an answer has
// shown which instance is present, the instance of the latest report is verified.
func (m *Machine) addCandidate(report *Report) {
	latest, c := *report, m.candidate
	switch {
	case c == nil || !c.isPresent && c.WorkerInstance != report.WorkerInstance:
		m.candidate = &candidate{WorkerInstance: report.WorkerInstance, token: m.tokenFor(report.WorkerInstance, report.ClockMs), report: &latest}
	case c.WorkerInstance == report.WorkerInstance && (c.report == nil || report.Seq > c.report.Seq):
		c.report = &latest
	}
}

// tokenFor returns a fencing token for a candidate. Orders for an earlier instance of the same ID
// carry the present token.
func (m *Machine) tokenFor(instance wire.WorkerInstance, clockMs int64) int64 {
	token := newToken(instance, clockMs)
	if instance.ID == m.instance.ID {
		token = max(token, m.instance.token+1)
	}
	return token
}

// isSameID reports whether the candidate and the present instance have the same ID, so that either
// accepts requests to the other.
func (m *Machine) isSameID() bool { return m.candidate != nil && m.candidate.ID == m.instance.ID }

// isFromOtherStart reports whether an answer shows an instance that was started at another time
// than the given one.
func (a *HoldAnswer) isFromOtherStart(instance wire.WorkerInstance) bool {
	return a.StartMs != 0 && a.StartMs != instance.StartMs
}

// replaceCandidate makes the instance that has sent an answer the candidate. Reports of any other
// instance with this ID are rejected, as they were delayed or come from another program.
func (m *Machine) replaceCandidate(id string, a *HoldAnswer) {
	present := wire.WorkerInstance{ID: id, StartMs: a.StartMs}
	next := &candidate{WorkerInstance: present, token: m.tokenFor(present, a.ClockMs), isPresent: true}
	if c := m.candidate; c != nil && c.WorkerInstance == present {
		next.report = c.report
	} else {
		m.rejectCandidate()
	}
	m.candidate = next
}

// rejectCandidate drops a candidate that is not at the worker's address.
func (m *Machine) rejectCandidate() {
	if m.candidate != nil && m.candidate.report != nil {
		m.actions = append(m.actions, Action{RejectedReport: m.candidate.report})
	}
	m.candidate = nil
}

// suspectRestart notes that the worker may have restarted under its ID. Until it has answered a
// Hold, of which the first is sent at once, it gets no orders that an earlier instance might have
// been given.
func (m *Machine) suspectRestart(now time.Duration) {
	if m.instance.StartMs == 0 || m.instance.mayHaveRestarted {
		return
	}
	m.instance.mayHaveRestarted, m.instance.needsProbe = true, true
	m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
}

// adoptCandidate makes the candidate the present instance after it has answered a Hold.
func (m *Machine) adoptCandidate(now time.Duration, a *HoldAnswer) {
	c, hasStaleLease := m.candidate, false
	if m.isSameID() {
		m.keepRunsOf(now, a)
		hasStaleLease = m.instance.leaseSentAt > m.instance.confirmedAt
	}
	previous := m.instance
	m.candidate = nil
	m.endInstance(now)
	m.instance = instance{WorkerInstance: c.WorkerInstance, token: c.token, lastAnswerAt: now, confirmedAt: previous.holdSentAt}
	if hasStaleLease {
		m.instance.leaseEnd = previous.leaseSentAt + m.maxLease + clockSkewMargin
	}
	m.updateClockOffset(now, a.ClockMs)
	for _, e := range a.Ended {
		m.instance.endCursor = max(m.instance.endCursor, e.Number)
	}
	m.stopOrphans(now, a.Active)
	m.instance.needsProbe = m.instance.hasOrphans
	if c.report == nil {
		m.announceWorker(now)
		return
	}
	m.describeWorker(now, c.report)
}

// keepRunsOf ends the runs that a new instance of the same ID lists as ended, and marks those that
// it lists as active, so that they outlast the earlier instance.
func (m *Machine) keepRunsOf(now time.Duration, a *HoldAnswer) {
	for _, e := range a.Ended {
		if r := m.runs[e.Key]; r != nil {
			m.endRun(now, r, runEndFor(r, e.Outcome))
		}
	}
	for _, active := range a.Active {
		r := m.runs[active.Key]
		if r == nil {
			continue
		}
		r.outlastsInstance, r.percent, r.advancedAt, r.missingSince = true, active.Percent, now, 0
		switch {
		case r.state == stopping:
			r.stopConfirmedAt, r.nextStopAt = 0, now
		case !r.isAccepted:
			r.state, r.isAccepted, r.acceptedAt = running, true, now
		}
	}
}

// handleRestart handles an answer that shows that another instance of the same ID has replaced the
// present one, and reports whether it does.
func (m *Machine) handleRestart(now time.Duration, a *HoldAnswer) bool {
	switch {
	case a.isFromOtherStart(m.instance.WorkerInstance):
		m.replaceCandidate(m.instance.ID, a)
	case !m.isSameID():
		return false
	case a.StartMs == 0 && m.candidate.StartMs > m.instance.StartMs:
		m.candidate.isPresent = true // the worker does not state its start in its answers
	default:
		m.rejectCandidate()
		return false
	}
	m.setUsable(now, false)
	m.instance.nextHoldAt = now
	return true
}

// isWorkerUsable reports whether the worker may accept new tasks, apart from its answers.
func (m *Machine) isWorkerUsable() bool {
	return m.worker.ID != "" && !m.isGuardDraining && !m.worker.Leaving && !m.IsDomainDrained() && m.instance.terminationAt == 0
}

// verifyTermination ends the doubt whether the worker terminates, once it has answered a Hold that
// was sent terminationDelay after the announcement.
func (m *Machine) verifyTermination(now time.Duration) {
	inst := &m.instance
	switch {
	case inst.terminationAt == 0:
	case inst.holdSentAt >= inst.terminationAt+terminationDelay:
		inst.terminationAt = 0
	default:
		inst.needsProbe = true
		inst.nextHoldAt = max(inst.nextHoldAt, min(now+requestRetryDelay, inst.terminationAt+terminationDelay))
	}
}

// leaseEndOf returns when a run has certainly ended if the worker does not answer. A start without
// an answer may have reached a new instance of the same ID, which takes the end of its lease for a
// time on its own clock.
func (m *Machine) leaseEndOf(r *run) time.Duration {
	if m.instance.StartMs == 0 || r.isAccepted || r.state == awaitingText {
		return m.instance.leaseEnd
	}
	return max(m.instance.leaseEnd, r.lastSentAt+m.maxLease+clockSkewMargin)
}
