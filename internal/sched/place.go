package sched

import (
	"math"
	"math/rand/v2"
)

// NoWorker is returned by placement functions that found no worker.
const NoWorker = -1

// minScanned is the number of workers after which a scan stops if it has found
// one with a free slot. The least loaded of 64 workers chosen at random is as
// good as the least loaded of all, and the bound keeps the cost of a decision
// independent of the fleet's size.
const minScanned = 64

// maxScanned bounds a scan when hardly any worker has a free slot. A task for
// which none is found waits for an offer instead.
const maxScanned = 512

// PlacementRequest describes a task to be placed.
type PlacementRequest struct {
	Domain       uint16      // failure domain of the requesting entry
	Excluded     []int32     // indexes of workers that have refused the task permanently
	JobLocations LocationSet // failure domains and racks of the job's other tasks
	Need         Need        // resource requirement of the task
}

func (req *PlacementRequest) isExcluded(i int32) bool {
	for _, excluded := range req.Excluded {
		if excluded == i {
			return true
		}
	}
	return false
}

// LeastLoaded returns the index of the worker with the most free slots, or
// NoWorker if no slot is free by the entry's estimate. Among equals it prefers
// the entry's own failure domain. The scan starts at a random index: entries
// that all started at the same one would send their tasks to the same workers.
func LeastLoaded(ws []Worker, req *PlacementRequest, rng *rand.Rand) int {
	n := len(ws)
	if n == 0 {
		return NoWorker
	}
	best, bestScore := NoWorker, int32(0)
	i := rng.IntN(n)
	accelerators := int16(min(req.Need.Accelerators, math.MaxInt16))
	scanLimit := maxScanned
	if req.Need != (Need{}) {
		scanLimit = n // few workers may fit; a task that misses them would wait for the next event
	}
	for scanned := 0; scanned < min(n, scanLimit); scanned++ {
		if scanned >= minScanned && best != NoWorker {
			break
		}
		if accelerators > 0 {
			busy := busyPrefixLen(ws[i:], accelerators)
			scanned += busy
			if i += busy; i == n {
				i, scanned = 0, scanned-1 // wrapping around does not count as a scanned worker
				continue
			}
		}
		if s := score(&ws[i], req); s > bestScore && !req.isExcluded(int32(i)) {
			best, bestScore = i, s
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}

// LocationSet is a set of failure domains and racks, by numeric ID modulo 64.
// IDs that collide only make a preference less precise.
type LocationSet struct{ domains, racks uint64 }

// Add adds the worker's failure domain and rack.
func (s *LocationSet) Add(w *Worker) {
	s.domains |= 1 << (w.Domain % 64)
	s.racks |= 1 << (w.Rack % 64)
}

func (s *LocationSet) hasDomain(w *Worker) bool { return s.domains&(1<<(w.Domain%64)) != 0 }
func (s *LocationSet) hasRack(w *Worker) bool   { return s.racks&(1<<(w.Rack%64)) != 0 }

// Weights in a worker's score.
const (
	freeSlotWeight    = 2  // for each free slot
	entryDomainWeight = 1  // the worker is in the entry's failure domain
	jobDomainWeight   = 16 // the job already has tasks in the worker's failure domain
	jobRackWeight     = 2  // the job already has tasks in the worker's rack
)

// score rates a worker for placement; 0 means that it cannot be used. Workers
// in a failure domain where the job already has tasks come first, then those
// with more free slots, then those in the entry's failure domain.
//
// A job fails as a whole when one of its tasks is lost. Spread over all failure
// domains, it would fail with the loss of any of them; kept together, it fails
// with the loss of one.
func score(w *Worker, req *PlacementRequest) int32 {
	if w.FreeSlots() <= 0 || req.Need.MemoryMB > 0 && !w.Fits(req.Need) {
		return 0
	}
	// A worker on probation is scored by all of its slots. Scored by its limit,
	// it would come last and, in a lightly loaded fleet, never get the task
	// that ends its probation.
	s := (w.Slots - w.OwnTasks - w.OtherTasks) * freeSlotWeight
	if w.Domain == req.Domain {
		s += entryDomainWeight
	}
	if req.JobLocations.hasDomain(w) {
		s += jobDomainWeight
	}
	if req.JobLocations.hasRack(w) {
		s += jobRackWeight
	}
	return s
}

// choiceCount is the number of random workers that LeastLoadedOfTwo compares.
const choiceCount = 2

// RandomUsable returns the index of a random usable worker that has room for
// the task, regardless of its load, or NoWorker.
func RandomUsable(ws []Worker, req *PlacementRequest, rng *rand.Rand) int {
	if len(ws) == 0 {
		return NoWorker
	}
	i := rng.IntN(len(ws))
	for range ws {
		if ws[i].State == Usable && ws[i].HasRoom(req.Need) && !req.isExcluded(int32(i)) {
			return i
		}
		if i++; i == len(ws) {
			i = 0
		}
	}
	return NoWorker
}

// LeastLoadedOfTwo returns the less loaded of two usable workers drawn at
// random, or NoWorker. The load is the number of this entry's tasks, or of all
// reported tasks if includeOthers is set.
func LeastLoadedOfTwo(ws []Worker, req *PlacementRequest, rng *rand.Rand, includeOthers bool) int {
	best := NoWorker
	for range choiceCount {
		i := RandomUsable(ws, req, rng)
		if best == NoWorker || i != NoWorker && taskCount(&ws[i], includeOthers) < taskCount(&ws[best], includeOthers) {
			best = i
		}
	}
	return best
}

func taskCount(w *Worker, includeOthers bool) int32 {
	if includeOthers {
		return w.OwnTasks + w.OtherTasks
	}
	return w.OwnTasks
}
