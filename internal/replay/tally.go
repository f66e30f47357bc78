package replay

import (
	"time"

	"wigeontray/internal/wire"
)

// second is the interval over which the starts of a worker are counted.
const second = time.Second

// counters are the counts from which the measures of a replay are computed.
type counters struct {
	sim              *simulation
	messages         map[string]int
	runs             int
	busyTime         time.Duration // run time of tasks inside the measured window
	failedRuns       int           // those of runsAfterFailure that ran on a failing upstream
	runsAfterFailure int           // runs later than failureDetectionDelay after firstFailureAt
	retries          map[string]int
	startsPerSecond  map[string][]int // by worker, for each second of the trace
	firstFailureAt   time.Time        // time of the first upstream failure
}

func (t *counters) init(sim *simulation) {
	t.sim = sim
	t.messages = make(map[string]int)
	t.retries = make(map[string]int)
	t.startsPerSecond = make(map[string][]int)
}

// countFrame counts a message between an entry and a guard by its type.
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

// recordRun counts a task run that starts at now.
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

// overlap returns the length of the intersection of the intervals [a0, a1] and
// [b0, b1].
func overlap(a0, a1, b0, b1 time.Time) time.Duration {
	if b0.After(a0) {
		a0 = b0
	}
	if b1.Before(a1) {
		a1 = b1
	}
	return max(0, a1.Sub(a0))
}
