package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// AskedWork is the work that the callers of one entry, or of several, ask for, whether it is admitted or
// not.
type AskedWork struct {
	CPU     int64 `cbor:"1,keyasint,omitempty"` // work a second, in thousandths of a core
	Callers int   `cbor:"2,keyasint,omitempty"` // callers that ask for work
	// Requests is the number of requests that the amount rests on.
	Requests int `cbor:"3,keyasint,omitempty"`
	// Known are some of the callers, at most MaxStatedCallers, while there is a shortage. In a sum over several
	// entries these are the callers that the receiver has stated itself.
	Known []CallerWork `cbor:"4,keyasint,omitempty"`
}

// CallerWork is the work that one caller asks for.
type CallerWork struct {
	Hash uint64 `cbor:"1,keyasint"`           // of the caller, with a seed that the two ends of a link know
	CPU  int64  `cbor:"2,keyasint,omitempty"` // work a second, in thousandths of a core
}

// Plus returns the sum, without Known.
func (a AskedWork) Plus(other AskedWork) AskedWork {
	return AskedWork{CPU: a.CPU + other.CPU, Callers: a.Callers + other.Callers, Requests: a.Requests + other.Requests}
}

const (
	// chanceDeviation is the relative deviation by chance of an amount that rests on one request: three
	// standard deviations of the number of requests, with some margin as their work differs as well.
	chanceDeviation = 5
	// minKnownRequests is the number of requests below which an amount is not known.
	minKnownRequests = 10
)

// ChanceDeviation returns the relative deviation by chance of an amount of work that is expected to rest on
// the given number of requests.
func ChanceDeviation(requests float64) float64 {
	if requests < minKnownRequests {
		return math.Inf(1)
	}
	return chanceDeviation / math.Sqrt(requests)
}

// DemandMeter measures the work that each caller asks for, as a mean that decays exponentially over
// DemandPeriod. Beyond maxMeteredCallers, those that ask for the least are measured as one. The zero value is ready for use.
type DemandMeter struct {
	callers   map[string]*decayingRate
	requests  decayingRate
	startedAt time.Duration // of the first request
}

const (
	// DemandPeriod is the time constant of the measured rates of work.
	DemandPeriod = 5 * time.Second
	// minDemandAge is the shortest time that a rate is computed over.
	minDemandAge = 100 * time.Millisecond
	// maxMeteredCallers limits the memory of a meter.
	maxMeteredCallers = 1024
	// otherCallers is the name under which further callers are measured.
	otherCallers = "\x00others"
	// minMeteredCPU is the rate below which a caller is forgotten, in thousandths of a core.
	minMeteredCPU = 1
	// maxCallerRatio is the demand of one caller that counts, relative to the mean of all.
	maxCallerRatio = 2
	// callerLimitSteps is the number of steps in which the limit is approached.
	callerLimitSteps = 4
)

// decayingRate is an exponentially decaying mean of a rate, per second.
type decayingRate struct {
	value      float64
	measuredAt time.Duration
}

func (r *decayingRate) decay(now time.Duration) {
	r.value *= math.Exp(-(now - r.measuredAt).Seconds() / DemandPeriod.Seconds())
	r.measuredAt = now
}

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount / DemandPeriod.Seconds()
}

// Observe records a request of a caller for work, in thousandths of a core times seconds.
func (d *DemandMeter) Observe(now time.Duration, caller string, work float64) {
	if d.callers == nil {
		d.callers, d.startedAt = make(map[string]*decayingRate), now
	}
	d.requests.add(now, 1)
	d.caller(now, caller).add(now, work)
}

// caller returns the state of a caller, which is added if it is unknown.
func (d *DemandMeter) caller(now time.Duration, name string) *decayingRate {
	if c := d.callers[name]; c != nil {
		return c
	}
	if len(d.callers) >= maxMeteredCallers {
		d.forgetIdle(now)
	}
	if len(d.callers) >= maxMeteredCallers {
		d.mergeLightest(now)
	}
	c := &decayingRate{measuredAt: now}
	d.callers[name] = c
	return c
}

// mergeLightest adds the caller that asks for the least to the others, so that the heavy ones stay known.
func (d *DemandMeter) mergeLightest(now time.Duration) {
	lightest, others := "", d.callers[otherCallers]
	for name, c := range d.callers {
		c.decay(now)
		if name != otherCallers && (lightest == "" || c.value < d.callers[lightest].value || c.value == d.callers[lightest].value && name < lightest) {
			lightest = name
		}
	}
	if others == nil {
		others = &decayingRate{measuredAt: now}
		d.callers[otherCallers] = others
	}
	others.value += d.callers[lightest].value
	delete(d.callers, lightest)
}

// forgetIdle removes the callers that have asked for nothing lately.
func (d *DemandMeter) forgetIdle(now time.Duration) {
	for name, c := range d.callers {
		if c.decay(now); c.value < minMeteredCPU {
			delete(d.callers, name)
		}
	}
}

// Asked returns the work asked for at present. Callers that ask for much more than the others count for
// maxCallerRatio times the mean, so that no caller enlarges the share of its entry by asking for more than
// it could be given.
func (d *DemandMeter) Asked(now time.Duration) AskedWork {
	d.forgetIdle(now)
	limit, sum := math.Inf(1), 0.0
	for range callerLimitSteps {
		sum = 0
		for _, c := range d.callers {
			sum += min(limit, c.value)
		}
		limit = maxCallerRatio * sum / float64(max(1, len(d.callers)))
	}
	d.requests.decay(now)
	return AskedWork{CPU: int64(sum / d.covered(now)), Callers: len(d.callers), Requests: int(d.requests.value * DemandPeriod.Seconds())}
}

// covered returns the part of a rate that the meter has measured since it started. Until it has measured
// for some time, a mean that starts at zero is too low.
func (d *DemandMeter) covered(now time.Duration) float64 {
	return 1 - math.Exp(-max(minDemandAge, now-d.startedAt).Seconds()/DemandPeriod.Seconds())
}

// window returns the time that the rates are measured over.
func (d *DemandMeter) window(now time.Duration) time.Duration {
	return time.Duration(d.covered(now) * float64(DemandPeriod))
}

// amountOf returns the work that a caller asks for a second, 0 if it is unknown.
func (d *DemandMeter) amountOf(now time.Duration, caller string) float64 {
	c := d.callers[caller]
	if c == nil {
		return 0
	}
	c.decay(now)
	return c.value / d.covered(now)
}

// amounts returns the work that each known caller asks for a second, and that of the others together.
func (d *DemandMeter) amounts(now time.Duration) (known []KnownCaller, others float64) {
	d.forgetIdle(now)
	for name, c := range d.callers {
		if name == otherCallers {
			others = c.value / d.covered(now)
			continue
		}
		known = append(known, KnownCaller{Name: name, Amount: c.value / d.covered(now)})
	}
	slices.SortFunc(known, func(a, b KnownCaller) int { return cmp.Compare(a.Name, b.Name) })
	return known, others
}
