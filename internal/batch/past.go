package batch

import (
	"wigeontray/internal/errkind"
)

// past remembers how the newest jobs ended, in a ring.
type past struct {
	states map[string]State
	ring   []string
	next   int
}

func newPast(size int) *past {
	return &past{states: make(map[string]State), ring: make([]string, size)}
}

func (p *past) add(id string, s State) {
	delete(p.states, p.ring[p.next])
	p.ring[p.next] = id
	p.next = (p.next + 1) % len(p.ring)
	p.states[id] = s
}

func (p *past) state(id string) State { return p.states[id] }

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
