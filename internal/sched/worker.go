// Package sched implements the dispatcher's scheduling decisions: placement,
// admission, fair queueing, quotas, the retry budget and quarantine. They are
// plain functions and types over a snapshot and an explicit clock.
//
// The package has no goroutine, socket or lock and imports no other package of
// the project, so that a benchmark or a replay can call each decision in
// isolation.
package sched

// Worker is one entry's view of one worker. Placement scans a slice of them;
// the struct is kept small so that a scan of a large fleet stays in the CPU
// cache.
type Worker struct {
	OwnTasks    int32  // tasks of this entry that were sent and have no result yet
	OtherTasks  int32  // tasks of other entries, according to the latest load report
	Slots       int32  // tasks that it can run at once
	MaxOwnTasks int32  // limit on OwnTasks during probation; 0 for no limit
	Domain      uint16 // numeric ID of its failure domain
	Rack        uint16 // numeric ID of its rack
	// MemoryMB is its memory in megabytes; 0 if unknown.
	MemoryMB         int32
	Accelerators     int16 // whole accelerators
	UsedAccelerators int16 // accelerators used by this entry's tasks
	State            State
	// HasReservation is set while slots reserved for this entry have not been
	// offered yet. The next free slots then arrive as offers, and a task sent
	// without an offer would be refused.
	HasReservation bool
}

// State describes whether a worker may be given tasks.
type State uint8

// States of a worker. The zero value marks an unused element of the slice.
const (
	Absent       State = iota
	Usable             // accepts tasks
	Quarantined        // failing or slow; gets no tasks until its quarantine ends
	Unresponsive       // has tasks of this entry but has sent nothing for too long
	Unavailable        // draining, or its link or its upstream is down
)

// FreeSlots returns the estimated number of slots that this entry may use now.
func (w *Worker) FreeSlots() int32 {
	if w.State != Usable || w.HasReservation {
		return 0
	}
	free := w.Slots - w.OwnTasks - w.OtherTasks
	if w.MaxOwnTasks > 0 {
		free = min(free, w.MaxOwnTasks-w.OwnTasks)
	}
	return free
}
