package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wigeontray/internal/runs"
)

// centralQueue is an ideal scheduler against which loads are compared: a single queue for all
// workers with current state, known run times and no delays.
type centralQueue struct {
	s           *sim
	startsWhole bool    // jobs that may be overtaken start only as a whole
	free        []int64 // free CPU by worker, in thousandths of a core
	queue       []*centralJob
}

// centralJob is a job that waits or has started in part.
type centralJob struct {
	kind       *requestKind
	tally      *tally
	need       int64 // CPU of a task, in thousandths of a core
	runTime    time.Duration
	arrivedAt  time.Duration
	waiting    int // tasks not started
	unfinished int // tasks not completed
}

// BenchmarkCentralQueue reports the share of requests that a central queue serves in time at each
// load, with jobs started in part and as a whole.
func BenchmarkCentralQueue(b *testing.B) {
	for _, startsWhole := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole=%v", startsWhole), func(b *testing.B) {
			for b.Loop() {
				for _, offeredLoad := range []float64{0.8, 1.0, 1.25, 1.6} {
					var list []*loadResult
					for _, seed := range ablationSeeds {
						list = append(list, load{seed: seed, offeredLoad: offeredLoad, duration: loadDuration}.simulateCentralQueue(startsWhole))
					}
					b.ReportMetric(mean(list, (*loadResult).served), fmt.Sprintf("served/%g", offeredLoad))
				}
			}
		})
	}
}

// simulateCentralQueue runs a load on one central queue.
func (l load) simulateCentralQueue(startsWhole bool) *loadResult {
	c := &centralQueue{s: newSim(l.seed, 0, 0, runs.DefaultResendDelay, 0), startsWhole: startsWhole}
	for range loadGuards {
		c.free = append(c.free, loadWorkerCPU)
	}
	mix := ticketMix()
	r := &loadResult{kinds: make([]tally, len(mix))}
	start := c.s.now
	l.generateArrivals(c.s, start, mix, func(kindIndex int) { c.enqueue(&mix[kindIndex], &r.kinds[kindIndex]) })
	c.s.run(start + l.duration + 6*time.Second)
	return r
}

func (c *centralQueue) enqueue(k *requestKind, t *tally) {
	step, runTime := c.s.sampleJob(k)
	t.arrivals++
	c.queue = append(c.queue, &centralJob{
		kind: k, tally: t, need: step.Need.CPU, runTime: runTime, arrivedAt: c.s.now, waiting: step.Count, unfinished: step.Count,
	})
	c.dispatch()
}

// dispatch starts the tasks that fit, by priority and arrival, and refuses jobs that have not
// started and can no longer end in time.
func (c *centralQueue) dispatch() {
	c.queue = slices.DeleteFunc(c.queue, c.isDone)
	slices.SortStableFunc(c.queue, func(a, b *centralJob) int { return a.kind.queue.Priority - b.kind.queue.Priority })
	for _, j := range c.queue {
		if c.startsWhole && j.kind.queue.Priority > 0 && j.waiting == j.unfinished && c.countPlaces(j) < j.waiting {
			continue
		}
		for j.waiting > 0 && c.startTask(j) {
			j.waiting--
		}
	}
}

// isDone reports whether a job leaves the queue: all its tasks have started, or it is counted as
// refused because it cannot end in time.
func (c *centralQueue) isDone(j *centralJob) bool {
	if j.waiting == j.unfinished && c.s.now+j.runTime > j.arrivedAt+j.kind.targetDuration(j.runTime) {
		j.tally.refused++
		return true
	}
	return j.waiting == 0
}

// countPlaces returns how many of a job's tasks fit into the free room.
func (c *centralQueue) countPlaces(j *centralJob) int {
	n := 0
	for _, free := range c.free {
		n += int(free / j.need)
	}
	return n
}

// startTask starts a task on the worker with the most free CPU and reports whether it fits there.
func (c *centralQueue) startTask(j *centralJob) bool {
	w := 0
	for i := range c.free {
		if c.free[i] > c.free[w] {
			w = i
		}
	}
	if c.free[w] < j.need {
		return false
	}
	c.free[w] -= j.need
	runTime := time.Duration(float64(j.runTime) * (0.85 + 0.3*c.s.rng.Float64())) // as at a simWorker
	c.s.after(runTime, func() { c.endTask(j, w) })
	return true
}

// endTask frees the room of a task and counts its job once it is complete.
func (c *centralQueue) endTask(j *centralJob, worker int) {
	c.free[worker] += j.need
	if j.unfinished--; j.unfinished == 0 {
		if c.s.now-j.arrivedAt <= j.kind.targetDuration(j.runTime) {
			j.tally.inTime++
		} else {
			j.tally.late++
		}
	}
	c.dispatch()
}
