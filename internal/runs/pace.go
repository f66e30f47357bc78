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
	// minGoodPace is the part of the expected speed below which a run counts as slow.
	minGoodPace = 0.4
	// minPaceAge is the age from which on a run is judged: a worker shows whole percents.
	minPaceAge = 40 * time.Millisecond
	// paceWindowJobs is how many of the newest jobs are looked at, and minSlowJobs how many of them
	// have to be slow, and maxSlowJobsToRecover at most for the worker to be good again. Tasks of one
	// job count once: its caller's estimate is off for all of them.
	paceWindowJobs       = 5
	minSlowJobs          = 4
	maxSlowJobsToRecover = 1
	// moveTimeFactor is by how much the expected time elsewhere has to fall short of the
	// rest of a slow run, beside the time of its stop.
	moveTimeFactor = 1.5
)

// pace is the speed of a run so far, as a part of what is expected, at the most that the
// shown percent allows; false if it cannot be told yet. A run that shows no progress at
// all is left to watch.
func (r *run) pace(now time.Duration) (float64, bool) {
	age := now - r.acceptedAt
	if r.state != running || r.expectedTime <= 0 || r.percent <= 0 || age < minPaceAge {
		return 0, false
	}
	doneTime := float64(min(r.percent+1, 100)) / 100 * float64(r.expectedTime)
	return doneTime / float64(age), true
}

// paceWindow is what the newest jobs tell of the worker's speed.
type paceWindow struct {
	judgedJobs map[string]bool // jobs with runs here that have been judged
	slow       []bool          // of the newest jobs, the oldest first
}

// recordJob notes the speed that a job showed, once for each job.
func (w *paceWindow) recordJob(job string, pace float64) {
	if w.judgedJobs[job] {
		return
	}
	if w.judgedJobs == nil {
		w.judgedJobs = make(map[string]bool)
	}
	w.judgedJobs[job] = true
	if len(w.slow) == paceWindowJobs {
		w.slow = w.slow[1:]
	}
	w.slow = append(w.slow, pace < minGoodPace)
}

// slowJobCount counts the slow ones of the newest jobs.
func (w *paceWindow) slowJobCount() int {
	count := 0
	for _, slow := range w.slow {
		if slow {
			count++
		}
	}
	return count
}

// detectSlowWorker judges the worker's speed by the runs that were just listed, announces a
// change, and gives back the runs that would end sooner elsewhere. With nothing left to
// judge, the worker counts as good: entries try it with a task each.
func (m *Machine) detectSlowWorker(now time.Duration) {
	if m.disabled.Has(policy.PaceWatch) {
		return
	}
	for _, r := range m.sortedRuns() {
		if speed, ok := r.pace(now); ok {
			m.paceWindow.recordJob(r.key.Job, speed)
		}
	}
	wasSlow := m.worker.Slow
	switch slowJobs := m.paceWindow.slowJobCount(); {
	case len(m.runs) == 0:
		m.paceWindow = paceWindow{}
		m.worker.Slow = false
	case slowJobs >= minSlowJobs:
		m.worker.Slow = true
	case slowJobs <= maxSlowJobsToRecover:
		m.worker.Slow = false
	}
	if m.worker.Slow != wasSlow {
		m.announceWorker(now)
	}
	if m.worker.Slow {
		m.moveSlowRuns(now)
	}
}

// removeJobPace drops what is kept of a job without runs here.
func (m *Machine) removeJobPace(job string) {
	for k := range m.runs {
		if k.Job == job {
			return
		}
	}
	delete(m.paceWindow.judgedJobs, job)
}

// recordFinishedPace judges a job by a run that was done before it could be judged.
func (m *Machine) recordFinishedPace(now time.Duration, r *run) {
	if r.expectedTime > 0 && r.isAccepted {
		m.paceWindow.recordJob(r.key.Job, float64(r.expectedTime)/float64(max(now-r.acceptedAt, time.Millisecond)))
	}
}

// moveSlowRuns stops the runs that would end sooner if they were begun again elsewhere, each
// task once: a task that is slow everywhere must not move for ever.
func (m *Machine) moveSlowRuns(now time.Duration) {
	for _, r := range m.sortedRuns() {
		speed, ok := r.pace(now)
		if !ok || speed >= minGoodPace || r.hasMoved {
			continue
		}
		doneFraction := float64(r.percent+1) / 100
		remaining := time.Duration(float64(now-r.acceptedAt) / doneFraction * (1 - doneFraction))
		if remaining > MaxStopDelay+time.Duration(moveTimeFactor*float64(r.expectedTime)) {
			m.stopRun(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
		}
	}
}
