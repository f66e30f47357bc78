package replay

// process is what can be killed, restarted and paused.
type process struct {
	alive  bool
	paused bool
	life   int      // counts incarnations
	pauses int      // counts pauses
	inbox  []func() // what waits for a paused process
}

// do runs f in the process: now, after its pause, or never if it is dead.
func (p *process) do(f func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// later runs f in this life of the process at the end of a delay or timer.
func (p *process) later(f func()) func() {
	life := p.life
	return func() {
		if p.life == life {
			p.do(f)
		}
	}
}

func (p *process) start() { p.alive, p.paused, p.inbox, p.life = true, false, nil, p.life+1 }

func (p *process) kill() { p.alive, p.inbox = false, nil }

func (p *process) resume() {
	p.paused = false
	waiting := p.inbox
	p.inbox = nil
	for _, f := range waiting {
		f()
	}
}
