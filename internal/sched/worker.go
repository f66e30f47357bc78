// Package sched holds the decisions of the dispatcher as plain functions over
// a snapshot and an explicit clock: placement, admission, fair queueing, quota,
// retry budget and quarantine. It has no goroutine, no socket and no lock, and
// imports nothing of the project, so that a benchmark or a replay can call any
// decision by itself.
package sched

// Worker is what an entry believes of one worker. Placement reads a slice of
// them; it is kept small so that a scan of a large fleet stays in cache.
type Worker struct {
	Own    int32  // tasks of this entry that are sent and unanswered
	Others int32  // tasks of other entries, by the last report
	Slots  int32  // tasks that it runs at once
	Limit  int32  // most tasks of this entry while it comes back; 0 for no limit
	Domain uint16 // number of its failure domain
	Rack   uint16 // number of its rack
	// MemoryMB is its memory in megabytes; 0 if it is not known.
	MemoryMB     int32
	Accelerators int16 // whole ones
	Taken        int16 // accelerators of this entry's own tasks
	State        State
	// Reserved tells that the worker owes this entry an offer: its next free
	// slots come as offers, and a task sent without one would be refused.
	Reserved bool
}

// State tells whether a worker may be given tasks.
type State uint8

// States. The zero value is an unused place in the slice.
const (
	Absent      State = iota
	Usable            // takes tasks
	Quarantined       // failed or slow; takes nothing until it is probed
	Silent            // has not answered for long
	Leaving           // announced a stop, or its link or upstream is down
)

// Free is the number of slots that are believed to be free.
func (w *Worker) Free() int32 {
	if w.State != Usable || w.Reserved {
		return 0
	}
	free := w.Slots - w.Own - w.Others
	if w.Limit > 0 {
		free = min(free, w.Limit-w.Own)
	}
	return free
}
