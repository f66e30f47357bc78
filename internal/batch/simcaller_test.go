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

// What a request and its answer take on a link beside the text of the job, in bytes.
const (
	requestBytes = 500
	answerBytes  = 250
)

// submit sends a job as a caller would, and again where it gets no final answer.
func (s *sim) submit(j *simJob, patience time.Duration) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	done := false
	again := func() {
		j.doubt = true
		if !j.ended && s.now-j.began < 6*time.Second {
			s.after(s.resend, func() { s.submit(j, patience) })
		}
	}
	answer := func(out *batch.Outcome) {
		if done {
			return
		}
		done = true
		s.at(s.passes(&e.out, answerBytes)+simDelay, func() { s.answered(j, out, again) })
	}
	s.at(s.passes(&e.in, requestBytes+len(j.text))+simDelay, func() {
		if e.gone {
			if !done {
				done = true
				again()
			}
			return
		}
		e.take(func() {
			// An entry that was frozen waits a little for callers that have left.
			s.at(e.woke+batch.WakePause, func() {
				if !done && !e.gone {
					e.take(func() { e.submit(j, patience, answer) })
				}
			})
		})
	})
	s.after(patience, func() {
		if !done { // the caller leaves, and sends the job again
			done = true
			if !e.gone {
				e.take(func() { e.step(func() { e.m.Cancel(s.now, j.id) }) })
			}
			again()
		}
	})
}

func (e *simEntry) submit(j *simJob, patience time.Duration, answer func(*batch.Outcome)) {
	switch e.m.State(j.id) {
	case batch.Queued, batch.Running:
		e.waiters[j.id] = answer
		return
	}
	e.waiters[j.id] = answer
	var refused *errkind.Error
	e.step(func() {
		refused = e.m.Submit(e.s.now, &batch.Job{ID: j.id, Queue: cmp.Or(j.queue, simQueue), Text: cmp.Or(j.text, "x"), Steps: j.steps, Deadline: e.s.now + patience})
	})
	if refused != nil {
		delete(e.waiters, j.id)
		answer(&batch.Outcome{ID: j.id, Err: refused})
	}
}

var simQueue = &batch.Queue{Name: "q", Service: "svc", MaxAttempts: 4, Stretch: 1.6, Slack: 60 * time.Millisecond}

// checkFailed looks at a job that is told to have failed: a run of it has, or two workers have
// crashed under one of its tasks.
func (s *sim) checkFailed(j *simJob, err *errkind.Error) {
	most := 0
	for _, n := range j.under {
		most = max(most, n)
	}
	if err.Kind == errkind.UpstreamFailed && j.fails == 0 && most < 2 {
		s.breaks("job %s is told to have failed, no run of it has, and %d workers crashed under a task: %v", j.id, most, err)
	}
}

func (s *sim) answered(j *simJob, out *batch.Outcome, again func()) {
	if j.told != nil {
		j.told(out)
	}
	switch {
	case out.Err == nil:
		s.counts.complete++
		j.ended = true
	case batch.HasFailed(out.Err):
		s.counts.failed++
		j.ended, j.failed = true, true
		s.checkFailed(j, out.Err)
	case out.Err.Ran == errkind.RanNo:
		s.counts.refused++
		j.ended, j.refused = true, !j.doubt
		if j.started && j.refused {
			s.breaks("job %s was refused as not run, but a task of it had been started: %v", j.id, out.Err)
		}
	default:
		s.counts.unknown++
		again()
	}
}

// simText is the length of the text of a job, in bytes.
const simText = 2400

// job makes a job and sends it.
func (s *sim) job(n int) {
	j := &simJob{id: fmt.Sprintf("%016x", n), began: s.now, text: textOf(simText)}
	for i := range 1 + s.rng.IntN(2) {
		step := batch.Step{
			Count: 1 + s.rng.IntN(5), Need: sched.Room{CPU: 2000 + s.rng.Int64N(3000), MemoryMB: 64},
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

func (s *sim) report(i int) {
	w := s.workers[i]
	if w.up {
		g := s.guards[i]
		w.seq++
		rep := &runs.Report{
			ID: w.id, Seq: w.seq, ClockMs: w.clock().Milliseconds(), Service: "svc", Domain: domainOf(i),
			Capacity: w.capacity,
		}
		if !g.gone {
			g.take(func() { g.step(func() { g.m.Heard(s.now, rep) }) })
		}
	}
	s.after(1500*time.Millisecond, func() { s.report(i) })
}
