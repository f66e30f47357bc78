package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRunTimeEstimateLearnsFromRuns(t *testing.T) {
	var r RunTimeEstimator
	qt.Assert(t, r.ExpectedRunTime(100*time.Millisecond), qt.Equals, 100*time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		r.Observe(100*time.Millisecond, time.Duration(100+rng.IntN(100))*time.Millisecond)
	}
	got := r.ExpectedRunTime(200 * time.Millisecond)
	qt.Assert(t, got > 260*time.Millisecond && got < 340*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
	got = r.ExpectedRunTime(0)
	qt.Assert(t, got > 130*time.Millisecond && got < 170*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

// A fifth of a queue's tasks take twenty times as long for a while. If the
// expected run time of the others rose as well, they would be refused although
// workers are free.
func TestRunTimeEstimateResistsOutliers(t *testing.T) {
	var r RunTimeEstimator
	for i := range 1000 {
		took := 100 * time.Millisecond
		if i%5 == 0 {
			took *= 20
		}
		r.Observe(100*time.Millisecond, took)
	}
	got := r.ExpectedRunTime(100 * time.Millisecond)
	qt.Assert(t, got < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

func newSite(domain, rack string, cpu int64, labels ...string) WorkerView {
	return WorkerView{
		Service: "s", Domain: domain, Rack: rack, Labels: labels, State: Usable,
		Capacity: Resources{CPU: 8000}, Free: Resources{CPU: cpu},
	}
}

func TestBestSite(t *testing.T) {
	sites := []WorkerView{
		newSite("far", "r1", 8000, "a"),
		newSite("near", "r2", 4000, "a"),
		newSite("near", "r3", 6000, "b"),
		newSite("near", "r4", 1000, "b"),
	}
	ask := func(change func(*TaskRequest)) *TaskRequest {
		a := &TaskRequest{Service: "s", Domain: "near", Need: Resources{CPU: 2000}}
		if change != nil {
			change(a)
		}
		return a
	}
	for name, c := range map[string]struct {
		ask  *TaskRequest
		want int
	}{
		"own domain, most free":           {ask(nil), 2},
		"label":                           {ask(func(a *TaskRequest) { a.Label = "a" }), 1},
		"free CPU only in another domain": {ask(func(a *TaskRequest) { a.Need.CPU = 7000 }), 0},
		"near its data":                   {ask(func(a *TaskRequest) { a.Rack = "r1" }), 0},
		"avoids a site":                   {ask(func(a *TaskRequest) { a.IsExcluded = func(i int) bool { return i == 2 } }), 1},
		"another service":                 {ask(func(a *TaskRequest) { a.Service = "x" }), NoWorker},
		"more than any has free":          {ask(func(a *TaskRequest) { a.Need.CPU = 8001 }), NoWorker},
		"a resource that no site has":     {ask(func(a *TaskRequest) { a.Need.GPUs = 1 }), NoWorker},
	} {
		qt.Check(t, BestWorker(sites, c.ask), qt.Equals, c.want, qt.Commentf("%s", name))
	}
}

// A worker on probation gets no more tasks than its limit allows, however many
// resources it has free.
func TestBestSiteRespectsTaskLimit(t *testing.T) {
	s := newSite("near", "r", 8000)
	s.MaxOwnTasks, s.OwnTasks = 1, 1
	qt.Assert(t, BestWorker([]WorkerView{s}, &TaskRequest{Service: "s"}), qt.Equals, NoWorker)
	s.OwnTasks = 0
	qt.Assert(t, BestWorker([]WorkerView{s}, &TaskRequest{Service: "s"}), qt.Equals, 0)
}

func TestPlacesCountsFittingTasks(t *testing.T) {
	sites := []WorkerView{newSite("d", "r", 8000), newSite("d", "r", 5000), newSite("d", "r", 5000)}
	for i := range sites {
		sites[i].Capacity.MemoryMB, sites[i].Free.MemoryMB = 100, 100
	}
	sites[2].State = Quarantined
	ask := TaskRequest{Service: sites[0].Service, Need: Resources{CPU: 2000, MemoryMB: 30}}
	qt.Check(t, CountPlacements(sites, &ask, 9, 9), qt.Equals, 5) // three by memory, two by CPU
	qt.Check(t, CountPlacements(sites, &ask, 1, 9), qt.Equals, 2)
	qt.Check(t, CountPlacements(sites, &ask, 9, 4), qt.Equals, 4)
	sites[0].MaxOwnTasks, sites[0].OwnTasks = 2, 1
	qt.Check(t, CountPlacements(sites, &ask, 9, 9), qt.Equals, 3)
}
