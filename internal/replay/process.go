package replay

// process is the part of entries and guards that faults are applied to: it can be
// killed, restarted and paused.
type process struct {
	isAlive    bool
	isPaused   bool
	generation int      // number of starts, which identifies the incarnation
	pauseCount int      // number of pauses
	inbox      []func() // events to run when the process resumes
}

// do runs f in the process: at once, when it resumes if it is paused, or never if
// it has terminated.
func (p *process) do(f func()) {
	switch {
	case !p.isAlive:
	case p.isPaused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// inGeneration returns a callback for a delay or timer that runs f in the process,
// unless the process was restarted since the call of inGeneration.
func (p *process) inGeneration(f func()) func() {
	generation := p.generation
	return func() {
		if p.generation == generation {
			p.do(f)
		}
	}
}

func (p *process) start() {
	p.isAlive, p.isPaused, p.inbox, p.generation = true, false, nil, p.generation+1
}

func (p *process) kill() { p.isAlive, p.inbox = false, nil }

func (p *process) resume() {
	p.isPaused = false
	waiting := p.inbox
	p.inbox = nil
	for _, f := range waiting {
		f()
	}
}
