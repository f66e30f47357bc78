package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
)

// Scarce capacity goes to callers in max-min shares. A caller that asks for more than its share has an
// allowance of that size. Its jobs beyond the allowance take only capacity for which no other job of their
// priority waits.

// callerShare is a job's caller in relation to its share.
type callerShare struct {
	shares *sched.CallerShares // nil if shares are not kept
	work   float64             // of the job, in thousandths of a core times seconds
	// asked and share are what the caller asks for and may get, in thousandths of a core.
	asked, share float64
	isOver       bool // the caller asks for more than its share
	isBeyond     bool // its allowance does not cover the job
}

func (m *Machine) hasSharesByCaller() bool {
	return m.options.SharesByCaller && !m.options.Disabled.Has(policy.CallerShares)
}

// callerShareOf records what a job asks for and returns its caller's share. A job without a known caller is
// within its share.
func (m *Machine) callerShareOf(now time.Duration, spec *Job) callerShare {
	if !m.hasSharesByCaller() || spec.Caller == "" {
		return callerShare{}
	}
	service := spec.Queue.Service
	shares := m.callerShares[service]
	if shares == nil {
		shares = new(sched.CallerShares)
		m.callerShares[service] = shares
	}
	c := callerShare{shares: shares, work: m.work(spec)}
	shares.Observe(now, spec.Caller, c.work)
	if shares.NeedsLevel(now) {
		capacity, _ := m.serviceCPU(service)
		shares.UpdateLevel(now, m.capacityShare(now, service)*float64(capacity), m.callerSpread(now, service))
	}
	c.asked, c.share, c.isOver = shares.Share(now, spec.Caller)
	c.isBeyond = c.isOver && !shares.Covers(now, spec.Caller, c.work)
	return c
}

// charge takes an admitted job from its caller's allowance.
func (c *callerShare) charge(now time.Duration, caller string) {
	if c.isOver {
		c.shares.Charge(now, caller, c.work)
	}
}

// checkCallerShare refuses a job beyond its caller's share that would have to wait, or leave hardly any capacity free.
func (m *Machine) checkCallerShare(now time.Duration, spec *Job, c *callerShare, expectedWait time.Duration) *errkind.Error {
	if !c.isBeyond || expectedWait == 0 && m.hasSpareCapacity(spec) {
		return nil
	}
	coveredIn := c.shares.Promise(now, spec.Caller, c.work)
	return newRefusal(errkind.OverShare, m.addJitter(max(overloadedRetryDelay, coveredIn)),
		"its caller asks for %.1f times its share (%.1f of %.1f cores, measured over %v), which covers such a job in %v",
		c.asked/c.share, c.asked/1000, c.share/1000, sched.DemandPeriod, coveredIn.Round(time.Millisecond))
}

// hasSpareCapacity reports whether the first tasks of a job leave some capacity free. Without that, a caller
// that floods finds each moment in which nobody waits, and those that arrive next do.
func (m *Machine) hasSpareCapacity(spec *Job) bool {
	capacity, free := m.serviceCPU(spec.Queue.Service)
	for i := range spec.Steps {
		if s := &spec.Steps[i]; len(s.After) == 0 {
			free -= int64(s.Count) * s.Need.CPU
		}
	}
	return float64(free) >= (1-sched.UsableCapacity)*float64(capacity)
}

// goesBefore reports whether a waiting job goes before a new one of the given priority and caller's share.
func (j *job) goesBefore(priority int, c *callerShare) bool {
	if j.spec.Queue.Priority != priority {
		return j.spec.Queue.Priority < priority
	}
	return !j.isOverShare || c.isBeyond
}

// work returns the expected work of a job, in thousandths of a core times seconds.
func (m *Machine) work(spec *Job) float64 {
	work := 0.0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		work += float64(int64(s.Count)*s.Need.CPU) * m.expectedRunTime(spec.Queue, s).Seconds()
	}
	return work
}
