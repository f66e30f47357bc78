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
	queue           *batch.Queue
	share           float64 // of the arrivals
	tasks           int
	cpu             int64 // of a task, thousandths of a core
	meanRunTime     time.Duration
	callerTimeout   time.Duration // of its callers
	text            int           // bytes that tell what its tasks are
	estimateDivisor float64       // by how much its callers' estimates are too short; 0 for not at all
}

// ticketMix is the mix of a ticket desk: holds of a few seats each that are most urgent,
// small checks, and long bookings of groups, which come last. They are as 2 to 4 to 3 in
// processor time, and each kind is a third of what the service is worth to its callers.
func ticketMix() []requestKind {
	queue := func(name string, priority int) *batch.Queue {
		return &batch.Queue{Name: name, Service: "svc", Priority: priority, MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond}
	}
	return []requestKind{
		{queue: queue("hold", 0), share: 34.4, tasks: 8, cpu: 3100, meanRunTime: 60 * time.Millisecond, callerTimeout: 1500 * time.Millisecond, text: 2400},
		{queue: queue("booking", 2), share: 6.25, tasks: 4, cpu: 3100, meanRunTime: 900 * time.Millisecond, callerTimeout: 4300 * time.Millisecond, text: 300},
		{queue: queue("check", 1), share: 100, tasks: 2, cpu: 3100, meanRunTime: 200 * time.Millisecond, callerTimeout: 1500 * time.Millisecond, text: 2400},
	}
}

// work is the processor time of a usual job, in cores times seconds.
func (k *requestKind) work() float64 {
	return float64(k.tasks) * float64(k.cpu) / 1000 * k.meanRunTime.Seconds()
}

// load is a time of steady load at three entries and ten workers of 15 cores: a task
// takes a fifth of a worker, so that much room lies free in pieces.
type load struct {
	seed            uint64
	offeredLoad     float64 // work that is asked for, by the room of all workers
	duration        time.Duration
	disabled        policy.Set
	slowWorkers     int  // workers that turn slow after a quarter of the length, for half of it
	hangingWorkers  int  // workers whose tasks stand still for that time
	drain           bool // one of the two failure domains is drained for that time
	crashingJobs    int  // jobs that crash each worker which starts a task of them
	flappingWorkers int  // workers that crash by themselves every flapInterval for half of the length
	// unanswered is the part of the orders to workers without an answer, from a quarter
	// of the length on, for half of it.
	unansweredShare float64
	answerDelay     time.Duration // by how much later workers answer
	mixAfterShift   []requestKind // the mix after a third of the length; nil for the same throughout
	linkRate        float64       // of an entry's link in each direction, in bytes a second; 0 for no bound
}

// faultName names what is wrong with the workers of a load, for the name of a figure.
func (l load) faultName() string {
	switch {
	case l.slowWorkers > 0:
		return fmt.Sprintf("-slow-%d", l.slowWorkers)
	case l.hangingWorkers > 0:
		return fmt.Sprintf("-hang-%d", l.hangingWorkers)
	case l.unansweredShare > 0:
		return "-unanswered"
	}
	return ""
}

// loadSlowFactor is by how much the slow workers of a load are slower.
const loadSlowFactor = 5.6

const (
	loadEntries   = 3
	loadGuards    = 10
	loadWorkerCPU = 15_000
	loadCores     = loadGuards * loadWorkerCPU / 1000.0 // cores
)

// tally is what became of the requests of one kind.
type tally struct{ arrivals, inTime, late, refused int }

// loadResult is what a load gave.
type loadResult struct {
	kinds       []tally
	shifted     []tally // by shiftWindow since the mix has shifted
	utilization float64 // part of the workers' room that was at work
	wasted      float64 // part of the work done that served no caller in time
	violations  []string

	crashes        int           // of workers
	wronglyFailed  int           // jobs that were told to have failed, and would not have
	crashersFailed int           // jobs that crash workers and were told to have failed
	meanAnswerTime time.Duration // on average
}

// served is the mean share of the kinds that was served in time.
func (r *loadResult) served() float64 {
	sum := 0.0
	for _, k := range r.kinds {
		sum += float64(k.inTime) / float64(max(1, k.arrivals))
	}
	return sum / float64(len(r.kinds))
}

// String is for the comments of checks.
func (r *loadResult) String() string {
	out := fmt.Sprintf("served in time %.3f, busy %.2f, wasted %.2f, by kind:", r.served(), r.utilization, r.wasted)
	for _, k := range r.kinds {
		n := float64(max(1, k.arrivals))
		out += fmt.Sprintf(" %.2f (late %.2f, refused %.2f)", float64(k.inTime)/n, float64(k.late)/n, float64(k.refused)/n)
	}
	return out
}

// simulate plays a load without faults.
func (l load) simulate() *loadResult {
	s := newSim(l.seed, loadEntries, loadGuards, runs.DefaultResend, l.disabled)
	s.linkRate, s.answerDelay = l.linkRate, l.answerDelay
	for _, w := range s.workers {
		w.capacity = sched.Room{CPU: loadWorkerCPU, MemoryMB: 1 << 20}
	}
	start := s.now + 3*time.Second
	s.run(start)
	mix := ticketMix()
	r := &loadResult{kinds: make([]tally, len(mix))}
	n := 0
	sendRequest := func(kinds []requestKind, kind int, t *tally) {
		n++
		s.sendRequest(fmt.Sprintf("%016x", n), &kinds[kind], t)
	}
	beforeShift := l
	if l.mixAfterShift != nil {
		beforeShift.duration = l.duration / 3
		afterShift, shifted := l, start+beforeShift.duration
		afterShift.duration -= beforeShift.duration
		r.shifted = make([]tally, afterShift.duration/shiftWindow+1)
		afterShift.generateArrivals(s, shifted, l.mixAfterShift, func(kind int) {
			sendRequest(l.mixAfterShift, kind, &r.shifted[(s.now-shifted)/shiftWindow])
		})
	}
	beforeShift.generateArrivals(s, start, mix, func(kind int) { sendRequest(mix, kind, &r.kinds[kind]) })
	for i := range l.slowWorkers + l.hangingWorkers {
		w := s.workers[i]
		s.at(start+l.duration/4, func() {
			if i >= l.slowWorkers {
				w.stall()
				return
			}
			w.slowFactor = loadSlowFactor
		})
		s.at(start+3*l.duration/4, w.resume)
	}
	if l.drain {
		s.at(start+l.duration/4, func() { s.drain("d0") })
		s.at(start+3*l.duration/4, func() { s.drain() })
	}
	l.submitCrashingJobs(s, start, r, mix)
	for i := range l.flappingWorkers {
		for at := start + l.duration/4; at < start+3*l.duration/4; at += flapInterval {
			s.at(at, func() { s.workers[i].crash(flapInterval / 2) })
		}
	}
	s.at(start+l.duration/4, func() { s.faults.lateOrder = l.unansweredShare })
	s.at(start+3*l.duration/4, func() { s.faults.lateOrder = 0 })
	s.run(start + l.duration + 6*time.Second)
	r.crashes = s.counts.crashes
	for _, j := range s.jobs {
		if j.failed && !j.crashes {
			r.wronglyFailed++
		}
	}
	r.utilization = s.workDone / (l.duration.Seconds() * loadCores)
	r.wasted = s.wasted / s.workDone
	r.violations = s.violations
	return r
}

// flapInterval is the time between two crashes of a worker that flaps.
const flapInterval = 1300 * time.Millisecond

// submitCrashingJobs sends jobs that crash workers, spread over the length.
func (l load) submitCrashingJobs(s *sim, start time.Duration, r *loadResult, mix []requestKind) {
	for n := range l.crashingJobs {
		at := start + l.duration*time.Duration(n+1)/time.Duration(l.crashingJobs+1)
		s.at(at, func() {
			step, runTime := s.sampleJob(&mix[n%len(mix)])
			j := &simJob{id: fmt.Sprintf("c%015x", n), steps: []batch.Step{step}, submittedAt: s.now, queue: mix[n%len(mix)].queue, runTime: runTime, text: "x", crashes: true, crashedWorkers: make(map[string]int), startsAfterCrashes: make(map[string]int)}
			s.jobs[j.id] = j
			j.onAnswer = func(out *batch.Outcome) {
				if out.Err != nil && batch.HasFailed(out.Err) {
					r.crashersFailed++
					r.meanAnswerTime += (s.now - j.submittedAt) / time.Duration(l.crashingJobs)
				}
			}
			s.submit(j, mix[n%len(mix)].callerTimeout)
		})
	}
}

// generateArrivals lets requests come at random moments from start on. ask is told the kind of each.
func (l load) generateArrivals(s *sim, start time.Duration, mix []requestKind, sendRequest func(kind int)) {
	totalShare, work := 0.0, 0.0
	for i := range mix {
		totalShare += mix[i].share
		work += mix[i].share * mix[i].work()
	}
	arrivalRate := l.offeredLoad * loadCores / (work / totalShare)
	for at := start; at < start+l.duration; at += time.Duration(s.rng.ExpFloat64() / arrivalRate * float64(time.Second)) {
		kind := s.drawKind(mix, totalShare)
		s.at(at, func() { sendRequest(kind) })
	}
}

// drawKind draws a kind by its share.
func (s *sim) drawKind(mix []requestKind, totalShare float64) int {
	point := s.rng.Float64() * totalShare
	for i := range mix {
		if point -= mix[i].share; point < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// sampleJob draws a job of a kind. Its size and run time spread around the usual ones, and its
// estimate is off by as much as half.
func (s *sim) sampleJob(k *requestKind) (step batch.Step, runTime time.Duration) {
	logNormal := func(sigma float64) float64 { return math.Exp(sigma * s.rng.NormFloat64()) }
	runTime = time.Duration(float64(k.meanRunTime) * logNormal(0.3))
	return batch.Step{
		Count:    max(1, int(math.Round(float64(k.tasks)*logNormal(0.4)))),
		Need:     sched.Room{CPU: int64(float64(k.cpu) * (0.6 + 0.8*s.rng.Float64())), MemoryMB: 64},
		Estimate: time.Duration(float64(runTime) * (0.7 + 0.8*s.rng.Float64()) / max(1, k.estimateDivisor)),
	}, runTime
}

// targetDuration is the time in which a job of a kind that takes took should end.
func (k *requestKind) targetDuration(runTime time.Duration) time.Duration {
	return time.Duration(k.queue.Stretch*float64(runTime)) + k.queue.Slack
}

// randomText gives a text of n bytes, each of which tells four bits.
func randomText(n int) string {
	rng := rand.New(rand.NewPCG(1, 1)) // not that of the load, which would change with the length
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + rng.IntN(16))
	}
	return string(b)
}

// sendRequest sends one job of a kind and counts how it fares.
func (s *sim) sendRequest(id string, k *requestKind, t *tally) {
	step, runTime := s.sampleJob(k)
	j := &simJob{id: id, steps: []batch.Step{step}, submittedAt: s.now, queue: k.queue, runTime: runTime, text: randomText(k.text)}
	s.jobs[id] = j
	targetDuration := k.targetDuration(runTime)
	t.arrivals++
	j.onAnswer = func(out *batch.Outcome) {
		switch {
		case out.Err == nil && s.now-j.submittedAt <= targetDuration:
			t.inTime++
			return
		case out.Err == nil:
			t.late++
		case out.Err.Ran == errkind.RanNo:
			t.refused++
		}
		s.wasted += j.workDone
	}
	s.submit(j, k.callerTimeout)
}

const loadDuration = 12 * time.Second

// loadSeeds is how many seeds each load is played with. The figures in the comments of
// the rules come from four: go test ./internal/batch -run Load -v -load.seeds 4
var loadSeeds = flag.Uint64("load.seeds", 2, "seeds of each simulated load")

// results plays a load without some mechanisms, once with each seed.
func (l load) results(t *testing.T, disabled ...policy.Mechanism) (list []*loadResult) {
	return l.resultsWithSeeds(t, *loadSeeds, disabled...)
}

// maxParallelSimulations bounds the plays of one load that go on beside each other; each has its own clock.
const maxParallelSimulations = 4

// resultsWithSeeds is the same with a number of seeds.
func (l load) resultsWithSeeds(t *testing.T, seeds uint64, disabled ...policy.Mechanism) []*loadResult {
	l.duration, l.disabled = loadDuration, policy.Of(disabled...)
	list := make([]*loadResult, seeds)
	slots := make(chan struct{}, maxParallelSimulations)
	var simulations sync.WaitGroup
	for i := range list {
		l.seed = uint64(i) + 1
		simulate := l.simulate
		simulations.Go(func() {
			slots <- struct{}{}
			list[i] = simulate()
			<-slots
		})
	}
	simulations.Wait()
	for i, r := range list {
		qt.Assert(t, r.violations, qt.HasLen, 0)
		t.Logf("load %.2f, seed %d: %s", l.offeredLoad, i+1, r)
	}
	return list
}

// mean is the mean of a figure of some results.
func mean(list []*loadResult, value func(*loadResult) float64) float64 {
	sum := 0.0
	for _, r := range list {
		sum += value(r)
	}
	return sum / float64(len(list))
}

// meanServedAndWasted plays a load and gives what it served in time and what was wasted, on average.
func meanServedAndWasted(t *testing.T, offeredLoad float64, disabled ...policy.Mechanism) (served, wasted float64) {
	list := load{offeredLoad: offeredLoad}.results(t, disabled...)
	return mean(list, (*loadResult).served), mean(list, func(r *loadResult) float64 { return r.wasted })
}
