package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
)

// Size of the present deployments.
const (
	siteWorkers    = 11
	slotsPerWorker = 8
	siteEntries    = 3
	workersPerRack = 3
)

// Range of task run times in the generated workloads.
const (
	minRunTime = 50 * time.Millisecond
	maxRunTime = time.Second
)

// Duration of the generated workloads. The measured time starts after the warm-up,
// in which dispatchers learn run times and rates.
const (
	warmUpTime   = 5 * time.Second
	measuredTime = 60 * time.Second
)

// Site is a deployment of the present size.
type Site struct {
	Service         string        // "member/service"
	Domains         []string      // names of the failure domains
	Domain          time.Duration // one-way delay between failure domains
	PolicyWeighting dispatch.Weighting
}

// The two present deployments, with the figures of the requirements.
var (
	Ayni = Site{"ayni/reserva", []string{"callao-a", "callao-b", "surco", "ate"},
		500 * time.Microsecond, dispatch.PreferResponseTime}
	Leeuwin = Site{"leeuwin/clubcast", []string{"fremantle", "rottnest", "mandurah", "geographe"},
		1400 * time.Microsecond, dispatch.PreferFewMessages}
)

// newTrace returns a trace with the topology of the site: three workers per rack,
// with the racks distributed over the failure domains in turn.
func (s Site) newTrace(name string) *Trace {
	member, _, _ := strings.Cut(s.Service, "/")
	t := &Trace{Name: member + "/" + name, Service: s.Service, Policy: dispatch.DefaultPolicy(), Delays: DefaultDelays}
	t.Policy.Weighting = s.PolicyWeighting
	t.Delays.Domain = s.Domain
	t.MeasureFrom, t.MeasureUntil = warmUpTime, warmUpTime+measuredTime
	for i := range siteEntries {
		t.Entries = append(t.Entries, Entry{fmt.Sprintf("e%d", i+1), s.Domains[i%len(s.Domains)]})
	}
	for i := range siteWorkers {
		rack := i / workersPerRack
		t.Workers = append(t.Workers, Worker{
			Name: fmt.Sprintf("w%02d", i+1), Rack: fmt.Sprintf("r%d", rack+1),
			Domain: s.Domains[rack%len(s.Domains)], Slots: slotsPerWorker,
		})
	}
	return t
}

// standardLoad returns the load of the generated workloads: four teams that
// together offer the given share of the capacity.
func standardLoad(offered float64, deadline time.Duration) Load {
	return Load{
		Duration: warmUpTime + measuredTime, OfferedShare: offered, Deadline: deadline,
		MinRunTime: minRunTime, MaxRunTime: maxRunTime, Teams: []string{"a", "b", "c", "d"},
	}
}

// Deadlines of the workloads. looseDeadline never expires at a load below
// capacity; tightDeadline limits what an overloaded site can accept.
const (
	looseDeadline = 30 * time.Second
	tightDeadline = 3 * time.Second
)

// Scenarios returns the generated workloads of the comparison for one site. Their
// arrivals and run times depend only on the seed.
func Scenarios(s Site, seed uint64) []*Trace {
	out := []*Trace{
		s.loadTrace("load-50", 0.5), s.loadTrace("load-80", 0.8), s.loadTrace("load-95", 0.95),
		s.singleTasks(), s.overload200(), s.failingWorker(), s.slowWorker(), s.cancelWaves(), s.burst(),
		s.guardRestart(), s.entryRestart(), s.domainReturn(), s.coldReturn(), s.domainLosses(), s.allWorkersFail(),
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

// Size and duration of the planned fleet. A few seconds of its load have more
// tasks than a minute of the load of a present site.
const (
	plannedWorkers        = 820
	plannedEntries        = 12
	plannedWorkersPerRack = 20
	plannedMeasuredTime   = 3 * time.Second
	plannedWarmUpTime     = time.Second
)

// plannedFleet returns the load-80 workload at the planned fleet size, with six
// failure domains and racks of twenty workers.
func plannedFleet() *Trace {
	s := Ayni
	t := s.loadTrace("planned-fleet-80", 0.8)
	domains := append(slices.Clone(s.Domains), "domain-5", "domain-6")
	t.Entries, t.Workers = nil, nil
	for i := range plannedEntries {
		t.Entries = append(t.Entries, Entry{fmt.Sprintf("e%02d", i+1), domains[i%len(domains)]})
	}
	for i := range plannedWorkers {
		rack := i / plannedWorkersPerRack
		t.Workers = append(t.Workers, Worker{
			Name: fmt.Sprintf("w%03d", i+1), Rack: fmt.Sprintf("r%02d", rack+1),
			Domain: domains[rack%len(domains)], Slots: slotsPerWorker,
		})
	}
	t.MeasureFrom, t.MeasureUntil = plannedWarmUpTime, plannedWarmUpTime+plannedMeasuredTime
	t.Loads[0].Duration = plannedWarmUpTime + plannedMeasuredTime
	return t
}

func (s Site) loadTrace(name string, offered float64) *Trace {
	t := s.newTrace(name)
	t.Loads = []Load{standardLoad(offered, looseDeadline)}
	return t
}

func (s Site) singleTasks() *Trace {
	t := s.loadTrace("single-tasks-80", 0.8)
	t.Loads[0].MaxTasksPerJob = 1
	return t
}

func (s Site) overload200() *Trace {
	t := s.newTrace("overload-200")
	t.Loads = []Load{standardLoad(2, tightDeadline)}
	return t
}

func (s Site) failingWorker() *Trace {
	t := s.loadTrace("one-worker-fails-all", 0.8)
	t.Events = []Event{{At: warmUpTime + second, Op: OpFailing, Target: "w05"}}
	return t
}

func (s Site) slowWorker() *Trace {
	t := s.loadTrace("one-worker-slow", 0.7)
	t.Events = []Event{
		{At: warmUpTime + second, Op: OpSlow, Target: "w05", SlowFactor: 8},
		{At: warmUpTime + measuredTime/2, Op: OpWorking, Target: "w05"},
	}
	return t
}

func (s Site) cancelWaves() *Trace {
	t := s.loadTrace("cancel-waves", 0.9)
	t.Loads[0].CancelShare, t.Loads[0].CancelInterval = 0.3, 500*time.Millisecond
	return t
}

// burst returns a workload in which three teams have their usual load, and a
// fourth far exceeds its quota for ten seconds, at all entries.
func (s Site) burst() *Trace {
	t := s.newTrace("team-burst")
	t.Policy.Teams = map[string]dispatch.Quota{"d": {StartsPerSecond: 150, Burst: 150}}
	base := standardLoad(0.5, tightDeadline)
	base.Teams = []string{"a", "b", "c"}
	burst := standardLoad(2, tightDeadline)
	burst.Teams = []string{"d"}
	burst.Start, burst.Duration = warmUpTime+10*second, 10*second
	t.Loads = []Load{base, burst}
	return t
}

func (s Site) guardRestart() *Trace {
	t := s.loadTrace("guard-restart", 0.8)
	t.Events = []Event{
		{At: warmUpTime + 5*second, Op: OpKill, Target: "w05"},
		{At: warmUpTime + 15*second, Op: OpRestart, Target: "w05"},
	}
	return t
}

func (s Site) entryRestart() *Trace {
	t := s.loadTrace("entry-restart", 0.8)
	t.Events = []Event{
		{At: warmUpTime + 5*second, Op: OpKill, Target: "e2"},
		{At: warmUpTime + 15*second, Op: OpRestart, Target: "e2"},
	}
	return t
}

// domainReturn returns a workload in which all workers of a failure domain are
// killed and later restarted at the same time.
func (s Site) domainReturn() *Trace {
	t := s.loadTrace("domain-return", 0.6)
	for _, w := range t.Workers {
		if w.Domain == s.Domains[2] {
			t.Events = append(t.Events,
				Event{At: warmUpTime + 5*second, Op: OpKill, Target: w.Name},
				Event{At: warmUpTime + 20*second, Op: OpRestart, Target: w.Name})
		}
	}
	return t
}

// coldReturn is domainReturn with upstreams that take five times as long in the
// first three seconds after their return, as with empty caches.
func (s Site) coldReturn() *Trace {
	t := s.domainReturn()
	t.Name = strings.Replace(t.Name, "domain-return", "cold-return", 1)
	for _, ev := range slices.Clone(t.Events) {
		if ev.Op == OpRestart {
			t.Events = append(t.Events,
				Event{At: ev.At, Op: OpSlow, Target: ev.Target, SlowFactor: 5},
				Event{At: ev.At + 3*second, Op: OpWarm, Target: ev.Target})
		}
	}
	return t
}

// allWorkersFail returns a workload in which all upstreams fail for ten seconds: a
// fault of the whole fleet and not of single workers.
func (s Site) allWorkersFail() *Trace {
	t := s.loadTrace("all-workers-fail", 0.5)
	for _, w := range t.Workers {
		t.Events = append(t.Events,
			Event{At: warmUpTime + 5*second, Op: OpFailing, Target: w.Name},
			Event{At: warmUpTime + 15*second, Op: OpWorking, Target: w.Name})
	}
	return t
}

// domainLosses returns a workload in which, every five seconds, the workers of the
// next failure domain are killed, and restarted two seconds later.
func (s Site) domainLosses() *Trace {
	t := s.loadTrace("domain-losses", 0.5)
	for i := range 11 {
		at := warmUpTime + time.Duration(i)*5*second
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
