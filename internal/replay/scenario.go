package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
)

// Size of today's deployments.
const (
	todayWorkers = 11
	todaySlots   = 8
	todayEntries = 3
	rackSize     = 3
)

// Task times of the measured workloads.
const (
	minTask = 50 * time.Millisecond
	maxTask = time.Second
)

// Length of the measured workloads. The first seconds warm up what is learned.
const (
	warmUp   = 5 * time.Second
	measured = 60 * time.Second
)

// Site is a deployment of today's size.
type Site struct {
	Service string
	Domains []string
	Domain  time.Duration // one-way delay between failure domains
	Weight  dispatch.Weighting
}

// Sites of the brief.
var (
	Ayni = Site{"ayni/reserva", []string{"callao-a", "callao-b", "surco", "ate"},
		500 * time.Microsecond, dispatch.WeighResponse}
	Leeuwin = Site{"leeuwin/clubcast", []string{"fremantle", "rottnest", "mandurah", "geographe"},
		1400 * time.Microsecond, dispatch.WeighMessages}
)

// trace lays out the site: three workers to a rack, a rack to a domain.
func (s Site) trace(name string) *Trace {
	member, _, _ := strings.Cut(s.Service, "/")
	t := &Trace{Name: member + "/" + name, Service: s.Service, Policy: dispatch.DefaultPolicy(), Delays: DefaultDelays}
	t.Policy.Weighting = s.Weight
	t.Delays.Domain = s.Domain
	t.From, t.Until = warmUp, warmUp+measured
	for i := range todayEntries {
		t.Entries = append(t.Entries, Entry{fmt.Sprintf("e%d", i+1), s.Domains[i%len(s.Domains)]})
	}
	for i := range todayWorkers {
		rack := i / rackSize
		t.Workers = append(t.Workers, Worker{
			Name: fmt.Sprintf("w%02d", i+1), Rack: fmt.Sprintf("r%d", rack+1),
			Domain: s.Domains[rack%len(s.Domains)], Slots: todaySlots,
		})
	}
	return t
}

// load is the usual traffic at a share of capacity.
func load(offered float64, deadline time.Duration) Load {
	return Load{
		For: warmUp + measured, Offered: offered, Deadline: deadline,
		MinTask: minTask, MaxTask: maxTask, Teams: []string{"a", "b", "c", "d"},
	}
}

// Deadlines of the workloads: one that never matters below capacity, and one
// that decides what an overloaded site can take.
const (
	roomy = 30 * time.Second
	tight = 3 * time.Second
)

// Scenarios gives the generated workloads of the comparison for one site. The
// seed fixes their arrivals and run times.
func Scenarios(s Site, seed uint64) []*Trace {
	out := []*Trace{
		s.loaded("load-50", 0.5), s.loaded("load-80", 0.8), s.loaded("load-95", 0.95),
		s.singles(), s.overload(), s.brokenWorker(), s.slowWorker(), s.cancelWaves(), s.burst(),
		s.guardRestart(), s.entryRestart(), s.domainReturn(), s.coldReturn(), s.domainLosses(), s.allBroken(),
	}
	if s.Service == Ayni.Service {
		out = append(out, plannedFleet())
	}
	for _, t := range out {
		for i := range t.Loads {
			t.Loads[i].Seed = seed
		}
	}
	return out
}

// Size of the plan: workers, entries and failure domains, racks of twenty. A few
// seconds hold more tasks than a minute of today's load.
const (
	plannedWorkers = 820
	plannedEntries = 12
	plannedRack    = 20
	plannedTime    = 3 * time.Second
	plannedWarmUp  = time.Second
)

// plannedFleet is load-80 at the size to design for.
func plannedFleet() *Trace {
	s := Ayni
	t := s.loaded("planned-fleet-80", 0.8)
	domains := append(slices.Clone(s.Domains), "domain-5", "domain-6")
	t.Entries, t.Workers = nil, nil
	for i := range plannedEntries {
		t.Entries = append(t.Entries, Entry{fmt.Sprintf("e%02d", i+1), domains[i%len(domains)]})
	}
	for i := range plannedWorkers {
		rack := i / plannedRack
		t.Workers = append(t.Workers, Worker{
			Name: fmt.Sprintf("w%03d", i+1), Rack: fmt.Sprintf("r%02d", rack+1),
			Domain: domains[rack%len(domains)], Slots: todaySlots,
		})
	}
	t.From, t.Until = plannedWarmUp, plannedWarmUp+plannedTime
	t.Loads[0].For = plannedWarmUp + plannedTime
	return t
}

func (s Site) loaded(name string, offered float64) *Trace {
	t := s.trace(name)
	t.Loads = []Load{load(offered, roomy)}
	return t
}

func (s Site) singles() *Trace {
	t := s.loaded("single-tasks-80", 0.8)
	t.Loads[0].MaxJob = 1
	return t
}

func (s Site) overload() *Trace {
	t := s.trace("overload-200")
	t.Loads = []Load{load(2, tight)}
	return t
}

func (s Site) brokenWorker() *Trace {
	t := s.loaded("one-worker-fails-all", 0.8)
	t.Events = []Event{{At: warmUp + second, Op: OpFailing, Target: "w05"}}
	return t
}

func (s Site) slowWorker() *Trace {
	t := s.loaded("one-worker-slow", 0.7)
	t.Events = []Event{
		{At: warmUp + second, Op: OpSlow, Target: "w05", Factor: 8},
		{At: warmUp + measured/2, Op: OpWorking, Target: "w05"},
	}
	return t
}

func (s Site) cancelWaves() *Trace {
	t := s.loaded("cancel-waves", 0.9)
	t.Loads[0].Cancel, t.Loads[0].Wave = 0.3, 500*time.Millisecond
	return t
}

// burst gives three teams their usual load and lets a fourth come with far more
// than its quota for ten seconds, at all entries.
func (s Site) burst() *Trace {
	t := s.trace("team-burst")
	t.Policy.Teams = map[string]dispatch.Quota{"d": {StartsPerSecond: 150, Burst: 150}}
	base := load(0.5, tight)
	base.Teams = []string{"a", "b", "c"}
	burst := load(2, tight)
	burst.Teams = []string{"d"}
	burst.From, burst.For = warmUp+10*second, 10*second
	t.Loads = []Load{base, burst}
	return t
}

func (s Site) guardRestart() *Trace {
	t := s.loaded("guard-restart", 0.8)
	t.Events = []Event{
		{At: warmUp + 5*second, Op: OpKill, Target: "w05"},
		{At: warmUp + 15*second, Op: OpRestart, Target: "w05"},
	}
	return t
}

func (s Site) entryRestart() *Trace {
	t := s.loaded("entry-restart", 0.8)
	t.Events = []Event{
		{At: warmUp + 5*second, Op: OpKill, Target: "e2"},
		{At: warmUp + 15*second, Op: OpRestart, Target: "e2"},
	}
	return t
}

// domainReturn kills all workers of a failure domain and returns them at once.
func (s Site) domainReturn() *Trace {
	t := s.loaded("domain-return", 0.6)
	for _, w := range t.Workers {
		if w.Domain == s.Domains[2] {
			t.Events = append(t.Events,
				Event{At: warmUp + 5*second, Op: OpKill, Target: w.Name},
				Event{At: warmUp + 20*second, Op: OpRestart, Target: w.Name})
		}
	}
	return t
}

// coldReturn is domainReturn with upstreams that run five times as long in their
// first three seconds, as with empty caches.
func (s Site) coldReturn() *Trace {
	t := s.domainReturn()
	t.Name = strings.Replace(t.Name, "domain-return", "cold-return", 1)
	for _, ev := range slices.Clone(t.Events) {
		if ev.Op == OpRestart {
			t.Events = append(t.Events,
				Event{At: ev.At, Op: OpSlow, Target: ev.Target, Factor: 5},
				Event{At: ev.At + 3*second, Op: OpWarm, Target: ev.Target})
		}
	}
	return t
}

// allBroken lets every upstream fail for ten seconds: a fault of the fleet.
func (s Site) allBroken() *Trace {
	t := s.loaded("all-workers-fail", 0.5)
	for _, w := range t.Workers {
		t.Events = append(t.Events,
			Event{At: warmUp + 5*second, Op: OpFailing, Target: w.Name},
			Event{At: warmUp + 15*second, Op: OpWorking, Target: w.Name})
	}
	return t
}

// domainLosses kills the workers of one failure domain after the other.
func (s Site) domainLosses() *Trace {
	t := s.loaded("domain-losses", 0.5)
	for i := range 11 {
		at := warmUp + time.Duration(i)*5*second
		for _, w := range t.Workers {
			if w.Domain == s.Domains[i%len(s.Domains)] {
				t.Events = append(t.Events,
					Event{At: at, Op: OpKill, Target: w.Name},
					Event{At: at + 2*second, Op: OpRestart, Target: w.Name})
			}
		}
	}
	return t
}
