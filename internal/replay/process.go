package replay

// process is what can be killed, restarted and paused.
type process struct {
	isAlive    bool
	isPaused   bool
	generation int      // counts incarnations
	pauseCount int      // counts pauses
	inbox      []func() // what waits for a paused process
}

// do runs f in the process: now, after its pause, or never if it is dead.
func (p *process) do(f func()) {
	switch {
	case !p.isAlive:
	case p.isPaused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// inGeneration runs f in this life of the process at the end of a delay or timer.
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
