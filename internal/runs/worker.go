package runs

import (
	"time"

	"wigeontray/internal/wire"
)

// instance is the state kept for the present worker instance, which lasts until the worker
// stops or restarts.
type instance struct {
	wire.WorkerInstance
	seq            int64         // Seq of its newest report
	token          int64         // fencing token of this guard at the worker
	clockOffset    time.Duration // lower bound of the worker's clock minus the guard's
	hasClockOffset bool          // clockOffset is set
	endCursor      int64         // number of the last end that was processed
	ackedCursor    int64         // number of the last end whose acknowledgement the worker has received
	leaseEnd       time.Duration // when the lease has certainly expired unless it is renewed
	hasOrphans     bool          // runs of an earlier guard may be at the worker
	isDraining     bool          // has reported that it drains
	isTerminating  bool          // has announced that it terminates; runs may continue until then
	// terminationAt is when a termination was announced for the worker's ID although this instance
	// has not reported that it drains: the announcement may be a late one of an earlier instance.
	// It is 0 if there is none.
	terminationAt    time.Duration
	mayHaveRestarted bool          // its last requests failed as those to a worker that has restarted
	leaseSentAt      time.Duration // when a request with a lease was last sent
	confirmedAt      time.Duration // when the last request was sent that it has certainly answered
	isRecalled       bool          // has not reported to this guard yet, see Report.IsRecalled
	// refusedAt is when its address first refused a connection since the last answer, or 0.
	refusedAt time.Duration
	// wasSilent is set if it has left a Hold unanswered, without a refused or lost connection, since the
	// last answer and before refusedAt.
	wasSilent bool
	// lostInSilence are the tasks whose runs ended with their leases since the last answer. If the worker
	// turns out to have crashed, it may have been under them.
	lostInSilence []wire.TaskName

	hasHoldInFlight bool // a Hold is unanswered
	holdSentAt      time.Duration
	holdWait        time.Duration // Wait of the last Hold
	// unansweredVerifications is the number of consecutive unanswered Holds that were sent to
	// verify a candidate.
	unansweredVerifications int
	nextHoldAt              time.Duration // earliest time of the next Hold
	unansweredHolds         int           // consecutive unanswered Holds
	lastAnswerAt            time.Duration // when a Hold was last answered
	needsProbe              bool          // send a Hold even if there are no runs
	sentAck                 int64         // Ack of the last Hold
}

// HandleReport handles a report of a worker. A report of an instance other than the present one
// is verified with the worker first, because a delayed report may arrive after its sender has
// crashed and a new instance has registered.
func (m *Machine) HandleReport(now time.Duration, report *Report) {
	switch {
	case report.ID == "":
	case report.WorkerInstance != m.instance.WorkerInstance:
		m.addCandidate(report)
		m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
		m.sendHoldIfDue(now)
	case report.Seq <= m.instance.seq:
	case m.worker.ID == "":
		m.updateClockOffset(now, report.ClockMs)
		m.describeWorker(now, report)
	default:
		m.updateWorker(now, report)
	}
}

// updateWorker handles a report of the present instance.
func (m *Machine) updateWorker(now time.Duration, report *Report) {
	m.instance.seq, m.instance.isRecalled = report.Seq, false
	m.updateClockOffset(now, report.ClockMs)
	previous := m.worker
	m.applyReport(report)
	m.applyCapacity(now, previous.Capacity)
	if m.worker.Capacity != previous.Capacity || m.worker.Cold != previous.Cold {
		m.announceWorker(now)
	}
	m.instance.isDraining = m.instance.isDraining || report.Draining
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

// applyReport copies the attributes that may change during the lifetime of an instance.
func (m *Machine) applyReport(report *Report) {
	m.worker.Service, m.worker.Domain = report.Service, report.Domain
	m.worker.Rack, m.worker.Labels = report.Rack, report.Labels
	m.worker.Capacity, m.worker.Cold = report.Capacity, report.Cold
}

// HandleTermination handles the announcement of a worker that it is terminating. id is the ID of
// the worker. Its runs may continue until it has terminated; when tasks were restarted elsewhere at
// once, they ran twice during that time. The lease is therefore no longer renewed, and the runs end
// when the worker lists them as ended, a new instance answers at its address, or the lease has
// expired.
//
// The announcement does not name the start. Where a worker may restart under its ID, one that has
// not drained before may be a late one of an earlier instance: the worker then gets no new tasks
// until it answers terminationDelay later.
func (m *Machine) HandleTermination(now time.Duration, id string) {
	if m.candidate != nil && m.candidate.ID == id && m.candidate.StartMs == 0 {
		m.candidate = nil
	}
	if id == "" || id != m.instance.ID {
		return
	}
	if m.instance.StartMs != 0 && !m.instance.isDraining {
		m.instance.terminationAt = now
		m.setUsable(now, false)
		m.instance.needsProbe = true
		m.instance.nextHoldAt = max(m.instance.nextHoldAt, now+terminationDelay)
		return
	}
	m.instance.isTerminating = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announceWorker(now)
	for _, r := range m.sortedRuns() {
		m.stopRun(now, r, endLost())
	}
	m.endTerminatedInstance(now)
}

// endTerminatedInstance removes a worker instance that has announced its termination, once none of
// its runs can be active.
func (m *Machine) endTerminatedInstance(now time.Duration) {
	if !m.instance.isTerminating || len(m.runs) > 0 && now < m.instance.leaseEnd {
		return
	}
	m.endInstance(now)
	m.announceWorker(now)
}

// endInstance ends all runs of the present instance and clears its state. The caller has
// made sure that the instance runs nothing any more.
func (m *Machine) endInstance(now time.Duration) {
	if m.isExitUnannounced() {
		m.reportSilentCrash()
	}
	m.endAllRuns(now, m.isExitUnannounced())
	m.instance, m.paceWindow, m.slowness = instance{}, paceWindow{}, slownessEstimate{}
	m.worker = wire.RunWorker{Leaving: m.isGuardDraining}
}

// recordLostControl marks the worker as unusable because another guard controls it or it is
// another instance. A later answer to a Hold or the report of the new instance makes it usable
// again.
func (m *Machine) recordLostControl(now time.Duration) {
	m.setUsable(now, false)
	m.instance.needsProbe = true
}

// describeWorker applies the first report of the present instance, whose clock is known already.
func (m *Machine) describeWorker(now time.Duration, report *Report) {
	m.instance.seq, m.instance.isRecalled, m.instance.isDraining = report.Seq, report.IsRecalled, report.Draining
	m.worker = wire.RunWorker{WorkerInstance: report.WorkerInstance, Leaving: m.isGuardDraining || report.Draining}
	m.applyReport(report)
	m.worker.Usable = m.isWorkerUsable() && !m.instance.hasOrphans
	m.announceWorker(now)
}

// stopOrphans stops active runs that this guard did not start. An earlier guard started them,
// and its entries treat them as ended once the lease has expired.
func (m *Machine) stopOrphans(now time.Duration, active []Active) {
	m.instance.hasOrphans = false
	for _, a := range active {
		if m.runs[a.Key] != nil {
			continue
		}
		m.instance.hasOrphans = true
		lease := m.newLease(now)
		lease.UntilMs = 0
		m.actions = append(m.actions, Action{Stop: &Stop{Lease: lease, Key: a.Key, Timeout: m.answerTimeout(now)}})
	}
}

// updateClockOffset computes the offset of the worker's clock from an answer or a report.
// Because of the transit time, the estimate is never ahead of the worker's clock. Only the
// newest reading is used: a clock that is 2% slow falls behind an estimate from an older
// reading, and a lease computed from that estimate would end later than the guard assumes.
func (m *Machine) updateClockOffset(now time.Duration, clockMs int64) {
	if clockMs == 0 {
		return
	}
	offset := milliseconds(clockMs) - now
	if m.instance.hasClockOffset && m.instance.clockOffset-offset > maxClockStepBack {
		m.suspectRestart(now)
	}
	m.instance.clockOffset = offset
	m.instance.hasClockOffset = true
}

// newLease returns the lease of a request that is sent now.
//
// A worker that has restarted takes the end of a lease for a time on its new clock, and keeps what
// runs there for up to Options.MaxLease.
func (m *Machine) newLease(now time.Duration) Lease {
	lease := Lease{Worker: m.instance.WorkerInstance, Token: m.instance.token}
	if m.instance.hasClockOffset {
		lease.UntilMs = (now + m.instance.clockOffset + m.timing.Lease).Milliseconds()
	}
	return lease
}

// extendLease moves the latest end of the lease, as a request that renews it is sent now.
func (m *Machine) extendLease(now time.Duration) {
	m.instance.leaseSentAt = now
	m.instance.leaseEnd = max(m.instance.leaseEnd, now+m.timing.Lease+clockSkewMargin)
}
