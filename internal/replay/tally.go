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
	messages         map[string]int   // by frame type
	runs             int              // task runs on upstreams
	busyTime         time.Duration    // run time of tasks inside the measured window
	failedRuns       int              // those of runsAfterFailure that ran on a failing upstream
	runsAfterFailure int              // runs later than failureDetectionDelay after firstFailureAt
	retries          map[string]int   // results that report a task as not run, by error kind
	startsPerSecond  map[string][]int // by worker, for each second of the trace
	firstFailureAt   time.Time        // time of the first upstream failure
}

func (c *counters) init(sim *simulation) {
	c.sim = sim
	c.messages = make(map[string]int)
	c.retries = make(map[string]int)
	c.startsPerSecond = make(map[string][]int)
}

// countFrame counts a message between an entry and a guard by its type.
func (c *counters) countFrame(f *wire.Frame) {
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
	c.messages[kind]++
}

func (c *counters) totalMessages() int {
	sum := 0
	for _, n := range c.messages {
		sum += n
	}
	return sum
}

// recordRun counts a task run that starts at now.
func (c *counters) recordRun(g *guard, now time.Time, runTime time.Duration) {
	c.runs++
	from, until := c.sim.measuredWindow()
	c.busyTime += overlap(now, now.Add(runTime), from, until)
	if !c.firstFailureAt.IsZero() && now.Sub(c.firstFailureAt) > failureDetectionDelay {
		c.runsAfterFailure++
		if g.isFailing {
			c.failedRuns++
		}
	}
	sec := int(now.Sub(c.sim.traceStart) / second)
	if sec < 0 {
		return
	}
	starts := c.startsPerSecond[g.config.Name]
	for len(starts) <= sec {
		starts = append(starts, 0)
	}
	starts[sec]++
	c.startsPerSecond[g.config.Name] = starts
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
