package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// noteHealth learns from an end how the worker does.
func (m *Machine) noteHealth(now time.Duration, f *flight, e *wire.RunEnd) {
	s := f.site
	v := &m.view[s.place]
	switch {
	case e.Kind == errkind.None:
		slow := milliseconds(e.RunMs) > time.Duration(slowFactor*float64(m.expect(f.job.spec.Queue, f.step.spec)))
		s.health.Ran(slow)
		if v.Limit > 0 && !s.sick {
			v.Limit = int(s.health.Probed(int32(v.Limit), probeLimit, slow))
		}
	case e.Kind == errkind.UpstreamFailed || e.Kind == errkind.TimedOut || e.Kind == errkind.Stalled:
		s.health.Failed(f.key.Job)
	default:
		return
	}
	if s.health.Sick() {
		m.bar(now, s)
	}
}

// bar keeps a worker from new tasks for a while, unless too few would be left.
func (m *Machine) bar(now time.Duration, s *site) {
	if s.sick || !m.mayBar() || m.opt.Off.Has(policy.Quarantine) {
		return
	}
	s.sick = true
	s.until = s.health.Quarantine(time.Time{}.Add(now)).Sub(time.Time{})
	m.setState(s)
}

// noteSlow bars a worker whose guard sees that its runs hardly advance.
func (m *Machine) noteSlow(now time.Duration, s *site) {
	if s.worker.Slow {
		m.bar(now, s)
	}
}

// probeLimit is the number of this entry's tasks at which a worker that comes
// back is trusted again.
const probeLimit = 8

// mayBar keeps at least half of the workers in use: a fault of all of them must
// not empty the pool.
func (m *Machine) mayBar() bool {
	usable, barred := 0, 0
	for i := range m.view {
		switch m.view[i].State {
		case sched.Usable:
			usable++
		case sched.Quarantined:
			barred++
		}
	}
	return usable-1 >= (usable+barred+1)/2
}

// comeBack ends a quarantine, with one task at first; one of a worker that is still slow
// begins anew.
func (m *Machine) comeBack(now time.Duration, s *site) {
	s.sick = false
	if !m.opt.Off.Has(policy.Probation) {
		m.view[s.place].Limit = 1
	}
	m.setState(s)
	m.noteSlow(now, s)
}
