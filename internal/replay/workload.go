package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// tailIndex of the bounded Pareto distribution of run times: with 50 ms to 1 s
// the mean is 147 ms and the median 90 ms.
const tailIndex = 1.1

// Job sizes of the usual mix.
const (
	singleShare = 0.5 // jobs of one task
	smallShare  = 0.4 // jobs of 2 to smallMost tasks; the rest are big
	smallMost   = 8
	bigMost     = 40
)

// meanJobTasks is the mean of the usual mix.
const meanJobTasks = singleShare + smallShare*(2+smallMost)/2 + (1-singleShare-smallShare)*(smallMost+1+bigMost)/2

// drawTime draws a run time.
func drawTime(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	if lo >= hi {
		return lo
	}
	r := math.Pow(float64(lo)/float64(hi), tailIndex)
	u := rng.Float64()
	return time.Duration(float64(lo) * math.Pow(1-u*(1-r), -1/tailIndex)).Round(time.Microsecond)
}

// meanTime is the mean of drawTime, in seconds.
func meanTime(lo, hi time.Duration) float64 {
	l, h := lo.Seconds(), hi.Seconds()
	if l >= h {
		return l
	}
	a := tailIndex
	la := math.Pow(l, a)
	return la / (1 - math.Pow(l/h, a)) * a / (a - 1) * (math.Pow(l, 1-a) - math.Pow(h, 1-a))
}

func drawJobSize(rng *rand.Rand, most int) int {
	n, u := 1, rng.Float64()
	switch {
	case u < singleShare:
	case u < singleShare+smallShare:
		n = 2 + rng.IntN(smallMost-1)
	default:
		n = smallMost + 1 + rng.IntN(bigMost-smallMost)
	}
	if most > 0 {
		n = min(n, most)
	}
	return n
}

// declaredError is the factor by which declared run times are off, either way.
const declaredError = 8

// expand turns a load into submissions: Poisson arrivals, entries drawn evenly
// as by a balancer, run times declared that are far off.
func (l *Load) expand(index int, t *Trace) []Event {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(index)))
	var slots int
	for _, w := range t.Workers {
		slots += w.Slots
	}
	mean := meanJobTasks
	if l.MaxJob == 1 {
		mean = 1
	}
	perSecond := l.Offered * float64(slots) / (mean * meanTime(l.MinTask, l.MaxTask))
	var out []Event
	for at := l.From; ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= l.From+l.For {
			return out
		}
		out = append(out, l.submission(rng, t, at, fmt.Sprintf("load%d-%d", index, len(out)))...)
	}
}

func (l *Load) submission(rng *rand.Rand, t *Trace, at time.Duration, name string) []Event {
	r := &Request{Job: name, Deadline: l.Deadline}
	if len(l.Teams) > 0 {
		r.Team = l.Teams[rng.IntN(len(l.Teams))]
	}
	for range drawJobSize(rng, l.MaxJob) {
		r.Tasks = append(r.Tasks, drawTime(rng, l.MinTask, l.MaxTask))
	}
	r.Declared = time.Duration(float64(r.Tasks[0]) * math.Pow(declaredError, 2*rng.Float64()-1))
	entry := t.Entries[rng.IntN(len(t.Entries))].Name
	out := []Event{{At: at, Op: OpSubmit, Target: name, Other: entry, Request: r}}
	if rng.Float64() < l.Cancel {
		out = append(out, Event{At: l.cancelAt(at, rng), Op: OpCancel, Target: name, Other: entry})
	}
	return out
}

// cancelAt draws the moment of a cancel: with waves, all cancels of a period
// come together at its end.
func (l *Load) cancelAt(at time.Duration, rng *rand.Rand) time.Duration {
	if l.Wave > 0 {
		return (at/l.Wave + 1) * l.Wave
	}
	return at + time.Duration(rng.Int64N(int64(l.MaxTask)))
}
