package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// Tick performs all actions that are due: it stops runs that have passed their deadline and
// runs of entries that have gone silent, ends runs whose lease has expired, withdraws expired
// offers, and sends heartbeats and Holds.
func (m *Machine) Tick(now time.Duration) {
	m.tickRuns(now)
	m.tickEntries(now)
	m.expireOffers(now)
	m.sendHoldIfDue(now)
}

func (m *Machine) tickRuns(now time.Duration) {
	for _, r := range m.sortedRuns() {
		switch {
		case r.state != stopping && now >= r.deadline:
			m.stopRun(now, r, endWithdrawn(errkind.TimedOut))
		case r.state == stopping:
			m.sendStopIfDue(now, r)
		}
	}
	if m.instance.unansweredHolds >= maxUnansweredHolds && now >= m.instance.leaseEnd {
		m.endExpiredRuns(now)
	}
	m.endTerminatedInstance(now)
}

// endExpiredRuns ends the runs of an unreachable worker whose leases have expired.
func (m *Machine) endExpiredRuns(now time.Duration) {
	for _, r := range m.runs {
		r.outlastsInstance = now < m.leaseEndOf(r)
	}
	hasCrashed := m.instance.refusedAt > 0 && m.isExitUnannounced()
	if !hasCrashed {
		m.recordSilentLoss()
	}
	m.endAllRuns(now, hasCrashed)
}

// endAllRuns ends all runs except those that outlast the instance. It is called when the lease of
// an unreachable worker has expired or the worker instance has ended; in both cases no other run
// can still be active.
func (m *Machine) endAllRuns(now time.Duration, hasCrashed bool) {
	var blamed map[Key]crashBlame
	if hasCrashed {
		blamed = m.assignBlame(now)
		m.reportCrash(blamed)
	}
	for _, r := range m.sortedRuns() {
		if r.outlastsInstance {
			r.outlastsInstance = false
			continue
		}
		end := endLost()
		switch r.state {
		case stopping:
			end = r.endAfterStop
		case awaitingText:
			end = endNotRun(errkind.NoWorkers)
		}
		end.Crashed, end.Suspected = blamed[r.key] == blameCertain, blamed[r.key] == blamePossible
		m.endRun(now, r, end)
	}
}

func (m *Machine) tickEntries(now time.Duration) {
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if ent.runs == 0 {
			continue
		}
		if m.isSilent(now, ent) {
			m.stopEntryRuns(now, entry, endWithdrawn(errkind.Fenced))
		}
		if ent.isLinked && now-ent.loadSentAt >= m.timing.BeatInterval {
			m.sendFrame(now, entry, &wire.Frame{GuardHeartbeat: &wire.GuardHeartbeat{Load: m.Load(now, entry)}})
		}
	}
}

// NextTick returns the time at which Tick is next due, or 0 if nothing is scheduled.
func (m *Machine) NextTick() time.Duration {
	var next time.Duration
	consider := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, r := range m.runs {
		switch {
		case r.state != stopping:
			consider(r.deadline)
			consider(m.entries[r.entry].latestClock + m.timing.PeerTimeout + time.Millisecond)
		case !r.hasStopInFlight && r.stopConfirmedAt == 0:
			consider(r.nextStopAt)
		}
	}
	for _, ent := range m.entries {
		if ent.runs > 0 && ent.isLinked {
			consider(ent.loadSentAt + m.timing.BeatInterval)
		}
		if ent.offer.expiresAt > 0 {
			consider(ent.offer.expiresAt)
		} else if ent.offer.notBefore > 0 && ent.demand.CPU > 0 {
			consider(ent.offer.notBefore)
		}
	}
	if !m.instance.hasHoldInFlight && m.needsHold() {
		consider(m.instance.nextHoldAt)
	}
	if m.instance.isTerminating && len(m.runs) > 0 {
		consider(m.instance.leaseEnd)
	}
	if m.instance.unansweredHolds >= maxUnansweredHolds {
		for _, r := range m.runs {
			consider(m.leaseEndOf(r))
		}
	}
	return next
}
