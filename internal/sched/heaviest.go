package sched

import (
	"cmp"
	"slices"
	"time"
)

// CallerDemand is the work that one caller asks for.
type CallerDemand struct {
	Caller string // empty for the callers that are measured as one
	CPU    int64  // work a second, in thousandths of a core
}

// Snapshot returns the work asked for at present, and the callers that ask for most, at most maxCallers
// of them, the heaviest first. It does not change the meter.
func (d *DemandMeter) Snapshot(now time.Duration, maxCallers int) (AskedWork, []CallerDemand) {
	meter := d.clone()
	asked := meter.Asked(now)
	covered := meter.covered(now)
	var heaviest []CallerDemand
	for name, c := range meter.callers {
		if name == otherCallers {
			name = ""
		}
		heaviest = append(heaviest, CallerDemand{Caller: name, CPU: int64(c.value / covered)})
	}
	slices.SortFunc(heaviest, func(a, b CallerDemand) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Caller, b.Caller))
	})
	return asked, heaviest[:min(len(heaviest), maxCallers)]
}

func (d *DemandMeter) clone() *DemandMeter {
	out := *d
	out.callers = make(map[string]*decayingRate, len(d.callers))
	for name, c := range d.callers {
		rate := *c
		out.callers[name] = &rate
	}
	return &out
}
