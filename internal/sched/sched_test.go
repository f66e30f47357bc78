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

// sizes of the fleet in the benchmarks: small, today's times ten, the plan's and
// ten times the plan's.
var sizes = []int{10, 100, 820, 8200}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(testSeed, 0)) }

// fleet makes n workers of 8 slots, of which about busy are taken.
func fleet(n int, busy float64) *Pool {
	rng := newRand()
	p := new(Pool)
	for i := range n {
		w := Worker{Slots: 8, Domain: uint16(i / 3 % 6), Rack: uint16(i / 3), State: Usable}
		for range w.Slots {
			if rng.Float64() < busy {
				w.Others++
			}
		}
		p.Set(p.Grow(), w)
	}
	return p
}

func BenchmarkPlacement(b *testing.B) {
	for _, busy := range []float64{0.8, 0.99} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("busy=%g/workers=%d", busy, n), func(b *testing.B) {
				p, rng := fleet(n, busy), newRand()
				q := Query{Domain: 2, Avoid: []int32{1, 5}}
				b.ReportAllocs()
				for b.Loop() {
					if p.Fleet.Open > 0 {
						LeastLoad(p.Workers, &q, rng)
					}
				}
			})
		}
	}
}

// One worker in 50 has accelerators, and the rest is looked at for nothing.
func BenchmarkPlacementForFew(b *testing.B) {
	for _, taken := range []int16{0, 2} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("taken=%d/workers=%d", taken, n), func(b *testing.B) {
				p, rng := fleet(n, 0.8), newRand()
				for at := 0; at < n; at += 50 {
					p.Workers[at].Accelerators, p.Workers[at].Taken = 2, taken
				}
				q := Query{Domain: 2, Need: Need{Accelerators: 1}}
				b.ReportAllocs()
				for b.Loop() {
					LeastLoad(p.Workers, &q, rng)
				}
			})
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, runs := fleet(n, 0.95), NewRunTimes()
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
				waiting, share := q.Flow("team7", 1)
				d := Demand{Tasks: 10, Left: time.Second}
				s := Supply{Free: p.Fleet.Free, Waiting: min(q.Ahead(due), int(float64(waiting)/share)), Rate: 5000, Runs: runs}
				Admit(&d, &s)
			}
		})
	}
}

// Every decision is on the path of a request; garbage there turns into pauses
// that callers see as late answers.
func TestDecisionsDoNotAllocate(t *testing.T) {
	p, rng := fleet(820, 0.8), newRand()
	ws, q := p.Workers, Query{Domain: 1}
	runs := NewRunTimes()
	allocs := testing.AllocsPerRun(100, func() {
		LeastLoad(ws, &q, rng)
		OfTwo(ws, &q, rng, true)
		p.Set(7, ws[7])
		Admit(&Demand{Tasks: 3, Left: time.Second}, &Supply{Free: p.Fleet.Free, Rate: 100, Runs: runs})
		runs.Observe(time.Second)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

func TestLeastLoad(t *testing.T) {
	c := qt.New(t)
	ws := []Worker{
		{Slots: 8, Others: 7, State: Usable, Domain: 1},
		{Slots: 8, Others: 5, State: Usable, Domain: 2},
		{Slots: 8, Others: 5, State: Usable, Domain: 1},
		{Slots: 8, State: Quarantined},
		{Slots: 8, State: Usable, Reserved: true},
		{Slots: 8, State: Usable, Limit: 1, Own: 1},
	}
	rng := newRand()
	c.Assert(LeastLoad(ws, &Query{Domain: 1}, rng), qt.Equals, 2)
	c.Assert(LeastLoad(ws, &Query{Domain: 1, Avoid: []int32{1, 2}}, rng), qt.Equals, 0)
	c.Assert(LeastLoad(ws, &Query{Avoid: []int32{0, 1, 2}}, rng), qt.Equals, NoWorker)
	c.Assert(LeastLoad(nil, &Query{}, rng), qt.Equals, NoWorker)
}

// One team comes with a thousand tasks at once, and another with one task now
// and then. In order of arrival the second would wait for the whole burst.
func TestQueueIsFairBetweenTeams(t *testing.T) {
	var q Queue[string]
	for i := range 1000 {
		q.Push("burst", 1, Item[string]{Value: "burst", Due: int64(i)})
	}
	for range credit + 1 {
		q.Pop()
	}
	q.Push("quiet", 1, Item[string]{Value: "quiet", Due: 5000})
	got, _ := q.Pop()
	qt.Assert(t, got, qt.Equals, "burst") // within its credit
	for i := 0; got != "quiet"; i++ {
		qt.Assert(t, i <= credit+1, qt.IsTrue)
		got, _ = q.Pop()
	}
}

// Two teams keep the queue full, and one has three times the weight. Served
// alike, the operators' weights would be without effect.
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

// Items come and go for a long time, some due far ahead. A count that drifted
// would refuse jobs for a queue that is not there.
func TestAheadStaysExact(t *testing.T) {
	var q Queue[int64]
	rng := newRand()
	live := 0
	for i := range 20_000 {
		now := epoch.UnixNano() + int64(i)*int64(time.Millisecond)
		if rng.IntN(2) == 0 || live == 0 {
			due := now + rng.Int64N(int64(40*time.Second))
			q.Push("", 1, Item[int64]{Value: due, Due: due})
			live++
		} else {
			q.Pop()
			live--
		}
		qt.Assert(t, q.Ahead(now+int64(time.Hour)), qt.Equals, live)
	}
	for q.Len() > 0 {
		q.Pop()
	}
	qt.Assert(t, q.Ahead(1<<62), qt.Equals, 0)
}

// A team spends its quota at three entries at once. Each entry holds a third of
// it, and together they never admit more, but for one job that is larger than a
// full bucket.
func TestQuotaHoldsOverAllEntries(t *testing.T) {
	const entries, rate, burst = 3, 30.0, 60.0
	var buckets [entries]Bucket
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

// Every guard refuses, as in an outage. Without a budget each task would be sent
// to every guard in turn, and the messages of the outage multiply.
func TestRetryBudget(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 10_000 {
		b.First(0.2)
		for b.Take() {
			retries++
		}
	}
	qt.Assert(t, retries <= 2000+budgetBurst, qt.IsTrue)
}

// Tasks that were refused together must not come back together.
func TestBackoffSpreads(t *testing.T) {
	rng := newRand()
	seen := map[time.Duration]bool{}
	for range 100 {
		d := Backoff(3, rng)
		qt.Assert(t, d >= 10*time.Millisecond && d < 20*time.Millisecond, qt.IsTrue)
		seen[d] = true
	}
	qt.Assert(t, len(seen) > 90, qt.IsTrue)
	qt.Assert(t, Backoff(100, rng) <= backoffMost, qt.IsTrue)
}

// A release breaks the upstreams of the whole fleet, and each worker fails job
// after job. If all were shut out, the service would stay down after a rollback.
func TestQuarantineKeepsAFloor(t *testing.T) {
	p := fleet(11, 0)
	out := 0
	for i, w := range p.Workers {
		if p.Fleet.MayBar() {
			w.State = Quarantined
			p.Set(i, w)
			out++
		}
	}
	qt.Assert(t, out, qt.Equals, 5)
}

// A job whose tasks all fail, wherever they run, must not shut out the workers
// that it met; a worker that fails one job after the other must be.
func TestOnlyDifferentJobsMakeAWorkerSick(t *testing.T) {
	var h Health
	for range 50 {
		h.Failed("one bad job")
	}
	qt.Assert(t, h.Sick(), qt.IsFalse)
	h.Failed("second")
	h.Failed("third")
	qt.Assert(t, h.Sick(), qt.IsTrue)
	first := h.Quarantine(epoch)
	qt.Assert(t, h.Sick(), qt.IsFalse)
	h.Failed("probe")
	qt.Assert(t, h.Sick(), qt.IsTrue)
	qt.Assert(t, h.Quarantine(epoch).Sub(epoch), qt.Equals, 2*first.Sub(epoch))
	limit := int32(1)
	for range 3 {
		limit = h.Probed(limit, 8, false)
	}
	qt.Assert(t, limit, qt.Equals, int32(0))
}

// Declared run times are off by a factor of 8. Admission believes what it saw.
func TestAdmissionBelievesWhatItSaw(t *testing.T) {
	runs := NewRunTimes()
	d := Demand{Tasks: 1, Left: time.Second, Declared: 5 * time.Second}
	s := Supply{Waiting: 100, Rate: 500, Runs: runs}
	ok, _ := Admit(&d, &s)
	qt.Assert(t, ok, qt.IsTrue)
	for range 100 {
		runs.Observe(900 * time.Millisecond)
	}
	ok, late := Admit(&d, &s)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, late > 100*time.Millisecond && late < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", late))
	s.Waiting = 0
	s.Free = 5
	ok, _ = Admit(&d, &s)
	qt.Assert(t, ok, qt.IsTrue)
}

// Workers change in every way, ten thousand times. Sums that drifted from the
// workers would place tasks where no slot is, or refuse work beside idle slots.
func TestPoolSumsStayExact(t *testing.T) {
	p, rng := fleet(50, 0.5), newRand()
	for range 10_000 {
		p.Set(rng.IntN(50), Worker{
			Own: rng.Int32N(5), Others: rng.Int32N(5), Slots: rng.Int32N(9), Limit: rng.Int32N(3),
			State: State(rng.IntN(5)), Reserved: rng.IntN(4) == 0,
		})
	}
	var want Fleet
	for i := range p.Workers {
		want.add(&p.Workers[i], 1)
	}
	qt.Assert(t, p.Fleet, qt.Equals, want)
}

// A quiet entry has one task waiting now and then, for a moment. Its estimate of
// the rate must not fall to nothing, or it would refuse work that an idle worker
// could take.
func TestRateOfAShortQueue(t *testing.T) {
	var r Rate
	now := epoch
	r.Look(now, false, 100)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		r.Look(now, true, 100)
		r.Started()
		now = now.Add(10 * time.Millisecond)
		r.Look(now, false, 100)
	}
	qt.Assert(t, r.PerSecond > 90 && r.PerSecond < 110, qt.IsTrue, qt.Commentf("%v", r.PerSecond))
}

// One worker of many has an idle accelerator, wherever the scan begins. Were it
// passed over, the task would wait although its worker is idle.
func TestTheOnlyIdleAcceleratorIsFound(t *testing.T) {
	c, rng := qt.New(t), newRand()
	p := fleet(820, 0)
	for _, at := range []int{0, 400, 819} {
		p.Workers[at].Accelerators = 2
		for range 200 {
			c.Assert(LeastLoad(p.Workers, &Query{Need: Need{Accelerators: 2}}, rng), qt.Equals, at)
		}
		p.Workers[at].Taken = 1
		c.Assert(LeastLoad(p.Workers, &Query{Need: Need{Accelerators: 2}}, rng), qt.Equals, NoWorker)
		c.Assert(AnyUsable(p.Workers, &Query{Need: Need{Accelerators: 2}}, rng), qt.Equals, NoWorker)
	}
	c.Assert(LeastLoad(p.Workers, &Query{Need: Need{MemoryMB: 1 << 20}}, rng), qt.Not(qt.Equals), NoWorker)
}
