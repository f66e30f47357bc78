package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/errkind"
)

// Tick does what is due: deadlines, jobs that wait in vain, tasks of lost guards,
// beats, guards that are silent, and the ends of quarantines.
func (m *Machine) Tick(now time.Duration) {
	m.tickJobs(now)
	m.tickFlights(now)
	m.tickSites(now)
	m.pump(now)
}

// Woke answers every job after the entry was frozen. Meanwhile callers have left
// and sent their jobs to other entries; they are not known to have left until
// their connections are read. Worked on, such a job would run twice at once.
func (m *Machine) Woke(now time.Duration) { m.AnswerAll(now, "this entry was frozen") }

// AnswerAll answers every job: its outcome is unknown, unless nothing of it ran.
func (m *Machine) AnswerAll(now time.Duration, why string) {
	for _, j := range m.jobsInOrder() {
		m.fail(now, j, errkind.New(errkind.WorkerLost, "%s", why))
	}
}

func (m *Machine) jobsInOrder() []*job {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}

func (m *Machine) tickJobs(now time.Duration) {
	for _, j := range m.jobsInOrder() {
		switch {
		case now >= j.spec.Deadline:
			m.expire(now, j)
		case now >= j.endsBy():
			m.fail(now, j, refusal(errkind.Overloaded, m.spread(afterOverloaded), "no worker had room in time"))
		}
	}
}

// endsBy is when a job is answered at the latest: at its deadline, or once nothing of it
// was sent in time. Held on, it would take the room of jobs that still can end in time.
func (j *job) endsBy() time.Duration {
	if j.sent {
		return j.spec.Deadline
	}
	return min(j.spec.Deadline, j.sendBy)
}

// tickFlights starts tasks of lost guards elsewhere once they have ended there.
func (m *Machine) tickFlights(now time.Duration) {
	if !m.anyLost {
		return
	}
	m.anyLost = false
	for _, f := range m.flightsInOrder() {
		if f.lost == 0 || now < f.lost {
			m.anyLost = m.anyLost || f.lost > 0
			continue
		}
		m.forget(f)
		f.step.at[f.site]--
		f.job.ran = true
		f.job.again(f.step, f.key.Index)
		m.enqueue(f.job)
	}
}

func (m *Machine) tickSites(now time.Duration) {
	busy := m.busySites()
	for _, s := range m.sites {
		if s == nil {
			continue
		}
		if s.sick && now >= s.until {
			m.comeBack(now, s)
		}
		switch {
		case !busy[s]:
		case now-max(s.heard, s.since) > m.opt.Timing.Permit:
			m.actions = append(m.actions, Action{Guard: s.guard, Drop: true})
			m.GuardDown(now, s.guard)
		case now-s.lastSent >= m.opt.Timing.Beat:
			m.beat(now, s)
		}
	}
}

// busySites gives the sites that owe an end. Only these are expected to speak: a
// guard that has nothing to do is rightly silent.
func (m *Machine) busySites() map[*site]bool {
	busy := make(map[*site]bool)
	for _, f := range m.flights {
		if f.lost == 0 {
			busy[f.site] = true
		}
	}
	return busy
}

// NextTick tells when Tick is next due; 0 for never.
func (m *Machine) NextTick() time.Duration {
	var next time.Duration
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, j := range m.jobs {
		sooner(j.endsBy())
	}
	for _, f := range m.flights {
		if f.lost > 0 {
			sooner(f.lost)
			continue
		}
		sooner(f.site.lastSent + m.opt.Timing.Beat)
		sooner(max(f.site.heard, f.site.since) + m.opt.Timing.Permit + time.Millisecond)
	}
	for _, s := range m.sites {
		if s != nil && s.sick {
			sooner(s.until)
		}
	}
	if len(m.queue) > 0 && m.uplink.holds {
		sooner(m.uplink.opensAt())
	}
	if m.advertised.CPU > 0 && m.advertisedTo < len(m.places) {
		sooner(m.advertisedAt + m.advertisePause())
	}
	return next
}
