package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// instance is what is known of the present life of the worker.
type instance struct {
	id             string
	seq            int64         // of its newest report
	token          int64         // fencing token of this guard there
	clockOffset    time.Duration // the worker's clock less the guard's, at least
	hasClockOffset bool          // offset is known
	endCursor      int64         // ends up to this number were taken
	ackedCursor    int64         // ends up to this number were acknowledged
	leaseEnd       time.Duration // when what runs there has ended without another order
	hasStrays      bool          // runs of an earlier guard may be there
	hasLeft        bool          // it has announced its end, and may run on for a moment
	isRecalled     bool          // it has not reported to this guard yet
	hasRefusedConn bool          // nothing has listened at its address since it answered last

	hasHoldInFlight bool // a Hold is under way
	holdSentAt      time.Duration
	holdWait        time.Duration // for which it may wait at the worker
	// unverified is how many Holds in a row to verify a new life had no answer.
	unansweredVerifications int
	nextHoldAt              time.Duration // not before this time
	unansweredHolds         int           // Holds in a row without an answer
	lastAnswerAt            time.Duration // when the newest Hold was answered
	needsProbe              bool          // ask even though nothing runs
	sentAck                 int64         // Ack of the Hold that is under way
}

// Heard takes a worker's report. A report of another life than the present one
// is verified with the worker first: one that was held up on its way may come
// after its sender has crashed and a successor has registered.
func (m *Machine) Heard(now time.Duration, report *Report) {
	if report.ID == "" {
		return
	}
	if report.ID != m.instance.id {
		if m.candidate == nil || m.candidate.ID != report.ID || report.Seq > m.candidate.Seq {
			latest := *report
			m.candidate = &latest
		}
		m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
		m.sendHoldIfDue(now)
		return
	}
	if report.Seq <= m.instance.seq {
		return
	}
	m.instance.seq, m.instance.isRecalled = report.Seq, false
	m.updateClockOffset(now, report.ClockMs)
	previous := m.worker
	m.applyReport(report)
	m.applyCapacity(now, previous.Capacity)
	if m.worker.Capacity != previous.Capacity || m.worker.Cold != previous.Cold {
		m.announceWorker(now)
	}
	if report.Draining && !m.worker.Leaving {
		m.worker.Leaving, m.worker.Usable = true, false
		m.announceWorker(now)
	}
	if m.instance.unansweredHolds >= maxUnansweredHolds {
		m.instance.needsProbe = true
		m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
		m.sendHoldIfDue(now)
	}
}

// applyReport takes over what may change in one life.
func (m *Machine) applyReport(report *Report) {
	m.worker.Service, m.worker.Domain = report.Service, report.Domain
	m.worker.Rack, m.worker.Labels = report.Rack, report.Labels
	m.worker.Capacity, m.worker.Cold = report.Capacity, report.Cold
}

// Left notes that a worker ends, as it has just announced. What runs there may go on
// for as long as the worker takes to end: a task that was started elsewhere at once
// ran twice for that time. Its lease is not renewed any more, and its runs are given
// back when the worker lists them as ended, a successor answers at its address, or the
// lease is over.
func (m *Machine) Left(now time.Duration, id string) {
	if m.candidate != nil && m.candidate.ID == id {
		m.candidate = nil
	}
	if id == "" || id != m.instance.id {
		return
	}
	m.instance.hasLeft = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announceWorker(now)
	for _, r := range m.sortedRuns() {
		m.stopRun(now, r, wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes})
	}
	m.endDepartedInstance(now)
}

// endDepartedInstance ends the life of a worker that has left once nothing of it can run.
func (m *Machine) endDepartedInstance(now time.Duration) {
	if !m.instance.hasLeft || len(m.runs) > 0 && now < m.instance.leaseEnd {
		return
	}
	m.endInstance(now)
	m.announceWorker(now)
}

// endInstance ends the books of a life that is over: nothing of it runs any more.
func (m *Machine) endInstance(now time.Duration) {
	m.endAllRuns(now, m.isExitUnannounced())
	m.instance = instance{}
	m.worker = wire.RunWorker{Leaving: m.isLeaving}
}

// recordLostControl notes that the worker obeys somebody else or is another one. Its next
// report brings it back.
func (m *Machine) recordLostControl(now time.Duration) {
	m.setUsable(now, false)
	m.instance.needsProbe = true
}

// adoptCandidate begins the life that has answered a verifying Hold.
func (m *Machine) adoptCandidate(now time.Duration, a *HoldAnswer) {
	report, token := m.candidate, m.instance.token
	m.candidate = nil
	m.endInstance(now)
	m.instance = instance{id: report.ID, seq: report.Seq, token: token, isRecalled: report.Recalled, lastAnswerAt: now}
	m.worker = wire.RunWorker{ID: report.ID, Leaving: m.isLeaving || report.Draining}
	m.applyReport(report)
	m.updateClockOffset(now, a.ClockMs)
	for _, e := range a.Ended {
		m.instance.endCursor = max(m.instance.endCursor, e.Number)
	}
	m.stopStrays(now, a.Active)
	m.instance.needsProbe = m.instance.hasStrays
	m.worker.Usable = !m.instance.hasStrays && !m.worker.Leaving && !m.Drained()
	m.announceWorker(now)
}

// stopStrays ends runs that this guard did not start: an earlier guard did, and
// its entries take them for ended once the lease time has passed.
func (m *Machine) stopStrays(now time.Duration, active []Active) {
	m.instance.hasStrays = false
	for _, a := range active {
		if m.runs[a.Key] != nil {
			continue
		}
		m.instance.hasStrays = true
		lease := m.newLease(now)
		lease.UntilMs = 0
		m.actions = append(m.actions, Action{Stop: &Stop{Lease: lease, Key: a.Key, AnswerIn: m.answerTimeout(now)}})
	}
}

// updateClockOffset learns the worker's clock from an answer or a report. What it says was
// on its way for a while, so that the estimate is not ahead of the worker when it
// comes. Only the newest word counts: a clock that is 2% slow falls behind an older
// one, and a lease computed from that would end later than this guard believes.
func (m *Machine) updateClockOffset(now time.Duration, clockMs int64) {
	if clockMs == 0 {
		return
	}
	m.instance.clockOffset = milliseconds(clockMs) - now
	m.instance.hasClockOffset = true
}

// newLease gives what an order sent now carries.
func (m *Machine) newLease(now time.Duration) Lease {
	lease := Lease{Worker: m.instance.id, Token: m.instance.token}
	if m.instance.hasClockOffset {
		lease.UntilMs = (now + m.instance.clockOffset + m.timing.Lease).Milliseconds()
	}
	return lease
}

// extendLease notes that an order with a lease goes out now.
func (m *Machine) extendLease(now time.Duration) {
	m.instance.leaseEnd = max(m.instance.leaseEnd, now+m.timing.Lease+clockSkewMargin)
}
