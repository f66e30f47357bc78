package batch_test

import (
	"cmp"
	"fmt"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
)

// Sizes of a request and an answer on a link without the job's text, in bytes.
const (
	requestBytes = 500
	answerBytes  = 250
)

// submit submits a job as a caller does, and resubmits it if it gets no final answer.
func (s *sim) submit(j *simJob, callerTimeout time.Duration) {
	for range s.extraDraws {
		s.rng.Uint64()
	}
	s.route(j)
	e := s.entries[j.entry]
	isDone := false
	resubmit := func() {
		j.hasUnknownAttempt = true
		if !j.hasEnded && s.now-j.submittedAt < 6*time.Second {
			s.after(s.resendInterval, func() { s.submit(j, callerTimeout) })
		}
	}
	answer := func(out *batch.Outcome) {
		if isDone {
			return
		}
		isDone = true
		s.at(s.transmit(&e.out, answerBytes)+simDelay, func() { s.handleAnswer(j, out, resubmit) })
	}
	s.at(s.transmit(&e.in, requestBytes+len(j.text))+simDelay, func() {
		if e.hasExited {
			if !isDone {
				isDone = true
				resubmit()
			}
			return
		}
		e.handle(func() {
			// An entry that has resumed waits for ResumeDelay, so that callers that have left cancel first.
			s.at(e.resumedAt+batch.ResumeDelay, func() {
				if !isDone && !e.hasExited {
					e.handle(func() { e.submit(j, callerTimeout, answer) })
				}
			})
		})
	})
	s.after(callerTimeout, func() {
		if !isDone { // the caller leaves and resubmits the job
			isDone = true
			if !e.hasExited {
				e.handle(func() { e.step(func() { e.m.Withdraw(s.now, j.id) }) })
			}
			resubmit()
		}
	})
}

// route determines the entry that a job is sent to, and its caller if it has none yet.
func (s *sim) route(j *simJob) {
	switch {
	case j.atEntry != nil:
		j.entry = j.atEntry()
	case s.callers > 0:
		s.requests++
		j.entry = s.requests % s.callers % len(s.entries)
		if s.callersSpread {
			j.entry = s.rng.IntN(len(s.entries))
		}
		j.caller = cmp.Or(j.caller, fmt.Sprintf("caller-%d", s.requests%s.callers))
	default:
		j.entry = s.drawEntry()
		j.caller = cmp.Or(j.caller, s.callerAt(j.entry))
	}
}

// drawEntry draws the number of the entry that a request is sent to.
func (s *sim) drawEntry() int {
	switch {
	case s.entriesInTurn:
		return s.requests % len(s.entries)
	case s.entryShares == nil:
		return s.rng.IntN(len(s.entries))
	}
	point := s.rng.Float64()
	for i, share := range s.entryShares {
		if point -= share; point < 0 {
			return i
		}
	}
	return len(s.entries) - 1
}

// callerAt returns one of the callers that use an entry, in turn. All callers send about as many requests.
func (s *sim) callerAt(entry int) string {
	callers := loadCallers / len(s.entries)
	if s.entryShares != nil {
		callers = max(1, int(loadCallers*s.entryShares[entry]))
	}
	s.requests++
	return fmt.Sprintf("caller-%d-%d", entry, s.requests%callers)
}

func (e *simEntry) submit(j *simJob, callerTimeout time.Duration, answer func(*batch.Outcome)) {
	switch e.m.State(j.id) {
	case batch.Queued, batch.Running:
		e.waiters[j.id] = answer
		return
	}
	e.waiters[j.id] = answer
	var refusal *errkind.Error
	e.step(func() {
		refusal = e.m.Submit(e.s.now, &batch.Job{ID: j.id, Caller: j.caller, Queue: cmp.Or(j.queue, simQueue), Text: cmp.Or(j.text, "x"), Steps: j.steps, Deadline: e.s.now + callerTimeout})
	})
	if refusal != nil {
		delete(e.waiters, j.id)
		answer(&batch.Outcome{ID: j.id, Err: refusal})
	}
}

var simQueue = &batch.Queue{Name: "q", Service: "svc", MaxAttempts: 4, Stretch: 1.6, Slack: 60 * time.Millisecond}

// checkFailure checks that a job answered as failed has a failed run, or a task during whose runs
// two workers crashed.
func (s *sim) checkFailure(j *simJob, err *errkind.Error) {
	maxCrashes := 0
	for _, n := range j.crashesByTask {
		maxCrashes = max(maxCrashes, n)
	}
	if err.Kind == errkind.UpstreamFailed && j.failedRuns == 0 && maxCrashes < 2 {
		s.addViolation("job %s was answered as failed without a failed run and with %d worker crashes during one task: %v", j.id, maxCrashes, err)
	}
}

func (s *sim) handleAnswer(j *simJob, out *batch.Outcome, resubmit func()) {
	j.answeredAt = s.now
	if j.onAnswer != nil {
		j.onAnswer(out)
	}
	switch {
	case out.Err == nil:
		s.counts.complete++
		j.hasEnded = true
	case batch.IsFinalFailure(out.Err):
		s.counts.failed++
		j.hasEnded, j.failed = true, true
		s.checkFailure(j, out.Err)
	case out.Err.Ran == errkind.RanNo:
		s.counts.refused++
		j.hasEnded, j.refused = true, !j.hasUnknownAttempt
		if j.hasStarted && j.refused {
			s.addViolation("job %s was refused as not run after one of its tasks was started: %v", j.id, out.Err)
		}
	default:
		s.counts.unknown++
		resubmit()
	}
}

// simTextBytes is the size of a random job's text.
const simTextBytes = 2400

// submitRandomJob submits a random job with one or two steps.
func (s *sim) submitRandomJob(n int) {
	j := &simJob{id: fmt.Sprintf("%016x", n), submittedAt: s.now, text: randomText(simTextBytes)}
	for i := range 1 + s.rng.IntN(2) {
		step := batch.Step{
			Count: 1 + s.rng.IntN(5), Need: sched.Resources{CPU: 2000 + s.rng.Int64N(3000), MemoryMB: 64},
			Estimate: time.Duration(40+s.rng.IntN(400)) * time.Millisecond,
		}
		if i > 0 {
			step.After = []int{0}
		}
		j.steps = append(j.steps, step)
	}
	s.jobs[j.id] = j
	s.counts.sent++
	s.submit(j, 4*time.Second)
}

// sendReport sends a worker's report to its guard, now and periodically.
func (s *sim) sendReport(i int) {
	w := s.workers[i]
	if w.isUp {
		g := s.guards[i]
		w.seq++
		rep := &runs.Report{
			WorkerInstance: w.instance, Seq: w.seq, ClockMs: w.clock().Milliseconds(), Service: "svc", Domain: domainOf(i),
			Capacity: w.capacity,
		}
		if !g.hasExited {
			g.handle(func() { g.step(func() { g.m.HandleReport(s.now, rep) }) })
		}
	}
	s.after(1500*time.Millisecond, func() { s.sendReport(i) })
}
