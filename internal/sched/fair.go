package sched

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Demand is what a caller asks for. A caller of twice the weight may get twice as much.
type Demand struct {
	Amount, Weight float64
}

// FairLevel returns the max-min fair level of a capacity: each demand is cut off at the level times its
// weight, and the rest of them adds up to the capacity. It is infinite if all demands fit.
func FairLevel(demands []Demand, capacity float64) float64 {
	sorted, weight := slices.Clone(demands), 0.0
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Amount*b.Weight, b.Amount*a.Weight) })
	for _, d := range sorted {
		weight += d.Weight
	}
	for _, d := range sorted {
		level := max(0, capacity) / weight
		if d.Amount > level*d.Weight {
			return level
		}
		capacity -= d.Amount
		weight -= d.Weight
	}
	return math.Inf(1)
}

// CallerShares measures what each caller asks for, and holds the allowances of those that ask for more than
// their share of the capacity. The zero value is ready for use.
type CallerShares struct {
	meter      DemandMeter
	observed   int     // requests, up to meanRequests
	meanWork   float64 // of a request, in thousandths of a core times seconds
	meanSquare float64 // mean square of the work of a request
	level      float64 // fair level in thousandths of a core, infinite if all demands fit
	typical    float64 // median of the callers' demands
	levelAt    time.Duration
	allowances map[string]*allowance // of callers over their share
	known      []KnownCaller         // callers that are stated to other entries
	spread     Spread
}

// KnownCaller is a caller that an entry states to others.
type KnownCaller struct {
	Name      string
	Amount    float64 // work a second, in thousandths of a core
	IsSampled bool    // it is one of a sample of callers that is the same at all entries
}

// Spread tells how callers spread their requests over entries. The zero value is that of callers that use
// one entry each.
type Spread struct {
	Ratios  map[string]float64 // what a caller asks all entries for, relative to this entry; at least 1
	Typical float64            // the same of a typical caller; 0 for 1
}

// relative returns the spread of a caller relative to a typical one.
func (s *Spread) relative(caller string) float64 {
	return cmp.Or(s.Ratios[caller], s.typical()) / s.typical()
}

func (s *Spread) typical() float64 { return cmp.Or(s.Typical, 1) }

// allowance is the work that a caller over its share may still ask for.
type allowance struct {
	bucket        TokenBucket
	promisedUntil time.Duration // time until which its refills are promised to refused jobs
}

const (
	// fairLevelInterval is the interval at which the fair level is computed.
	fairLevelInterval = 100 * time.Millisecond
	// UsableCapacity is the part of the capacity that is divided. The rest is in fragments that fit no task.
	UsableCapacity = 0.9
	// minOverShare is the ratio of a demand to the level from which on its caller may be over its share.
	minOverShare = 1.25
	// callerDeviations and callerBursts are the numbers of standard deviations and of large requests, added
	// up, by which a demand may exceed the level by chance.
	callerDeviations = 6
	callerBursts     = 12
	// meanRequests is the number of requests that their mean work is taken of, minKnownWork that below which
	// it is not known.
	meanRequests = 256
	minKnownWork = 100
	// maxRequestRatio limits the work of one request in the mean square, relative to the mean.
	maxRequestRatio = 8
	// allowanceBurst is the time in which an empty allowance is filled.
	allowanceBurst = 2 * time.Second
	// promiseMargin is added to the time between two promises, for rounding.
	promiseMargin = time.Millisecond
	// MaxAllowanceWait limits the time for which refills of an allowance are promised.
	MaxAllowanceWait = 10 * time.Second
)

// Observe records a request of a caller for work, in thousandths of a core times seconds.
func (s *CallerShares) Observe(now time.Duration, caller string, work float64) {
	s.observed = min(s.observed+1, meanRequests)
	s.meanWork += (work - s.meanWork) / float64(s.observed)
	limited := min(work, maxRequestRatio*s.meanWork)
	s.meanSquare += (limited*limited - s.meanSquare) / float64(s.observed)
	s.meter.Observe(now, caller, work)
}

// NeedsLevel reports whether UpdateLevel is due.
func (s *CallerShares) NeedsLevel(now time.Duration) bool {
	return s.levelAt == 0 || now-s.levelAt >= fairLevelInterval
}

// UpdateLevel computes the fair level of a capacity, in thousandths of a core. A caller that spreads its
// requests over more entries than the others do has a smaller weight at each.
func (s *CallerShares) UpdateLevel(now time.Duration, capacity float64, spread Spread) {
	callers, others := s.meter.amounts(now)
	s.levelAt, s.level, s.typical, s.spread, s.known = now, math.Inf(1), 0, spread, nil
	for caller := range s.allowances {
		if s.meter.callers[caller] == nil {
			delete(s.allowances, caller)
		}
	}
	if len(callers) == 0 {
		return
	}
	demands, amounts := make([]Demand, len(callers)), make([]float64, len(callers))
	for i := range callers {
		spread := s.spread.relative(callers[i].Name)
		demands[i], amounts[i] = Demand{Amount: callers[i].Amount, Weight: 1 / spread}, callers[i].Amount*spread
	}
	slices.Sort(amounts)
	s.typical = amounts[(len(amounts)-1)/2]
	s.level = FairLevel(demands, max(minKnownCallersShare*UsableCapacity*capacity, UsableCapacity*capacity-others))
	if !math.IsInf(s.level, 1) {
		s.known = knownCallers(callers)
	}
}

// Known returns the callers that the entry states to others: none without a shortage.
func (s *CallerShares) Known() []KnownCaller { return s.known }

// statedHeaviest and statedSample are the numbers of the heaviest and of the sampled callers that an entry
// states. MaxStatedCallers limits a statement.
const (
	statedHeaviest   = 4
	statedSample     = 4
	MaxStatedCallers = statedHeaviest + statedSample
)

// knownCallers returns the callers to state: the heaviest, and those with the lowest hashes.
func knownCallers(callers []KnownCaller) []KnownCaller {
	slices.SortFunc(callers, func(a, b KnownCaller) int {
		return cmp.Or(cmp.Compare(sampleHash(a.Name), sampleHash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for i := range callers {
		callers[i].IsSampled = i < statedSample
	}
	known := slices.Clone(callers[:min(len(callers), statedSample)])
	slices.SortStableFunc(callers, func(a, b KnownCaller) int { return cmp.Compare(b.Amount, a.Amount) })
	for _, c := range callers[:min(len(callers), statedHeaviest)] {
		if !c.IsSampled {
			known = append(known, c)
		}
	}
	return known
}

func sampleHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// minKnownCallersShare is the part of the capacity that is divided among the known callers if there are more
// than the meter knows.
const minKnownCallersShare = 0.5

// Share returns what a caller asks for and its share, both in thousandths of a core, and whether it is over
// its share. None is if the capacity is enough for all of them, or if they ask for about the same.
func (s *CallerShares) Share(now time.Duration, caller string) (asked, share float64, isOver bool) {
	asked = s.meter.amountOf(now, caller)
	if isOver = s.isOver(now, caller, asked); !isOver {
		delete(s.allowances, caller)
	}
	return asked, s.levelOf(caller), isOver
}

// levelOf returns the share of a caller.
func (s *CallerShares) levelOf(caller string) float64 { return s.level / s.spread.relative(caller) }

// isOver reports whether a caller asks for more than the fair level, and more than most callers do, by more
// than chance may explain.
func (s *CallerShares) isOver(now time.Duration, caller string, asked float64) bool {
	limit := max(s.level, s.typical)
	asked *= s.spread.relative(caller)
	if s.level <= 0 || asked <= minOverShare*limit || s.observed < minKnownWork {
		return false
	}
	// The work of n random requests has the variance n*meanSquare. The amounts are those at this entry; what
	// typical callers ask elsewhere adds to the evidence.
	window, largeRequest := s.meter.window(now).Seconds()*s.spread.typical(), s.meanSquare/s.meanWork
	byChance := callerDeviations*math.Sqrt(limit*window*largeRequest) + callerBursts*largeRequest
	return (asked-limit)*window > byChance
}

// Covers reports whether the allowance of a caller over its share covers a job of the given work.
func (s *CallerShares) Covers(now time.Duration, caller string, work float64) bool {
	return s.wait(now, caller, work) == 0
}

// Charge takes the work of an admitted job from its caller's allowance. Work that it does not cover leaves a
// limited debt: what the caller gets beyond its share while there is room counts as part of the share.
func (s *CallerShares) Charge(now time.Duration, caller string, work float64) {
	a, level := s.allowance(caller), s.levelOf(caller)
	burst := level * allowanceBurst.Seconds()
	if isCovered, _ := a.bucket.Take(bucketTime(now), work, level, burst); !isCovered {
		a.bucket.Charge(work, burst)
	}
}

// Promise returns the time after which a caller's allowance covers a refused job, if the jobs refused before
// return first, at the times promised to them. It is at most MaxAllowanceWait.
func (s *CallerShares) Promise(now time.Duration, caller string, work float64) time.Duration {
	a := s.allowance(caller)
	at := min(max(now+s.wait(now, caller, work)+promiseMargin, a.promisedUntil), now+MaxAllowanceWait)
	a.promisedUntil = at + time.Duration(work/s.levelOf(caller)*float64(time.Second)) + promiseMargin
	return at - now
}

func (s *CallerShares) wait(now time.Duration, caller string, work float64) time.Duration {
	level := s.levelOf(caller)
	return s.allowance(caller).bucket.Wait(bucketTime(now), work, level, level*allowanceBurst.Seconds())
}

func (s *CallerShares) allowance(caller string) *allowance {
	if s.allowances == nil {
		s.allowances = make(map[string]*allowance)
	}
	if s.allowances[caller] == nil {
		s.allowances[caller] = new(allowance)
	}
	return s.allowances[caller]
}

// bucketTime converts a time on an entry's clock to that of a TokenBucket.
func bucketTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
