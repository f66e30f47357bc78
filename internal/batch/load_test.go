package batch_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
)

// requestKind is a kind of request of a load.
type requestKind struct {
	queue    *batch.Queue
	share    float64 // of the arrivals
	tasks    int
	cpu      int64 // of a task, thousandths of a core
	run      time.Duration
	patience time.Duration // of its callers
	text     int           // bytes that tell what its tasks are
	shorter  float64       // by how much its callers' estimates are too short; 0 for not at all
}

// deskMix is the mix of a ticket desk: holds of a few seats each that are most urgent,
// small checks, and long bookings of groups, which come last. They are as 2 to 4 to 3 in
// processor time, and each kind is a third of what the service is worth to its callers.
func deskMix() []requestKind {
	queue := func(name string, priority int) *batch.Queue {
		return &batch.Queue{Name: name, Service: "svc", Priority: priority, MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond}
	}
	return []requestKind{
		{queue: queue("hold", 0), share: 34.4, tasks: 8, cpu: 3100, run: 60 * time.Millisecond, patience: 1500 * time.Millisecond, text: 2400},
		{queue: queue("booking", 2), share: 6.25, tasks: 4, cpu: 3100, run: 900 * time.Millisecond, patience: 4300 * time.Millisecond, text: 300},
		{queue: queue("check", 1), share: 100, tasks: 2, cpu: 3100, run: 200 * time.Millisecond, patience: 1500 * time.Millisecond, text: 2400},
	}
}

// work is the processor time of a usual job, in cores times seconds.
func (k *requestKind) work() float64 {
	return float64(k.tasks) * float64(k.cpu) / 1000 * k.run.Seconds()
}

// load is a time of steady load at three entries and ten workers of 15 cores: a task
// takes a fifth of a worker, so that much room lies free in pieces.
type load struct {
	seed   uint64
	ofRoom float64 // work that is asked for, by the room of all workers
	length time.Duration
	off    policy.Set
	slow   int  // workers that turn slow after a quarter of the length, for half of it
	hang   int  // workers whose tasks stand still for that time
	drain  bool // one of the two failure domains is drained for that time
	crash  int  // jobs that crash each worker which starts a task of them
	flap   int  // workers that crash by themselves every flapEvery for half of the length
	// unanswered is the part of the orders to workers without an answer, from a quarter
	// of the length on, for half of it.
	unanswered  float64
	slowAnswers time.Duration // by how much later workers answer
	shifts      []requestKind // the mix after a third of the length; nil for the same throughout
	linkRate    float64       // of an entry's link in each direction, in bytes a second; 0 for no bound
}

// fault names what is wrong with the workers of a load, for the name of a figure.
func (l load) fault() string {
	switch {
	case l.slow > 0:
		return fmt.Sprintf("-slow-%d", l.slow)
	case l.hang > 0:
		return fmt.Sprintf("-hang-%d", l.hang)
	case l.unanswered > 0:
		return "-unanswered"
	}
	return ""
}

// loadSlowBy is by how much the slow workers of a load are slower.
const loadSlowBy = 5.6

const (
	loadEntries = 3
	loadGuards  = 10
	loadCPU     = 15_000
	loadRoom    = loadGuards * loadCPU / 1000.0 // cores
)

// tally is what became of the requests of one kind.
type tally struct{ asked, inTime, late, refused int }

// loadResult is what a load gave.
type loadResult struct {
	kinds   []tally
	shifted []tally // by shiftWindow since the mix has shifted
	busy    float64 // part of the workers' room that was at work
	wasted  float64 // part of the work done that served no caller in time
	broken  []string

	crashes       int           // of workers
	wronged       int           // jobs that were told to have failed, and would not have
	convicted     int           // jobs that crash workers and were told to have failed
	answeredAfter time.Duration // on average
}

// served is the mean share of the kinds that was served in time.
func (r *loadResult) served() float64 {
	sum := 0.0
	for _, k := range r.kinds {
		sum += float64(k.inTime) / float64(max(1, k.asked))
	}
	return sum / float64(len(r.kinds))
}

// String is for the comments of checks.
func (r *loadResult) String() string {
	out := fmt.Sprintf("served in time %.3f, busy %.2f, wasted %.2f, by kind:", r.served(), r.busy, r.wasted)
	for _, k := range r.kinds {
		n := float64(max(1, k.asked))
		out += fmt.Sprintf(" %.2f (late %.2f, refused %.2f)", float64(k.inTime)/n, float64(k.late)/n, float64(k.refused)/n)
	}
	return out
}

// play plays a load without faults.
func (l load) play() *loadResult {
	s := newSim(l.seed, loadEntries, loadGuards, runs.DefaultResend, l.off)
	s.linkRate, s.slowAnswers = l.linkRate, l.slowAnswers
	for _, w := range s.workers {
		w.capacity = sched.Room{CPU: loadCPU, MemoryMB: 1 << 20}
	}
	start := s.now + 3*time.Second
	s.run(start)
	mix := deskMix()
	r := &loadResult{kinds: make([]tally, len(mix))}
	n := 0
	ask := func(kinds []requestKind, which int, t *tally) {
		n++
		s.ask(fmt.Sprintf("%016x", n), &kinds[which], t)
	}
	before := l
	if l.shifts != nil {
		before.length = l.length / 3
		after, shifted := l, start+before.length
		after.length -= before.length
		r.shifted = make([]tally, after.length/shiftWindow+1)
		after.arrive(s, shifted, l.shifts, func(which int) {
			ask(l.shifts, which, &r.shifted[(s.now-shifted)/shiftWindow])
		})
	}
	before.arrive(s, start, mix, func(which int) { ask(mix, which, &r.kinds[which]) })
	for i := range l.slow + l.hang {
		w := s.workers[i]
		s.at(start+l.length/4, func() {
			if i >= l.slow {
				w.standStill()
				return
			}
			w.slowBy = loadSlowBy
		})
		s.at(start+3*l.length/4, w.goOn)
	}
	if l.drain {
		s.at(start+l.length/4, func() { s.drain("d0") })
		s.at(start+3*l.length/4, func() { s.drain() })
	}
	l.crashSome(s, start, r, mix)
	for i := range l.flap {
		for at := start + l.length/4; at < start+3*l.length/4; at += flapEvery {
			s.at(at, func() { s.workers[i].crash(flapEvery / 2) })
		}
	}
	s.at(start+l.length/4, func() { s.faults.lateOrder = l.unanswered })
	s.at(start+3*l.length/4, func() { s.faults.lateOrder = 0 })
	s.run(start + l.length + 6*time.Second)
	r.crashes = s.counts.crashes
	for _, j := range s.jobs {
		if j.failed && !j.crashes {
			r.wronged++
		}
	}
	r.busy = s.worked / (l.length.Seconds() * loadRoom)
	r.wasted = s.wasted / s.worked
	r.broken = s.broken
	return r
}

// flapEvery is the time between two crashes of a worker that flaps.
const flapEvery = 1300 * time.Millisecond

// crashSome sends jobs that crash workers, spread over the length.
func (l load) crashSome(s *sim, start time.Duration, r *loadResult, mix []requestKind) {
	for n := range l.crash {
		at := start + l.length*time.Duration(n+1)/time.Duration(l.crash+1)
		s.at(at, func() {
			step, took := s.sample(&mix[n%len(mix)])
			j := &simJob{id: fmt.Sprintf("c%015x", n), steps: []batch.Step{step}, began: s.now, queue: mix[n%len(mix)].queue, took: took, text: "x", crashes: true, crashed: make(map[string]int), again: make(map[string]int)}
			s.jobs[j.id] = j
			j.told = func(out *batch.Outcome) {
				if out.Err != nil && batch.HasFailed(out.Err) {
					r.convicted++
					r.answeredAfter += (s.now - j.began) / time.Duration(l.crash)
				}
			}
			s.submit(j, mix[n%len(mix)].patience)
		})
	}
}

// arrive lets requests come at random moments from start on. ask is told the kind of each.
func (l load) arrive(s *sim, start time.Duration, mix []requestKind, ask func(which int)) {
	shares, work := 0.0, 0.0
	for i := range mix {
		shares += mix[i].share
		work += mix[i].share * mix[i].work()
	}
	perSecond := l.ofRoom * loadRoom / (work / shares)
	for at := start; at < start+l.length; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		which := s.draw(mix, shares)
		s.at(at, func() { ask(which) })
	}
}

// draw draws a kind by its share.
func (s *sim) draw(mix []requestKind, shares float64) int {
	at := s.rng.Float64() * shares
	for i := range mix {
		if at -= mix[i].share; at < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// sample draws a job of a kind. Its size and run time spread around the usual ones, and its
// estimate is off by as much as half.
func (s *sim) sample(k *requestKind) (step batch.Step, took time.Duration) {
	around := func(sigma float64) float64 { return math.Exp(sigma * s.rng.NormFloat64()) }
	took = time.Duration(float64(k.run) * around(0.3))
	return batch.Step{
		Count:    max(1, int(math.Round(float64(k.tasks)*around(0.4)))),
		Need:     sched.Room{CPU: int64(float64(k.cpu) * (0.6 + 0.8*s.rng.Float64())), MemoryMB: 64},
		Estimate: time.Duration(float64(took) * (0.7 + 0.8*s.rng.Float64()) / max(1, k.shorter)),
	}, took
}

// goal is the time in which a job of a kind that takes took should end.
func (k *requestKind) goal(took time.Duration) time.Duration {
	return time.Duration(k.queue.Stretch*float64(took)) + k.queue.Slack
}

// textOf gives a text of n bytes, each of which tells four bits.
func textOf(n int) string {
	rng := rand.New(rand.NewPCG(1, 1)) // not that of the load, which would change with the length
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + rng.IntN(16))
	}
	return string(b)
}

// ask sends one job of a kind and counts how it fares.
func (s *sim) ask(id string, k *requestKind, t *tally) {
	step, took := s.sample(k)
	j := &simJob{id: id, steps: []batch.Step{step}, began: s.now, queue: k.queue, took: took, text: textOf(k.text)}
	s.jobs[id] = j
	goal := k.goal(took)
	t.asked++
	j.told = func(out *batch.Outcome) {
		switch {
		case out.Err == nil && s.now-j.began <= goal:
			t.inTime++
			return
		case out.Err == nil:
			t.late++
		case out.Err.Ran == errkind.RanNo:
			t.refused++
		}
		s.wasted += j.worked
	}
	s.submit(j, k.patience)
}

const loadLength = 12 * time.Second

// loadSeeds is how many seeds each load is played with. The figures in the comments of
// the rules come from four: go test ./internal/batch -run Load -v -load.seeds 4
var loadSeeds = flag.Uint64("load.seeds", 2, "seeds of each simulated load")

// results plays a load without some mechanisms, once with each seed.
func (l load) results(t *testing.T, off ...policy.Mechanism) (list []*loadResult) {
	return l.resultsOf(t, *loadSeeds, off...)
}

// playsAtOnce bounds the plays of one load that go on beside each other; each has its own clock.
const playsAtOnce = 4

// resultsOf is the same with a number of seeds.
func (l load) resultsOf(t *testing.T, seeds uint64, off ...policy.Mechanism) []*loadResult {
	l.length, l.off = loadLength, policy.Of(off...)
	list := make([]*loadResult, seeds)
	slots := make(chan struct{}, playsAtOnce)
	var plays sync.WaitGroup
	for i := range list {
		l.seed = uint64(i) + 1
		play := l.play
		plays.Go(func() {
			slots <- struct{}{}
			list[i] = play()
			<-slots
		})
	}
	plays.Wait()
	for i, r := range list {
		qt.Assert(t, r.broken, qt.HasLen, 0)
		t.Logf("load %.2f, seed %d: %s", l.ofRoom, i+1, r)
	}
	return list
}

// mean is the mean of a figure of some results.
func mean(list []*loadResult, figure func(*loadResult) float64) float64 {
	sum := 0.0
	for _, r := range list {
		sum += figure(r)
	}
	return sum / float64(len(list))
}

// meanOf plays a load and gives what it served in time and what was wasted, on average.
func meanOf(t *testing.T, ofRoom float64, off ...policy.Mechanism) (served, wasted float64) {
	list := load{ofRoom: ofRoom}.results(t, off...)
	return mean(list, (*loadResult).served), mean(list, func(r *loadResult) float64 { return r.wasted })
}
