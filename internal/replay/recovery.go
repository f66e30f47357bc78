package replay

import "time"

// evenShareTolerance is how close a returned worker's starts in a second must come to
// the mean of all workers to count as even. At 40 starts a second, chance alone
// makes a difference of a sixth.
const evenShareTolerance = 0.35

// measureRecovery measures what follows the last return of workers: how long until
// each of them gets its even share, and the highest rate that hit one.
func (sim *simulation) measureRecovery(r *Report, events []Event) {
	var returnedAt time.Duration
	var returned []string
	for i := range events {
		ev := &events[i]
		switch ev.Op {
		case OpRestart, OpHeal, OpResume, OpHealthy, OpWorking:
			if ev.At != returnedAt {
				returned = nil
			}
			returnedAt, returned = ev.At, append(returned, ev.Target, ev.Other)
		}
	}
	for _, g := range sim.guards {
		if g.matchesAny(returned) {
			sim.measureReturn(r, g.config.Name, returnedAt)
		}
	}
}

func (g *guard) matchesAny(names []string) bool {
	for _, n := range names {
		if n == g.config.Name || n == g.config.Domain {
			return true
		}
	}
	return false
}

func (sim *simulation) measureReturn(r *Report, name string, returnedAt time.Duration) {
	evenSecond := -1
	for sec := int(returnedAt / second); sec < int(sim.trace.lastArrival()/second); sec++ {
		meanStarts := 0.0
		for _, g := range sim.guards {
			meanStarts += float64(countAt(sim.counters.startsPerSecond[g.config.Name], sec)) / float64(len(sim.guards))
		}
		ratio := float64(countAt(sim.counters.startsPerSecond[name], sec)) / max(1, meanStarts)
		r.PeakStartRatio = max(r.PeakStartRatio, ratio)
		if evenSecond < 0 && ratio >= 1-evenShareTolerance && ratio <= 1+evenShareTolerance {
			evenSecond = sec
		}
	}
	if evenSecond >= 0 {
		r.EvenAfterSeconds = max(r.EvenAfterSeconds, (time.Duration(evenSecond+1)*second - returnedAt).Seconds())
	} else {
		r.EvenAfterSeconds = sim.trace.lastArrival().Seconds()
	}
}

func countAt(counts []int, i int) int {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}

func (t *Trace) lastArrival() time.Duration {
	var last time.Duration
	for i := range t.Events {
		last = max(last, t.Events[i].At)
	}
	for i := range t.Loads {
		last = max(last, t.Loads[i].Start+t.Loads[i].Duration)
	}
	return last
}
