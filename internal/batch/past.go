package batch

import (
	"wigeontray/internal/errkind"
)

// past remembers how the newest jobs ended, in a ring.
type past struct {
	jobs map[string]pastJob
	ring []string
	next int
}

type pastJob struct {
	state State
	run   int64 // greatest number of a run of its tasks
	slot  int   // in the ring
}

func newPast(size int) *past {
	return &past{jobs: make(map[string]pastJob), ring: make([]string, size)}
}

func (p *past) add(id string, s State, run int64) {
	if before, ok := p.jobs[id]; ok {
		p.ring[before.slot] = ""
	}
	delete(p.jobs, p.ring[p.next])
	p.ring[p.next] = id
	p.jobs[id] = pastJob{state: s, run: run, slot: p.next}
	p.next = (p.next + 1) % len(p.ring)
}

func (p *past) state(id string) State { return p.jobs[id].state }

// lastRun is the greatest number that a run of a job had here. When the job comes
// again, its runs get greater ones: with the same numbers, a guard's late word on a
// run of the first time would be taken for one on the second, and the task be
// started at another worker while it runs.
func (p *past) lastRun(id string) int64 { return p.jobs[id].run }

// stateOf tells how a job that ended with err is shown. A job without a final
// end counts as unknown: its caller may send it again.
func stateOf(err *errkind.Error) State {
	switch {
	case err == nil:
		return Complete
	case HasFailed(err):
		return Failed
	case err.Kind == errkind.Cancelled:
		return Cancelled
	}
	return Unknown
}

// HasFailed tells whether an error means that the job has ended as failed: it
// would fail again.
func HasFailed(err *errkind.Error) bool {
	return err.Kind == errkind.UpstreamFailed || err.Kind == errkind.NeverFits
}
