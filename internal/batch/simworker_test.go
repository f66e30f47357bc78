package batch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
)

// simWorker runs tasks under leases as workers of the platform do.
type simWorker struct {
	s        *sim
	name     string
	number   int
	life     int
	id       string
	up       bool
	seq      int64
	born     time.Duration
	capacity sched.Room
	token    int64
	until    time.Duration // end of every lease, on its own clock
	active   map[runs.Key]*simRun
	highest  map[string]int64 // run that was started, stopped or ended, by task
	ended    []runs.Ended
	number0  int64
	waiting  *simHold
	slowBy   float64 // how many times longer a run takes; 0 for not
	stands   bool    // what runs does not advance
}

type simRun struct {
	key   runs.Key
	room  sched.Room
	began time.Duration
	takes time.Duration
	stood time.Duration // how long it has stood still
	since time.Duration // when it began to, if it does
}

// advanced is for how long the run has worked.
func (r *simRun) advanced(now time.Duration, stands bool) time.Duration {
	if stands {
		now = r.since
	}
	return now - r.began - r.stood
}

type simHold struct {
	answer func(*runs.HoldAnswer)
	done   bool
}

func (w *simWorker) reset() {
	w.life++
	w.id, w.up, w.born = fmt.Sprintf("%s-%d", w.name, w.life), true, w.s.now-time.Duration(w.number)*time.Second
	w.capacity = sched.Room{CPU: 16000, MemoryMB: 4096}
	w.token, w.until, w.seq = 0, 0, 0
	w.active, w.highest = make(map[runs.Key]*simRun), make(map[string]int64)
	w.ended, w.number0 = nil, 0
}

// crash ends a life; another one begins later.
func (w *simWorker) crash(down time.Duration) {
	if !w.up {
		return
	}
	for k := range w.active {
		delete(w.s.running, taskOf(k))
		w.s.jobs[k.Job].noteCrash(taskOf(k))
	}
	w.up, w.active = false, nil
	w.s.after(down, w.reset)
}

// recordCrash counts a crash of a worker where a task was.
func (j *simJob) noteCrash(task string) {
	if j.under == nil {
		j.under = make(map[string]int)
	}
	j.under[task]++
}

func taskOf(k runs.Key) string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Step, k.Index) }

// clock is 2% slow.
func (w *simWorker) clock() time.Duration { return (w.s.now - w.born) * 98 / 100 }

// admit checks what every order has to pass.
func (w *simWorker) admit(l *runs.Lease) runs.Verdict {
	switch {
	case !w.up:
		return runs.NoAnswer
	case l.Worker != w.id:
		return runs.OtherWorker
	case l.Token < w.token:
		return runs.FencedOff
	}
	w.token = l.Token
	return runs.Done
}

const simHoldMax = time.Second

func (w *simWorker) extend(untilMs int64) {
	until := time.Duration(untilMs) * time.Millisecond
	w.until = max(w.until, min(until, w.clock()+simHoldMax))
	w.s.after((w.until-w.clock())*100/98+time.Microsecond, w.lapse)
}

func (w *simWorker) lapse() {
	if !w.up || w.clock() < w.until {
		return
	}
	for _, r := range w.sorted() {
		w.end(r, runs.EndLapsed)
	}
}

func (w *simWorker) sorted() []*simRun {
	var out []*simRun
	for _, r := range w.active {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simRun) int { return strings.Compare(taskOf(a.key), taskOf(b.key)) })
	return out
}

func (w *simWorker) start(o *runs.Start) any {
	answer := func(v runs.Verdict) any { return runs.StartAnswer{Verdict: v, ClockMs: w.clock().Milliseconds()} }
	v := w.admit(&o.Lease)
	if v == runs.NoAnswer {
		return nil
	}
	if v != runs.Done {
		return answer(v)
	}
	if w.active[o.Key] != nil {
		return answer(runs.Done)
	}
	task := taskOf(o.Key)
	if o.Key.Run <= w.highest[task] {
		return answer(runs.Outdated)
	}
	if w.clock() >= time.Duration(o.UntilMs)*time.Millisecond {
		return answer(runs.LeaseOver)
	}
	w.extend(o.UntilMs)
	return answer(w.begin(o.Key, task))
}

func (w *simWorker) begin(k runs.Key, task string) runs.Verdict {
	s := w.s
	job := s.jobs[k.Job]
	step := job.steps[k.Step]
	taken := sched.Room{}
	for _, r := range w.active {
		taken = taken.Plus(r.room)
	}
	if !w.capacity.Minus(taken).Holds(step.Need) {
		s.breaks("worker %s was given more than it has room for", w.id)
		return runs.NoRoom
	}
	if other, twice := s.running[task]; twice {
		s.breaks("task %s was started at %s while it runs at %s", task, w.id, other)
	}
	s.checkDrain(w, task)
	if job.refused {
		s.breaks("task %s was started after its job was refused as not run", task)
	}
	s.counts.starts++
	job.started = true
	s.running[task] = w.id
	w.highest[task] = k.Run
	took := time.Duration(float64(step.Estimate) * (0.7 + 0.8*s.rng.Float64()))
	if job.took > 0 {
		took = time.Duration(float64(job.took) * (0.85 + 0.3*s.rng.Float64()))
	}
	if w.slowBy > 0 {
		took = time.Duration(w.slowBy * float64(took))
	}
	r := &simRun{key: k, room: step.Need, began: s.now, takes: took}
	w.active[k] = r
	how := runs.EndDone
	if s.rng.Float64() < s.faults.failRun {
		job.fails++
		how = runs.EndFailed
	}
	r.since = s.now
	if job.crashes && k.Index == 0 {
		s.after(crashesAfter, func() {
			if w.up && w.active[k] == r {
				s.counts.crashes++
				job.crashed[task]++
				w.crash(crashLasts)
			}
		})
	}
	if job.crashed[task] >= mostCrashed && !s.off.Has(policy.CrashLimit) {
		if job.again[task]++; job.again[task] >= mostAgain {
			s.breaks("task %s was started %d times after %d workers had crashed under it", task, job.again[task], job.crashed[task])
		}
	}
	w.endAfter(r, took, how)
	return runs.Done
}

// What a task does that crashes its worker, and when it must not be started any more.
const (
	crashesAfter = 5 * time.Millisecond
	crashLasts   = 3 * time.Second
	mostCrashed  = 3 // from then on its starts are counted
	mostAgain    = 3
)

// drainBound is how long after a request to drain a domain tasks may start there.
const drainBound = time.Second

// checkDrain looks at a start in a drained domain. A guard that has just woken takes what was
// held up in its order.
func (s *sim) checkDrain(w *simWorker, task string) {
	domain := domainOf(w.number)
	since, drained := s.drained[domain]
	if drained && s.now-since > drainBound && s.now-s.guards[w.number].woke > drainBound {
		s.breaks("task %s was started in %s, which has been drained for %v", task, domain, s.now-since)
	}
}

// endAfter ends a run once it has worked for its time.
func (w *simWorker) endAfter(r *simRun, left time.Duration, how runs.How) {
	life := w.life
	w.s.after(left, func() {
		if !w.up || w.life != life || w.active[r.key] != r {
			return
		}
		rest := r.takes - r.advanced(w.s.now, w.stands)
		if w.stands {
			rest = max(rest, time.Millisecond) // looked at again until it goes on
		}
		if rest > 0 {
			w.endAfter(r, rest, how)
			return
		}
		w.end(r, how)
	})
}

// standStill lets nothing that runs here advance.
func (w *simWorker) standStill() {
	w.stands = true
	for _, r := range w.active {
		r.since = w.s.now
	}
}

// goOn ends what made the worker slow or stand still.
func (w *simWorker) goOn() {
	w.slowBy = 0
	if !w.stands {
		return
	}
	w.stands = false
	for _, r := range w.active {
		r.stood += w.s.now - r.since
	}
}

func (w *simWorker) end(r *simRun, how runs.How) {
	delete(w.active, r.key)
	delete(w.s.running, taskOf(r.key))
	work := float64(r.room.CPU) / 1000 * (w.s.now - r.began).Seconds()
	w.s.worked += work
	w.s.jobs[r.key.Job].worked += work
	w.number0++
	w.ended = append(w.ended, runs.Ended{Number: w.number0, Key: r.key, How: how})
	if h := w.waiting; h != nil {
		w.waiting = nil
		h.answer(w.lists())
	}
}

func (w *simWorker) stop(o *runs.Stop) any {
	v := w.admit(&o.Lease)
	if v == runs.NoAnswer {
		return nil
	}
	if v != runs.Done {
		return v
	}
	task := taskOf(o.Key)
	w.highest[task] = max(w.highest[task], o.Key.Run)
	if r := w.active[o.Key]; r != nil {
		life := w.life
		w.s.after(40*time.Millisecond, func() {
			if w.up && w.life == life && w.active[o.Key] == r {
				w.end(r, runs.EndStopped)
			}
		})
	}
	return runs.Done
}

func (w *simWorker) lists() *runs.HoldAnswer {
	a := &runs.HoldAnswer{Verdict: runs.Done, ClockMs: w.clock().Milliseconds(), Ended: slices.Clone(w.ended)}
	for _, r := range w.sorted() {
		a.Active = append(a.Active, runs.Active{Key: r.key, Percent: int64(100 * r.advanced(w.s.now, w.stands) / r.takes)})
	}
	return a
}

// hold answers when something ends, or after the time that the guard waits.
func (w *simWorker) hold(g *simGuard, h *runs.Hold) {
	s := w.s
	h2 := &simHold{}
	back := func(after time.Duration, a *runs.HoldAnswer) {
		if h2.done {
			return
		}
		h2.done = true
		s.after(after, func() {
			if !g.gone {
				g.take(func() { g.step(func() { g.m.Held(s.now, h.Worker, a) }) })
			}
		})
	}
	h2.answer = func(a *runs.HoldAnswer) { back(simDelay/2+s.slowAnswers, a) }
	s.after(h.Wait+h.AnswerIn, func() { back(0, &runs.HoldAnswer{Verdict: runs.NoAnswer}) })
	if s.rng.Float64() < s.faults.lateOrder {
		return // its answer never comes
	}
	s.after(simDelay/2, func() { w.take(h, h2) })
}

func (w *simWorker) take(h *runs.Hold, h2 *simHold) {
	v := w.admit(&h.Lease)
	if v == runs.NoAnswer {
		h2.answer(&runs.HoldAnswer{Verdict: v, Gone: true})
		return
	}
	if v != runs.Done {
		h2.answer(&runs.HoldAnswer{Verdict: v, ClockMs: w.clock().Milliseconds()})
		return
	}
	if h.UntilMs > 0 {
		w.extend(h.UntilMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e runs.Ended) bool { return e.Number <= h.Ack })
	if len(w.ended) > 0 || h.Wait == 0 {
		h2.answer(w.lists())
		return
	}
	w.waiting = h2
	w.s.after(h.Wait, func() {
		if w.waiting == h2 && w.up {
			w.waiting = nil
			h2.answer(w.lists())
		}
	})
}
