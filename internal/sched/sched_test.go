package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testSeed = 3

var epoch = time.Unix(1_790_000_000, 0)

// fleetSizes are the numbers of workers in the benchmarks: a small fleet, ten
// times the present size, the planned size and ten times the planned size.
var fleetSizes = []int{10, 100, 820, 8200}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(testSeed, 0)) }

// newPool returns n workers with 8 slots each; busy is the expected fraction of
// slots in use.
func newPool(n int, busy float64) *Pool {
	rng := newRand()
	p := new(Pool)
	for i := range n {
		w := Worker{Slots: 8, Domain: uint16(i / 3 % 6), Rack: uint16(i / 3), State: Usable}
		for range w.Slots {
			if rng.Float64() < busy {
				w.OtherTasks++
			}
		}
		p.Set(p.AddWorker(), w)
	}
	return p
}

func BenchmarkPlacement(b *testing.B) {
	for _, busy := range []float64{0.8, 0.99} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("busy=%g/workers=%d", busy, n), func(b *testing.B) {
				p, rng := newPool(n, busy), newRand()
				req := PlacementRequest{Domain: 2, Excluded: []int32{1, 5}}
				b.ReportAllocs()
				for b.Loop() {
					if p.FleetStats.WithFreeSlot > 0 {
						LeastLoaded(p.Workers, &req, rng)
					}
				}
			})
		}
	}
}

// BenchmarkPlacementWithFewAccelerators places a task that only one worker in
// 50 fits, so that most scanned workers are useless to it.
func BenchmarkPlacementWithFewAccelerators(b *testing.B) {
	for _, used := range []int16{0, 2} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("taken=%d/workers=%d", used, n), func(b *testing.B) {
				p, rng := newPool(n, 0.8), newRand()
				for index := 0; index < n; index += 50 {
					p.Workers[index].Accelerators, p.Workers[index].UsedAccelerators = 2, used
				}
				req := PlacementRequest{Domain: 2, Need: Need{Accelerators: 1}}
				b.ReportAllocs()
				for b.Loop() {
					LeastLoaded(p.Workers, &req, rng)
				}
			})
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, runs := newPool(n, 0.95), NewRunTimeStats()
			for i := range 1000 {
				runs.Observe(time.Duration(50+i%900) * time.Millisecond)
			}
			var q Queue[int]
			for i := range 10_000 {
				q.Push(fmt.Sprintf("team%d", i%81), 1, Item[int]{Due: epoch.UnixNano() + int64(i)*int64(time.Millisecond)})
			}
			due := epoch.Add(5 * time.Second).UnixNano()
			b.ReportAllocs()
			for b.Loop() {
				queued, share := q.FlowStatus("team7", 1)
				req := AdmissionRequest{Tasks: 10, TimeLeft: time.Second}
				capacity := EntryCapacity{FreeSlots: p.FleetStats.FreeSlots, QueuedTasks: min(q.CountDueBy(due), int(float64(queued)/share)), StartRate: 5000, RunTimes: runs}
				Admit(&req, &capacity)
			}
		})
	}
}

// Every decision is part of a request's latency, and garbage on that path
// causes collector pauses that callers see as late answers.
func TestDecisionsDoNotAllocate(t *testing.T) {
	p, rng := newPool(820, 0.8), newRand()
	ws, req := p.Workers, PlacementRequest{Domain: 1}
	runs := NewRunTimeStats()
	allocs := testing.AllocsPerRun(100, func() {
		LeastLoaded(ws, &req, rng)
		LeastLoadedOfTwo(ws, &req, rng, true)
		p.Set(7, ws[7])
		Admit(&AdmissionRequest{Tasks: 3, TimeLeft: time.Second}, &EntryCapacity{FreeSlots: p.FleetStats.FreeSlots, StartRate: 100, RunTimes: runs})
		runs.Observe(time.Second)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

func TestLeastLoaded(t *testing.T) {
	c := qt.New(t)
	ws := []Worker{
		{Slots: 8, OtherTasks: 7, State: Usable, Domain: 1},
		{Slots: 8, OtherTasks: 5, State: Usable, Domain: 2},
		{Slots: 8, OtherTasks: 5, State: Usable, Domain: 1},
		{Slots: 8, State: Quarantined},
		{Slots: 8, State: Usable, HasReservation: true},
		{Slots: 8, State: Usable, MaxOwnTasks: 1, OwnTasks: 1},
	}
	rng := newRand()
	c.Assert(LeastLoaded(ws, &PlacementRequest{Domain: 1}, rng), qt.Equals, 2)
	c.Assert(LeastLoaded(ws, &PlacementRequest{Domain: 1, Excluded: []int32{1, 2}}, rng), qt.Equals, 0)
	c.Assert(LeastLoaded(ws, &PlacementRequest{Excluded: []int32{0, 1, 2}}, rng), qt.Equals, NoWorker)
	c.Assert(LeastLoaded(nil, &PlacementRequest{}, rng), qt.Equals, NoWorker)
}

// One team submits a thousand tasks at once, then another submits a single
// task. Served in order of arrival, the second team would wait for the whole
// burst.
func TestQueueIsFairBetweenTeams(t *testing.T) {
	var q Queue[string]
	for i := range 1000 {
		q.Push("burst", 1, Item[string]{Value: "burst", Due: int64(i)})
	}
	for range flowCredit + 1 {
		q.Pop()
	}
	q.Push("quiet", 1, Item[string]{Value: "quiet", Due: 5000})
	got, _ := q.Pop()
	qt.Assert(t, got, qt.Equals, "burst") // still within the flow's credit
	for i := 0; got != "quiet"; i++ {
		qt.Assert(t, i <= flowCredit+1, qt.IsTrue)
		got, _ = q.Pop()
	}
}

// Two teams keep the queue full, and one has three times the weight of the
// other. If both were served equally, the weights set by operators would have
// no effect.
func TestQueueServesByWeight(t *testing.T) {
	var q Queue[string]
	for i := range 4000 {
		q.Push("heavy", 3, Item[string]{Value: "heavy", Due: int64(2 * i)})
		q.Push("light", 1, Item[string]{Value: "light", Due: int64(2*i + 1)})
	}
	served := map[string]int{}
	for range 2000 {
		v, _ := q.Pop()
		served[v]++
	}
	qt.Assert(t, served["heavy"] >= 1400 && served["heavy"] <= 1600, qt.IsTrue, qt.Commentf("%v", served))
}

// Items are added and removed for a long time, some of them due far ahead. A
// count that drifted would make admission refuse jobs because of a backlog that
// does not exist.
func TestDueCountStaysExact(t *testing.T) {
	var q Queue[int64]
	rng := newRand()
	queued := 0
	for i := range 20_000 {
		now := epoch.UnixNano() + int64(i)*int64(time.Millisecond)
		if rng.IntN(2) == 0 || queued == 0 {
			due := now + rng.Int64N(int64(40*time.Second))
			q.Push("", 1, Item[int64]{Value: due, Due: due})
			queued++
		} else {
			q.Pop()
			queued--
		}
		qt.Assert(t, q.CountDueBy(now+int64(time.Hour)), qt.Equals, queued)
	}
	for q.Len() > 0 {
		q.Pop()
	}
	qt.Assert(t, q.CountDueBy(1<<62), qt.Equals, 0)
}

// A team uses its quota at three entries at once. Each entry holds a third of
// it, and together they must never admit more than the quota, except for one
// job that is larger than a full bucket.
func TestQuotaHoldsAcrossEntries(t *testing.T) {
	const entries, rate, burst = 3, 30.0, 60.0
	var buckets [entries]TokenBucket
	admitted := 0
	for ms := range 10_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ok, after := buckets[ms%entries].Take(now, 1, rate/entries, burst/entries); ok {
			admitted++
		} else {
			qt.Assert(t, after > 0, qt.IsTrue)
		}
	}
	qt.Assert(t, admitted <= int(burst+10*rate), qt.IsTrue, qt.Commentf("%d", admitted))
	qt.Assert(t, admitted >= int(burst+10*rate)-entries, qt.IsTrue, qt.Commentf("%d", admitted))
}

// Every guard refuses, as in an outage. Without a budget each task would be
// sent to every guard in turn and multiply the messages of the outage.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 10_000 {
		b.AddFirstStart(0.2)
		for b.TryTake() {
			retries++
		}
	}
	qt.Assert(t, retries <= 2000+maxRetryTokens, qt.IsTrue)
}

// Tasks that were refused together must not be retried together.
func TestBackoffSpreads(t *testing.T) {
	rng := newRand()
	seen := map[time.Duration]bool{}
	for range 100 {
		d := BackoffDelay(3, rng)
		qt.Assert(t, d >= 10*time.Millisecond && d < 20*time.Millisecond, qt.IsTrue)
		seen[d] = true
	}
	qt.Assert(t, len(seen) > 90, qt.IsTrue)
	qt.Assert(t, BackoffDelay(100, rng) <= maxBackoffDelay, qt.IsTrue)
}

// A release breaks the upstreams of the whole fleet, and each worker fails one
// job after the other. If all of them were quarantined, the service would stay
// down after a rollback.
func TestQuarantineKeepsHalfOfWorkers(t *testing.T) {
	p := newPool(11, 0)
	quarantined := 0
	for i, w := range p.Workers {
		if p.FleetStats.CanExclude() {
			w.State = Quarantined
			p.Set(i, w)
			quarantined++
		}
	}
	qt.Assert(t, quarantined, qt.Equals, 5)
}

// A job whose tasks fail on every worker must not get those workers
// quarantined; a worker that fails one job after the other must be quarantined.
func TestQuarantineRequiresDistinctFailedJobs(t *testing.T) {
	var h Health
	for range 50 {
		h.RecordFailure("one bad job")
	}
	qt.Assert(t, h.ShouldQuarantine(), qt.IsFalse)
	h.RecordFailure("second")
	h.RecordFailure("third")
	qt.Assert(t, h.ShouldQuarantine(), qt.IsTrue)
	firstUntil := h.Quarantine(epoch)
	qt.Assert(t, h.ShouldQuarantine(), qt.IsFalse)
	h.RecordFailure("probe")
	qt.Assert(t, h.ShouldQuarantine(), qt.IsTrue)
	qt.Assert(t, h.Quarantine(epoch).Sub(epoch), qt.Equals, 2*firstUntil.Sub(epoch))
	limit := int32(1)
	for range 3 {
		limit = h.RecordProbe(limit, 8, false)
	}
	qt.Assert(t, limit, qt.Equals, int32(0))
}

// Declared run times are off by a factor of 8. Once run times have been
// observed, admission must use those instead.
func TestAdmissionPrefersObservedRunTimes(t *testing.T) {
	runs := NewRunTimeStats()
	req := AdmissionRequest{Tasks: 1, TimeLeft: time.Second, DeclaredRunTime: 5 * time.Second}
	capacity := EntryCapacity{QueuedTasks: 100, StartRate: 500, RunTimes: runs}
	admitted, _ := Admit(&req, &capacity)
	qt.Assert(t, admitted, qt.IsTrue)
	for range 100 {
		runs.Observe(900 * time.Millisecond)
	}
	admitted, lateness := Admit(&req, &capacity)
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Assert(t, lateness > 100*time.Millisecond && lateness < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", lateness))
	capacity.QueuedTasks = 0
	capacity.FreeSlots = 5
	admitted, _ = Admit(&req, &capacity)
	qt.Assert(t, admitted, qt.IsTrue)
}

// Workers change in every way ten thousand times. If the statistics drifted
// from the workers, tasks would be placed where no slot is free, or refused
// while slots are idle.
func TestPoolStatsStayExact(t *testing.T) {
	p, rng := newPool(50, 0.5), newRand()
	for range 10_000 {
		p.Set(rng.IntN(50), Worker{
			OwnTasks: rng.Int32N(5), OtherTasks: rng.Int32N(5), Slots: rng.Int32N(9), MaxOwnTasks: rng.Int32N(3),
			State: State(rng.IntN(5)), HasReservation: rng.IntN(4) == 0,
		})
	}
	var want FleetStats
	for i := range p.Workers {
		want.add(&p.Workers[i], 1)
	}
	qt.Assert(t, p.FleetStats, qt.Equals, want)
}

// A lightly loaded entry has one task waiting now and then, for a short time.
// If its estimated start rate fell to nearly zero, it would refuse work that an
// idle worker could take.
func TestStartRateOfShortQueue(t *testing.T) {
	var r StartRate
	now := epoch
	r.EndInterval(now, false, 100)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		r.EndInterval(now, true, 100)
		r.RecordStart()
		now = now.Add(10 * time.Millisecond)
		r.EndInterval(now, false, 100)
	}
	qt.Assert(t, r.PerSecond > 90 && r.PerSecond < 110, qt.IsTrue, qt.Commentf("%v", r.PerSecond))
}

// Only one worker has enough idle accelerators. Wherever the scan starts, it
// must be found; otherwise the task would wait although its worker is idle.
func TestPlacementFindsOnlyIdleAccelerator(t *testing.T) {
	c, rng := qt.New(t), newRand()
	p := newPool(820, 0)
	for _, index := range []int{0, 400, 819} {
		p.Workers[index].Accelerators = 2
		for range 200 {
			c.Assert(LeastLoaded(p.Workers, &PlacementRequest{Need: Need{Accelerators: 2}}, rng), qt.Equals, index)
		}
		p.Workers[index].UsedAccelerators = 1
		c.Assert(LeastLoaded(p.Workers, &PlacementRequest{Need: Need{Accelerators: 2}}, rng), qt.Equals, NoWorker)
		c.Assert(RandomUsable(p.Workers, &PlacementRequest{Need: Need{Accelerators: 2}}, rng), qt.Equals, NoWorker)
	}
	c.Assert(LeastLoaded(p.Workers, &PlacementRequest{Need: Need{MemoryMB: 1 << 20}}, rng), qt.Not(qt.Equals), NoWorker)
}
