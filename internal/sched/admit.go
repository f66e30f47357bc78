package sched

import "time"

// Demand is a job that asks to be admitted.
type Demand struct {
	Tasks    int
	Left     time.Duration // until its deadline
	Declared time.Duration // the caller's estimate of one run; 0 for none
}

// Supply is what an entry can give it.
type Supply struct {
	Free    int     // slots believed free
	Waiting int     // tasks queued in front of the job
	Rate    float64 // task starts a second that the job's queue gets; 0 if unknown
	Runs    *RunTimes
}

// declaredMargin is how many times over a deadline a declared run time must be
// before it alone refuses a job: the declared ones are off by a factor of 8.
const declaredMargin = 10

// Admit estimates how long the job would take. Beyond the time that it has
// left, it is refused, and late tells by how much: coming back after that time
// meets a shorter queue. An estimate errs towards admitting while nothing is
// known.
func Admit(d *Demand, s *Supply) (ok bool, late time.Duration) {
	wait := Wait(s.Waiting+d.Tasks-s.Free, s.Rate)
	need := wait
	switch {
	case !s.Runs.Known():
		need += d.Declared / declaredMargin
	case wait == 0:
		need += s.Runs.P10 // it starts at once; refuse only what hardly can end
	default:
		// The queue lets small jobs past the tail of a big one.
		need += s.Runs.Longest(d.Tasks) + time.Duration(d.Tasks-1)*Spacing(d.Left, d.Tasks)
	}
	return need <= d.Left, need - d.Left
}

// waitMargin is added to the estimate of a wait. Without it, half of the
// estimates are too short, and at twice the capacity a twentieth of the slots'
// time goes to jobs that miss their deadline with most of their tasks done.
const waitMargin = 1.2

// Wait is how long a queue of so many tasks takes to be started.
func Wait(tasks int, rate float64) time.Duration {
	if tasks <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(waitMargin * float64(tasks) / rate * float64(time.Second))
}

// rateMemory is the time constant over which Rate forgets.
const rateMemory = 500 * time.Millisecond

// Rate learns how many tasks an entry can start in a second while tasks wait:
// its present share of the fleet, whatever the other entries take.
type Rate struct {
	PerSecond float64
	since     time.Time
	starts    int
	open      bool // tasks were waiting at the last look
}

// Started notes one start.
func (r *Rate) Started() { r.starts++ }

// Look closes an interval. waiting tells whether tasks still wait; an interval
// counts when they did at its begin, as an idle entry starts less than it could.
// If they had to wait at its end too, the very starts that empty a short queue
// would not count, and a quiet entry would believe in a rate near zero. nominal
// is the first estimate.
func (r *Rate) Look(now time.Time, waiting bool, nominal float64) {
	passed := now.Sub(r.since)
	if r.PerSecond == 0 {
		r.PerSecond = nominal
	}
	if r.open && passed > 0 {
		w := min(1, passed.Seconds()/rateMemory.Seconds())
		r.PerSecond += w * (float64(r.starts)/passed.Seconds() - r.PerSecond)
	}
	r.since, r.starts, r.open = now, 0, waiting
}
