package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// A worker that turns slow shows it in how its runs advance, long before they end. Learnt
// from their ends alone, it is noticed after a dozen of them, each of which takes several
// times as long as usual.

// Bounds of the judgement. The run times of good workers spread by about 0.4 around what
// is expected, and an estimate may be off by half.
const (
	// slowPace is the part of the expected speed below which a run counts as slow.
	slowPace = 0.4
	// paceAfter is the age from which on a run is judged: a worker shows whole percents.
	paceAfter = 40 * time.Millisecond
	// paceJobs is how many of the newest jobs are looked at, and paceSlow how many of them
	// have to be slow, and paceGood at most for the worker to be good again. Tasks of one
	// job count once: its caller's estimate is off for all of them.
	paceJobs = 5
	paceSlow = 4
	paceGood = 1
	// moveMargin is by how much the expected time elsewhere has to fall short of the
	// rest of a slow run, beside the time of its stop.
	moveMargin = 1.5
)

// pace is the speed of a run so far, as a part of what is expected, at the most that the
// shown percent allows; false if it cannot be told yet. A run that shows no progress at
// all is left to watch.
func (r *run) pace(now time.Duration) (float64, bool) {
	age := now - r.present
	if r.state != running || r.expect <= 0 || r.percent <= 0 || age < paceAfter {
		return 0, false
	}
	done := float64(min(r.percent+1, 100)) / 100 * float64(r.expect)
	return done / float64(age), true
}

// pacing is what the newest jobs tell of the worker's speed.
type pacing struct {
	judged map[string]bool // jobs with runs here that have been judged
	slow   []bool          // of the newest jobs, the oldest first
}

// judge notes the speed that a job showed, once for each job.
func (g *pacing) judge(job string, pace float64) {
	if g.judged[job] {
		return
	}
	if g.judged == nil {
		g.judged = make(map[string]bool)
	}
	g.judged[job] = true
	if len(g.slow) == paceJobs {
		g.slow = g.slow[1:]
	}
	g.slow = append(g.slow, pace < slowPace)
}

// slowJobs counts the slow ones of the newest jobs.
func (g *pacing) slowJobs() int {
	n := 0
	for _, slow := range g.slow {
		if slow {
			n++
		}
	}
	return n
}

// watchPace judges the worker's speed by the runs that were just listed, announces a
// change, and gives back the runs that would end sooner elsewhere. With nothing left to
// judge, the worker counts as good: entries try it with a task each.
func (m *Machine) watchPace(now time.Duration) {
	if m.off.Has(policy.PaceWatch) {
		return
	}
	for _, r := range m.inOrder() {
		if p, ok := r.pace(now); ok {
			m.pacing.judge(r.key.Job, p)
		}
	}
	was := m.worker.Slow
	switch slow := m.pacing.slowJobs(); {
	case len(m.runs) == 0:
		m.pacing = pacing{}
		m.worker.Slow = false
	case slow >= paceSlow:
		m.worker.Slow = true
	case slow <= paceGood:
		m.worker.Slow = false
	}
	if m.worker.Slow != was {
		m.announce(now)
	}
	if m.worker.Slow {
		m.moveSlow(now)
	}
}

// forgetPace drops what is kept of a job without runs here.
func (m *Machine) forgetPace(job string) {
	for k := range m.runs {
		if k.Job == job {
			return
		}
	}
	delete(m.pacing.judged, job)
}

// ranPace judges a job by a run that was done before it could be judged.
func (m *Machine) ranPace(now time.Duration, r *run) {
	if r.expect > 0 && r.answered {
		m.pacing.judge(r.key.Job, float64(r.expect)/float64(max(now-r.present, time.Millisecond)))
	}
}

// moveSlow stops the runs that would end sooner if they were begun again elsewhere, each
// task once: a task that is slow everywhere must not move for ever.
func (m *Machine) moveSlow(now time.Duration) {
	for _, r := range m.inOrder() {
		p, ok := r.pace(now)
		if !ok || p >= slowPace || r.moved {
			continue
		}
		done := float64(r.percent+1) / 100
		rest := time.Duration(float64(now-r.present) / done * (1 - done))
		if rest > StopTime+time.Duration(moveMargin*float64(r.expect)) {
			m.stop(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
		}
	}
}
