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
	siteWorkers    = 11
	slotsPerWorker = 8
	siteEntries    = 3
	workersPerRack = 3
)

// Task times of the measured workloads.
const (
	minRunTime = 50 * time.Millisecond
	maxRunTime = time.Second
)

// Length of the measured workloads. The first seconds warm up what is learned.
const (
	warmUpTime   = 5 * time.Second
	measuredTime = 60 * time.Second
)

// Site is a deployment of today's size.
type Site struct {
	Service         string
	Domains         []string
	Domain          time.Duration // one-way delay between failure domains
	PolicyWeighting dispatch.Weighting
}

// Sites of the brief.
var (
	Ayni = Site{"ayni/reserva", []string{"callao-a", "callao-b", "surco", "ate"},
		500 * time.Microsecond, dispatch.WeighResponse}
	Leeuwin = Site{"leeuwin/clubcast", []string{"fremantle", "rottnest", "mandurah", "geographe"},
		1400 * time.Microsecond, dispatch.WeighMessages}
)

// newTrace lays out the site: three workers to a rack, a rack to a domain.
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

// standardLoad is the usual traffic at a share of capacity.
func standardLoad(offered float64, deadline time.Duration) Load {
	return Load{
		Duration: warmUpTime + measuredTime, OfferedShare: offered, Deadline: deadline,
		MinRunTime: minRunTime, MaxRunTime: maxRunTime, Teams: []string{"a", "b", "c", "d"},
	}
}

// Deadlines of the workloads: one that never matters below capacity, and one
// that decides what an overloaded site can take.
const (
	looseDeadline = 30 * time.Second
	tightDeadline = 3 * time.Second
)

// Scenarios gives the generated workloads of the comparison for one site. The
// seed fixes their arrivals and run times.
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

// Size of the plan: workers, entries and failure domains, racks of twenty. A few
// seconds hold more tasks than a minute of today's load.
const (
	plannedWorkers        = 820
	plannedEntries        = 12
	plannedWorkersPerRack = 20
	plannedMeasuredTime   = 3 * time.Second
	plannedWarmUpTime     = time.Second
)

// plannedFleet is load-80 at the size to design for.
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

// burst gives three teams their usual load and lets a fourth come with far more
// than its quota for ten seconds, at all entries.
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

// domainReturn kills all workers of a failure domain and returns them at once.
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

// coldReturn is domainReturn with upstreams that run five times as long in their
// first three seconds, as with empty caches.
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

// allWorkersFail lets every upstream fail for ten seconds: a fault of the fleet.
func (s Site) allWorkersFail() *Trace {
	t := s.loadTrace("all-workers-fail", 0.5)
	for _, w := range t.Workers {
		t.Events = append(t.Events,
			Event{At: warmUpTime + 5*second, Op: OpFailing, Target: w.Name},
			Event{At: warmUpTime + 15*second, Op: OpWorking, Target: w.Name})
	}
	return t
}

// domainLosses kills the workers of one failure domain after the other.
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
