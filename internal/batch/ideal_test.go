package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wigeontray/internal/runs"
)

// central is one queue for all workers that knows the present and each run time and has no
// delay: what a load is held against.
type central struct {
	s     *sim
	whole bool    // jobs that may be overtaken begin as a whole
	free  []int64 // by worker, thousandths of a core
	queue []*centralJob
}

// centralJob is a job that waits, or runs in part.
type centralJob struct {
	kind    *requestKind
	tally   *tally
	need    int64 // of a task, thousandths of a core
	took    time.Duration
	began   time.Duration
	waiting int
	open    int // tasks that are not done
}

// BenchmarkCentralQueue reports the share that one queue serves in time at each load, with
// jobs begun in part and as a whole.
func BenchmarkCentralQueue(b *testing.B) {
	for _, whole := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole=%v", whole), func(b *testing.B) {
			for b.Loop() {
				for _, ofRoom := range []float64{0.8, 1.0, 1.25, 1.6} {
					var list []*loadResult
					for _, seed := range ablationSeeds {
						list = append(list, load{seed: seed, ofRoom: ofRoom, length: loadLength}.playCentral(whole))
					}
					b.ReportMetric(mean(list, (*loadResult).served), fmt.Sprintf("served/%g", ofRoom))
				}
			}
		})
	}
}

// playCentral plays a load on one queue.
func (l load) playCentral(whole bool) *loadResult {
	c := &central{s: newSim(l.seed, 0, 0, runs.DefaultResend, 0), whole: whole}
	for range loadGuards {
		c.free = append(c.free, loadCPU)
	}
	mix := deskMix()
	r := &loadResult{kinds: make([]tally, len(mix))}
	start := c.s.now
	l.arrive(c.s, start, mix, func(which int) { c.ask(&mix[which], &r.kinds[which]) })
	c.s.run(start + l.length + 6*time.Second)
	return r
}

func (c *central) ask(k *requestKind, t *tally) {
	step, took := c.s.sample(k)
	t.asked++
	c.queue = append(c.queue, &centralJob{
		kind: k, tally: t, need: step.Need.CPU, took: took, began: c.s.now, waiting: step.Count, open: step.Count,
	})
	c.pump()
}

// pump begins what finds room, by priority and arrival, and refuses what waits whole and
// can no longer end in time.
func (c *central) pump() {
	c.queue = slices.DeleteFunc(c.queue, c.isOver)
	slices.SortStableFunc(c.queue, func(a, b *centralJob) int { return a.kind.queue.Priority - b.kind.queue.Priority })
	for _, j := range c.queue {
		if c.whole && j.kind.queue.Priority > 0 && j.waiting == j.open && c.places(j) < j.waiting {
			continue
		}
		for j.waiting > 0 && c.begin(j) {
			j.waiting--
		}
	}
}

func (c *central) isOver(j *centralJob) bool {
	if j.waiting == j.open && c.s.now+j.took > j.began+j.kind.goal(j.took) {
		j.tally.refused++
		return true
	}
	return j.waiting == 0
}

// places counts the tasks of a job that find room now.
func (c *central) places(j *centralJob) int {
	n := 0
	for _, free := range c.free {
		n += int(free / j.need)
	}
	return n
}

// begin starts a task of a job on the worker with most room, if it fits there.
func (c *central) begin(j *centralJob) bool {
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
	took := time.Duration(float64(j.took) * (0.85 + 0.3*c.s.rng.Float64())) // as at a simWorker
	c.s.after(took, func() { c.end(j, w) })
	return true
}

func (c *central) end(j *centralJob, worker int) {
	c.free[worker] += j.need
	if j.open--; j.open == 0 {
		if c.s.now-j.began <= j.kind.goal(j.took) {
			j.tally.inTime++
		} else {
			j.tally.late++
		}
	}
	c.pump()
}
