package sched

// FleetStats summarizes the workers of a Pool.
type FleetStats struct {
	Usable              int // usable workers
	Excluded            int // workers that are quarantined or unresponsive
	Slots               int // slots of usable workers
	FreeSlots           int // those that are estimated to be free
	WithFreeSlot        int // workers with a slot that this entry may use now
	WithIdleAccelerator int // those that also have an idle accelerator
}

// Pool is a slice of workers with incrementally updated statistics. Summing up
// all workers for each decision would make its cost grow with the fleet: an
// admission took 1.2 microseconds with 820 workers and 11 with 8200.
type Pool struct {
	Workers    []Worker
	FleetStats FleetStats
}

// AddWorker appends an absent worker and returns its index.
func (p *Pool) AddWorker() int {
	p.Workers = append(p.Workers, Worker{})
	return len(p.Workers) - 1
}

// Set replaces the worker at an index and updates the statistics.
func (p *Pool) Set(index int, w Worker) {
	p.FleetStats.add(&p.Workers[index], -1)
	p.Workers[index] = w
	p.FleetStats.add(&p.Workers[index], 1)
}

func (s *FleetStats) add(w *Worker, sign int) {
	switch w.State {
	case Usable:
		s.Usable += sign
		s.Slots += sign * int(w.Slots)
		s.FreeSlots += sign * int(max(0, w.Slots-w.OwnTasks-w.OtherTasks))
		if w.FreeSlots() > 0 {
			s.WithFreeSlot += sign
			if w.Accelerators > w.UsedAccelerators {
				s.WithIdleAccelerator += sign
			}
		}
	case Quarantined, Unresponsive:
		s.Excluded += sign
	}
}

// CanExclude reports whether one more worker may be quarantined or treated as
// unresponsive. At least half of the connected workers stay in use: a fault of
// the whole fleet, such as a bad release of the upstream, makes every worker
// look faulty, and without this minimum the pool would be emptied and the
// service would stay down after the fault was gone.
func (s *FleetStats) CanExclude() bool {
	return s.Usable-1 >= (s.Usable+s.Excluded+1)/2
}
