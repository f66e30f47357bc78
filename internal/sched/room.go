package sched

// Room is an amount of a worker's resources: what a task takes, or what a worker
// has or has left.
type Room struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"` // megabytes
	GPUs     int64 `cbor:"3,keyasint,omitempty"` // whole accelerators
}

// Holds tells whether a task that takes n fits into r.
func (r Room) Holds(n Room) bool {
	return r.CPU >= n.CPU && r.MemoryMB >= n.MemoryMB && r.GPUs >= n.GPUs
}

// Fit gives how many tasks that take n fit into r at once, up to most.
func (r Room) Fit(n Room, most int) int {
	fit := int64(most)
	for _, part := range [...][2]int64{{r.CPU, n.CPU}, {r.MemoryMB, n.MemoryMB}, {r.GPUs, n.GPUs}} {
		has, takes := part[0], part[1]
		if takes > 0 {
			fit = min(fit, has/takes)
		}
	}
	return int(max(0, fit))
}

// Most gives the larger amount of each resource.
func (r Room) Most(n Room) Room {
	return Room{CPU: max(r.CPU, n.CPU), MemoryMB: max(r.MemoryMB, n.MemoryMB), GPUs: max(r.GPUs, n.GPUs)}
}

// Plus gives the sum.
func (r Room) Plus(n Room) Room {
	return Room{CPU: r.CPU + n.CPU, MemoryMB: r.MemoryMB + n.MemoryMB, GPUs: r.GPUs + n.GPUs}
}

// Minus gives the difference, which is negative where n is greater.
func (r Room) Minus(n Room) Room {
	return Room{CPU: r.CPU - n.CPU, MemoryMB: r.MemoryMB - n.MemoryMB, GPUs: r.GPUs - n.GPUs}
}

// Site is what an entry believes of one worker whose room is counted.
type Site struct {
	Service  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Room
	Free     Room  // capacity less what is known to run or was sent there
	State    State // only Usable sites get tasks
	Limit    int   // most tasks of this entry while it comes back; 0 for no limit
	Own      int   // tasks of this entry that are there
}

// Ask is what a task wants of its site.
type Ask struct {
	Service string
	Need    Room
	Label   string // the site must have it; empty for none
	Rack    string // the task's data lie there; empty for nowhere
	Domain  string // where the entry is
	Avoid   func(site int) bool
}

// Suits tells whether a site could run the task if it were idle.
func (s *Site) Suits(a *Ask) bool {
	if s.State == Absent || s.Service != a.Service || !s.Capacity.Holds(a.Need) {
		return false
	}
	return a.Label == "" || s.hasLabel(a.Label)
}

func (s *Site) hasLabel(label string) bool {
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Open tells whether a site may be given the task now.
func (s *Site) Open(a *Ask) bool {
	if s.State != Usable || !s.Free.Holds(a.Need) || !s.Suits(a) {
		return false
	}
	return s.Limit == 0 || s.Own < s.Limit
}

// Places counts the tasks that sites could be given now, at most perSite at each, up
// to most in all.
func Places(sites []Site, a *Ask, perSite, most int) int {
	places := 0
	for i := range sites {
		s := &sites[i]
		if !s.Open(a) {
			continue
		}
		here := s.Free.Fit(a.Need, perSite)
		if s.Limit > 0 {
			here = min(here, s.Limit-s.Own)
		}
		if places += here; places >= most {
			return most
		}
	}
	return places
}

// BestSite chooses the site for a task, or NoWorker: near its data, then in the
// entry's own failure domain, then with most free processor. Own domain first
// keeps bytes between domains low and makes entries of different domains collide
// rarely; most free first leaves tasks of one job on few workers.
func BestSite(sites []Site, a *Ask) int {
	best, bestRank := NoWorker, 0
	for i := range sites {
		s := &sites[i]
		if !s.Open(a) || a.Avoid != nil && a.Avoid(i) {
			continue
		}
		rank := s.rank(a)
		if best == NoWorker || rank > bestRank || rank == bestRank && s.Free.CPU > sites[best].Free.CPU {
			best, bestRank = i, rank
		}
	}
	return best
}

func (s *Site) rank(a *Ask) int {
	rank := 0
	if a.Rack != "" && s.Rack == a.Rack {
		rank += 2
	}
	if s.Domain == a.Domain {
		rank++
	}
	return rank
}
