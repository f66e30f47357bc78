package replay

import (
	"time"

	"wigeontray/internal/wire"
)

// second is the width of the buckets in which starts are counted by worker.
const second = time.Second

// counters counts what a replay's measures are made of.
type counters struct {
	sim              *simulation
	messages         map[string]int
	runs             int
	busyTime         time.Duration // time on upstreams inside the measured window
	failedRuns       int           // runs on a failing upstream after failureDetectionDelay
	runsAfterFailure int           // all runs in that time
	retries          map[string]int
	startsPerSecond  map[string][]int // by worker and second
	firstFailureAt   time.Time        // first moment at which an upstream failed
}

func (t *counters) init(sim *simulation) {
	t.sim = sim
	t.messages = make(map[string]int)
	t.retries = make(map[string]int)
	t.startsPerSecond = make(map[string][]int)
}

// recordFrame counts a message between an entry and a guard.
func (t *counters) countFrame(f *wire.Frame) {
	kind := "other"
	switch {
	case f.Start != nil:
		kind = "start"
	case f.Result != nil:
		kind = "result"
	case f.Cancel != nil:
		kind = "cancel"
	case f.Load != nil:
		kind = "load"
	case f.Reserve != nil:
		kind = "reserve"
	case f.Offer != nil:
		kind = "offer"
	}
	t.messages[kind]++
}

func (t *counters) totalMessages() int {
	sum := 0
	for _, n := range t.messages {
		sum += n
	}
	return sum
}

// recordRun notes a run that begins now.
func (t *counters) recordRun(g *guard, now time.Time, runTime time.Duration) {
	t.runs++
	from, until := t.sim.measuredWindow()
	t.busyTime += overlap(now, now.Add(runTime), from, until)
	if !t.firstFailureAt.IsZero() && now.Sub(t.firstFailureAt) > failureDetectionDelay {
		t.runsAfterFailure++
		if g.isFailing {
			t.failedRuns++
		}
	}
	sec := int(now.Sub(t.sim.traceStart) / second)
	if sec < 0 {
		return
	}
	starts := t.startsPerSecond[g.config.Name]
	for len(starts) <= sec {
		starts = append(starts, 0)
	}
	starts[sec]++
	t.startsPerSecond[g.config.Name] = starts
}

// overlap is the time that two intervals share.
func overlap(a0, a1, b0, b1 time.Time) time.Duration {
	if b0.After(a0) {
		a0 = b0
	}
	if b1.Before(a1) {
		a1 = b1
	}
	return max(0, a1.Sub(a0))
}
