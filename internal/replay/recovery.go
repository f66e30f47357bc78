package replay

import "time"

// evenWithin is how close a returned worker's starts in a second must come to
// the mean of all workers to count as even. At 40 starts a second, chance alone
// makes a difference of a sixth.
const evenWithin = 0.35

// recovery measures what follows the last return of workers: how long until
// each of them gets its even share, and the highest rate that hit one.
func (w *world) recovery(r *Report, events []Event) {
	var at time.Duration
	var back []string
	for i := range events {
		ev := &events[i]
		switch ev.Op {
		case OpRestart, OpHeal, OpResume, OpHealthy, OpWorking:
			if ev.At != at {
				back = nil
			}
			at, back = ev.At, append(back, ev.Target, ev.Other)
		}
	}
	for _, g := range w.guards {
		if g.isAny(back) {
			w.returned(r, g.def.Name, at)
		}
	}
}

func (g *guard) isAny(names []string) bool {
	for _, n := range names {
		if n == g.def.Name || n == g.def.Domain {
			return true
		}
	}
	return false
}

func (w *world) returned(r *Report, name string, at time.Duration) {
	even := -1
	for s := int(at / second); s < int(w.trace.lastArrival()/second); s++ {
		mean := 0.0
		for _, g := range w.guards {
			mean += float64(bucket(w.tally.starts[g.def.Name], s)) / float64(len(w.guards))
		}
		ratio := float64(bucket(w.tally.starts[name], s)) / max(1, mean)
		r.HerdPeak = max(r.HerdPeak, ratio)
		if even < 0 && ratio >= 1-evenWithin && ratio <= 1+evenWithin {
			even = s
		}
	}
	if even >= 0 {
		r.EvenAfter = max(r.EvenAfter, (time.Duration(even+1)*second - at).Seconds())
	} else {
		r.EvenAfter = w.trace.lastArrival().Seconds()
	}
}

func bucket(s []int, i int) int {
	if i < len(s) {
		return s[i]
	}
	return 0
}

func (t *Trace) lastArrival() time.Duration {
	var last time.Duration
	for i := range t.Events {
		last = max(last, t.Events[i].At)
	}
	for i := range t.Loads {
		last = max(last, t.Loads[i].From+t.Loads[i].For)
	}
	return last
}
