package replay

import "time"

// evenShareTolerance is the relative difference from the mean of all workers
// within which the starts of a returned worker in one second count as even. At
// 40 starts per second, random variation alone causes a difference of one sixth.
const evenShareTolerance = 0.35

// measureRecovery measures the load after the last return of workers: the time
// until each of them receives an even share of the starts, and the highest start
// rate of any of them relative to the mean.
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

// matchesAny reports whether names contains the worker or its failure domain.
func (g *guard) matchesAny(names []string) bool {
	for _, n := range names {
		if n == g.config.Name || n == g.config.Domain {
			return true
		}
	}
	return false
}

// measureReturn adds the measures of one worker that returned at returnedAt.
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

// countAt returns counts[i], or 0 beyond the end.
func countAt(counts []int, i int) int {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}

// lastArrival returns the time of the last event or the end of the last load.
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
