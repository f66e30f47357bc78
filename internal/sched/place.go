package sched

import (
	"math"
	"math/rand/v2"
)

// NoWorker is the answer of a placement that found nothing.
const NoWorker = -1

// window bounds how many workers a placement looks at before it takes the best
// one seen with a free slot. The least loaded of 64 workers chosen at random is
// as good as the least loaded of all; the bound keeps the cost of a decision
// from growing with the fleet.
const window = 64

// mostSeen bounds the scan where hardly a worker has a free slot; a task that
// finds none is bound by an offer instead.
const mostSeen = 512

// Query is one placement.
type Query struct {
	Domain uint16  // failure domain of the entry that asks
	Avoid  []int32 // workers that gave their final word on the task
	Held   Sites   // where the job already has tasks
	Need   Need    // of the task
}

func (q *Query) avoids(i int32) bool {
	for _, a := range q.Avoid {
		if a == i {
			return true
		}
	}
	return false
}

// LeastLoad picks the worker with the most slots believed free, and among
// equals one in the entry's own failure domain, or NoWorker when every slot is
// believed to be taken. The scan begins at a random worker: entries that began
// at the same one would send their tasks to the same place.
func LeastLoad(ws []Worker, q *Query, rng *rand.Rand) int {
	n := len(ws)
	if n == 0 {
		return NoWorker
	}
	best, bestScore := NoWorker, int32(0)
	at := rng.IntN(n)
	idle := int16(min(q.Need.Accelerators, math.MaxInt16))
	most := mostSeen
	if q.Need != (Need{}) {
		most = n // few workers may fit; past them, the task would wait for another event
	}
	for seen := 0; seen < min(n, most); seen++ {
		if seen >= window && best != NoWorker {
			break
		}
		if idle > 0 {
			run := busyRun(ws[at:], idle)
			seen += run
			if at += run; at == n {
				at, seen = 0, seen-1 // the end of the slice is no worker
				continue
			}
		}
		if s := score(&ws[at], q); s > bestScore && !q.avoids(int32(at)) {
			best, bestScore = at, s
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

// Sites is a set of failure domains and racks. Numbers from 64 on share a bit,
// which only blurs a preference.
type Sites struct{ domains, racks uint64 }

// Add puts the worker's domain and rack into the set.
func (s *Sites) Add(w *Worker) {
	s.domains |= 1 << (w.Domain % 64)
	s.racks |= 1 << (w.Rack % 64)
}

func (s *Sites) hasDomain(w *Worker) bool { return s.domains&(1<<(w.Domain%64)) != 0 }
func (s *Sites) hasRack(w *Worker) bool   { return s.racks&(1<<(w.Rack%64)) != 0 }

// Weights of a worker's score.
const (
	freeWeight   = 2  // a slot believed free
	nearWeight   = 1  // it is in the entry's own domain
	domainWeight = 16 // the job already has tasks in its domain
	rackWeight   = 2  // and in its rack
)

// score orders workers with a free slot: first those in a domain where the job
// already has tasks, then by free slots, then those near the entry.
//
// A job fails as a whole when one of its tasks is lost. Spread over all domains
// it is hit by the loss of any; kept together, by that of one only.
func score(w *Worker, q *Query) int32 {
	if w.Free() <= 0 || q.Need.MemoryMB > 0 && !w.Fits(q.Need) {
		return 0
	}
	// A worker that is probed counts with all its slots: by its limit it would
	// come last, and in a quiet fleet never be probed.
	s := (w.Slots - w.Own - w.Others) * freeWeight
	if w.Domain == q.Domain {
		s += nearWeight
	}
	if q.Held.hasDomain(w) {
		s += domainWeight
	}
	if q.Held.hasRack(w) {
		s += rackWeight
	}
	return s
}

// choices is how many workers TwoChoices compares.
const choices = 2

// AnyUsable picks a usable worker with room for the need at random, whatever
// its load.
func AnyUsable(ws []Worker, q *Query, rng *rand.Rand) int {
	if len(ws) == 0 {
		return NoWorker
	}
	at := rng.IntN(len(ws))
	for range ws {
		if ws[at].State == Usable && ws[at].HasRoom(q.Need) && !q.avoids(int32(at)) {
			return at
		}
		if at++; at == len(ws) {
			at = 0
		}
	}
	return NoWorker
}

// OfTwo picks the better of two usable workers drawn at random: by the tasks
// that this entry has there, or with others by all tasks known there.
func OfTwo(ws []Worker, q *Query, rng *rand.Rand, others bool) int {
	best := NoWorker
	for range choices {
		at := AnyUsable(ws, q, rng)
		if best == NoWorker || at != NoWorker && taken(&ws[at], others) < taken(&ws[best], others) {
			best = at
		}
	}
	return best
}

func taken(w *Worker, others bool) int32 {
	if others {
		return w.Own + w.Others
	}
	return w.Own
}
