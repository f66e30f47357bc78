package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRunTimeEstimateLearnsFromRuns(t *testing.T) {
	var e RunTimeEstimator
	qt.Assert(t, e.ExpectedRunTime(100*time.Millisecond), qt.Equals, 100*time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		e.Observe(100*time.Millisecond, time.Duration(100+rng.IntN(100))*time.Millisecond)
	}
	got := e.ExpectedRunTime(200 * time.Millisecond)
	qt.Assert(t, got > 260*time.Millisecond && got < 340*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
	got = e.ExpectedRunTime(0)
	qt.Assert(t, got > 130*time.Millisecond && got < 170*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

// A fifth of a queue's tasks take twenty times as long for a while. If the
// expected run time of the others rose as well, they would be refused although
// workers are free.
func TestRunTimeEstimateResistsOutliers(t *testing.T) {
	var e RunTimeEstimator
	for i := range 1000 {
		took := 100 * time.Millisecond
		if i%5 == 0 {
			took *= 20
		}
		e.Observe(100*time.Millisecond, took)
	}
	got := e.ExpectedRunTime(100 * time.Millisecond)
	qt.Assert(t, got < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

func newWorkerView(domain, rack string, cpu int64, labels ...string) WorkerView {
	return WorkerView{
		Service: "s", Domain: domain, Rack: rack, Labels: labels, State: Usable,
		Capacity: Resources{CPU: 8000}, Free: Resources{CPU: cpu},
	}
}

func TestBestWorker(t *testing.T) {
	workers := []WorkerView{
		newWorkerView("far", "r1", 8000, "a"),
		newWorkerView("near", "r2", 4000, "a"),
		newWorkerView("near", "r3", 6000, "b"),
		newWorkerView("near", "r4", 1000, "b"),
	}
	request := func(change func(*TaskRequest)) *TaskRequest {
		req := &TaskRequest{Service: "s", Domain: "near", Need: Resources{CPU: 2000}}
		if change != nil {
			change(req)
		}
		return req
	}
	for name, c := range map[string]struct {
		request *TaskRequest
		want    int
	}{
		"own domain, most free":           {request(nil), 2},
		"label":                           {request(func(req *TaskRequest) { req.Label = "a" }), 1},
		"free CPU only in another domain": {request(func(req *TaskRequest) { req.Need.CPU = 7000 }), 0},
		"near its data":                   {request(func(req *TaskRequest) { req.Rack = "r1" }), 0},
		"excludes a worker":               {request(func(req *TaskRequest) { req.IsExcluded = func(i int) bool { return i == 2 } }), 1},
		"another service":                 {request(func(req *TaskRequest) { req.Service = "x" }), NoWorker},
		"more than any has free":          {request(func(req *TaskRequest) { req.Need.CPU = 8001 }), NoWorker},
		"a resource that no worker has":   {request(func(req *TaskRequest) { req.Need.GPUs = 1 }), NoWorker},
	} {
		qt.Check(t, BestWorker(workers, c.request), qt.Equals, c.want, qt.Commentf("%s", name))
	}
}

// A worker on probation gets no more tasks than its limit allows, however many
// resources it has free.
func TestBestWorkerRespectsTaskLimit(t *testing.T) {
	w := newWorkerView("near", "r", 8000)
	w.MaxOwnTasks, w.OwnTasks = 1, 1
	qt.Assert(t, BestWorker([]WorkerView{w}, &TaskRequest{Service: "s"}), qt.Equals, NoWorker)
	w.OwnTasks = 0
	qt.Assert(t, BestWorker([]WorkerView{w}, &TaskRequest{Service: "s"}), qt.Equals, 0)
}

func TestCountPlacementsCountsFittingTasks(t *testing.T) {
	workers := []WorkerView{newWorkerView("d", "r", 8000), newWorkerView("d", "r", 5000), newWorkerView("d", "r", 5000)}
	for i := range workers {
		workers[i].Capacity.MemoryMB, workers[i].Free.MemoryMB = 100, 100
	}
	workers[2].State = Quarantined
	req := TaskRequest{Service: workers[0].Service, Need: Resources{CPU: 2000, MemoryMB: 30}}
	qt.Check(t, CountPlacements(workers, &req, 9, 9), qt.Equals, 5) // three by memory, two by CPU
	qt.Check(t, CountPlacements(workers, &req, 1, 9), qt.Equals, 2)
	qt.Check(t, CountPlacements(workers, &req, 9, 4), qt.Equals, 4)
	workers[0].MaxOwnTasks, workers[0].OwnTasks = 2, 1
	qt.Check(t, CountPlacements(workers, &req, 9, 9), qt.Equals, 3)
}
