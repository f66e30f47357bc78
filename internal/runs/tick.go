package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// Tick does what is due: runs that are of no use any more, permits that have
// ended, leases that have run out, beats and Holds.
func (m *Machine) Tick(now time.Duration) {
	m.tickRuns(now)
	m.tickEntries(now)
	m.endOffers(now)
	m.pumpHold(now)
}

func (m *Machine) tickRuns(now time.Duration) {
	for _, r := range m.inOrder() {
		switch {
		case r.state != stopping && now >= r.deadline:
			m.stop(now, r, withdrawn(errkind.TimedOut))
		case r.state == stopping:
			m.orderStop(now, r)
		}
	}
	if m.life.silent >= silentHolds && now >= m.life.leaseEnd {
		m.letGo(now, m.life.gone && m.unannounced())
	}
	m.endLeft(now)
}

// letGo settles all runs: those of a worker that has not answered for the time of
// its lease, or whose life is over. They have ended, whether it lives or not.
func (m *Machine) letGo(now time.Duration, crashed bool) {
	var blamed map[Key]blame
	if crashed {
		blamed = m.blameRuns()
		m.reportCrash(blamed)
	}
	for _, r := range m.inOrder() {
		e := wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes}
		switch r.state {
		case stopping:
			e = r.why
		case awaiting:
			e = notRun(errkind.NoWorkers)
		}
		e.Crashed, e.Suspected = blamed[r.key] == certain, blamed[r.key] == possible
		m.end(now, r, e)
	}
}

func (m *Machine) tickEntries(now time.Duration) {
	for _, name := range m.names() {
		p := m.entries[name]
		if p.runs == 0 {
			continue
		}
		if now-p.newest > m.timing.Permit {
			m.stopAll(now, name, withdrawn(errkind.Fenced))
		}
		if p.linked && now-p.lastSent >= m.timing.Beat {
			m.send(now, name, &wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, name)}})
		}
	}
}

// NextTick tells when Tick is next due; 0 for never.
func (m *Machine) NextTick() time.Duration {
	var next time.Duration
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, r := range m.runs {
		switch {
		case r.state != stopping:
			sooner(r.deadline)
			sooner(m.entries[r.entry].newest + m.timing.Permit + time.Millisecond)
		case !r.stopSent && r.stopped == 0:
			sooner(r.stopAt)
		}
	}
	for _, p := range m.entries {
		if p.runs > 0 && p.linked {
			sooner(p.lastSent + m.timing.Beat)
		}
		if p.offer.until > 0 {
			sooner(p.offer.until)
		} else if p.offer.pause > 0 && p.demand.CPU > 0 {
			sooner(p.offer.pause)
		}
	}
	if !m.life.holding && m.wantsHold() {
		sooner(m.life.holdAt)
	}
	if (m.life.left || m.life.silent >= silentHolds) && len(m.runs) > 0 {
		sooner(m.life.leaseEnd)
	}
	return next
}
