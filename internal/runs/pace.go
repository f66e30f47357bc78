package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// A worker that becomes slow is recognizable by the progress of its runs long before they end.
// Judged by finished runs alone, it would be noticed only after a dozen of them, each taking
// several times as long as usual.

// Limits for judging the speed of a worker. The run times of normal workers vary by about 0.4
// around the expected time, and an estimate may be off by half.
const (
	// minGoodPace is the fraction of the expected speed below which a run counts as slow.
	minGoodPace = 0.4
	// minPaceAge is the minimum age of a run that is judged. The progress of younger runs is
	// too imprecise, because workers report whole percents.
	minPaceAge = 40 * time.Millisecond
	// Of the paceWindowJobs newest jobs, at least minSlowJobs must be slow for the worker to
	// count as slow, and at most maxSlowJobsToRecover for it to count as normal again. The
	// tasks of a job count once, because its caller's estimate is off for all of them.
	paceWindowJobs       = 5
	minSlowJobs          = 4
	maxSlowJobsToRecover = 1
	// moveTimeFactor is the minimum ratio of the remaining time of a slow run, less the time
	// to stop it, to the expected run time on another worker for the run to be moved.
	moveTimeFactor = 1.5
)

// pace returns the speed of a run so far as a fraction of the speed expected on this worker, and
// whether it can be determined yet. The result is the highest speed that the reported whole percent
// allows. A run without any progress is left to trackProgress.
func (m *Machine) pace(now time.Duration, r *run) (float64, bool) {
	age := now - r.acceptedAt
	if r.state != running || r.expectedTime <= 0 || r.percent <= 0 || age < minPaceAge {
		return 0, false
	}
	doneTime := float64(min(r.percent+1, 100)) / 100 * float64(m.expectedTimeHere(r))
	return doneTime / float64(age), true
}

// paceWindow records whether the newest jobs were slow on the worker.
type paceWindow struct {
	recordedJobs map[string]bool // recorded jobs that still have runs at the worker
	slow         []bool          // one element per job, the oldest first
}

// recordJob records the pace of a job. Only the first call for a job has an effect.
func (w *paceWindow) recordJob(job string, pace float64) {
	if w.recordedJobs[job] {
		return
	}
	if w.recordedJobs == nil {
		w.recordedJobs = make(map[string]bool)
	}
	w.recordedJobs[job] = true
	if len(w.slow) == paceWindowJobs {
		w.slow = w.slow[1:]
	}
	w.slow = append(w.slow, pace < minGoodPace)
}

// slowJobCount returns the number of slow jobs in the window.
func (w *paceWindow) slowJobCount() int {
	count := 0
	for _, slow := range w.slow {
		if slow {
			count++
		}
	}
	return count
}

// detectSlowWorker updates whether the worker is slow from the runs that it has just listed,
// announces a change, and stops the runs that would finish sooner elsewhere. A worker without
// runs counts as normal, so that each entry tries it again with a task.
func (m *Machine) detectSlowWorker(now time.Duration) {
	if m.disabled.Has(policy.PaceWatch) {
		return
	}
	for _, r := range m.sortedRuns() {
		if speed, ok := m.pace(now, r); ok {
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

// removeJobPace removes a job that has no runs left from the recorded jobs.
func (m *Machine) removeJobPace(job string) {
	for k := range m.runs {
		if k.Job == job {
			return
		}
	}
	delete(m.paceWindow.recordedJobs, job)
}

// recordFinishedPace records the pace of a finished run. It covers jobs whose runs finish
// before their progress can be judged.
func (m *Machine) recordFinishedPace(now time.Duration, r *run) {
	if r.expectedTime > 0 && r.isAccepted {
		runTime := max(now-r.acceptedAt, time.Millisecond)
		m.paceWindow.recordJob(r.key.Job, float64(m.expectedTimeHere(r))/float64(runTime))
		m.recordSlowness(now, r, runTime)
	}
}

// moveSlowRuns stops the runs that would finish sooner if they were restarted elsewhere. A task
// is moved only once, because one that is slow on every worker would otherwise never finish.
func (m *Machine) moveSlowRuns(now time.Duration) {
	for _, r := range m.sortedRuns() {
		speed, ok := m.pace(now, r)
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
