package entry

import (
	"sync"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/jobs"
	"wigeontray/internal/wire"
)

// lane is one service at this entry: its dispatch machine, the links to its
// guards, and the records that wait for outcomes. Services share no lock, so
// that one member's load does not slow another's decisions.
type lane struct {
	service string
	home    identity.Incarnation // this entry, named in every start
	finish  func(now time.Time, rec *jobs.Record, o *dispatch.Outcome)

	// mu guards all below. It is held while messages are queued on links, which
	// never blocks, so that a guard gets them in the order of the decisions.
	// Lock order: lane.mu, then the registry's.
	mu     sync.Mutex
	core   dispatch.Machine
	links  map[identity.Incarnation]*guardLink
	open   map[dispatch.JobID]*jobs.Record
	timer  *time.Timer
	due    time.Time // when timer fires; zero if stopped
	closed bool
}

func newLane(service string, home identity.Incarnation, core dispatch.Machine, finish func(time.Time, *jobs.Record, *dispatch.Outcome)) *lane {
	l := &lane{
		service: service,
		home:    home,
		finish:  finish,
		core:    core,
		links:   make(map[identity.Incarnation]*guardLink),
		open:    make(map[dispatch.JobID]*jobs.Record),
	}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	l.timer.Stop()
	return l
}

// do runs f on the machine and carries out what it asks for.
func (l *lane) do(f func(now time.Time, m dispatch.Machine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	now := time.Now()
	f(now, l.core)
	l.carryOut(now)
	l.arm(now)
}

func (l *lane) tick() {
	l.do(func(now time.Time, m dispatch.Machine) {
		l.due = time.Time{}
		m.Tick(now)
	})
}

// arm sets the timer for the machine's next tick.
func (l *lane) arm(now time.Time) {
	next := l.core.NextTick()
	if next.Equal(l.due) {
		return
	}
	l.due = next
	if next.IsZero() {
		l.timer.Stop()
		return
	}
	l.timer.Reset(max(next.Sub(now), 0))
}

func (l *lane) carryOut(now time.Time) {
	for _, a := range l.core.Actions() {
		if a.Finish != nil {
			l.settle(now, a.Finish)
			continue
		}
		// A guard whose link is gone gets nothing. The machine learns of the
		// loss by GuardDown and sends again when the same guard returns.
		if a.Start != nil {
			a.Start.Home = l.home
		}
		if g := l.links[a.Guard]; g != nil {
			_ = g.link.Send(&wire.Frame{Start: a.Start, Cancel: a.Cancel, Reserve: a.Reserve})
		}
	}
}

func (l *lane) settle(now time.Time, o *dispatch.Outcome) {
	rec := l.open[o.ID]
	delete(l.open, o.ID)
	if rec != nil {
		l.finish(now, rec, o)
	}
}

// submit admits a job. After an error the job is not in the lane and the
// caller finishes its record.
func (l *lane) submit(s *dispatch.Spec, rec *jobs.Record) (err *errkind.Error) {
	l.do(func(now time.Time, m dispatch.Machine) {
		l.open[s.ID] = rec
		if err = m.Submit(now, s); err != nil {
			delete(l.open, s.ID)
		}
	})
	return err
}

func (l *lane) cancel(id dispatch.JobID) {
	l.do(func(now time.Time, m dispatch.Machine) { m.Cancel(now, id) })
}

// up puts a guard's new link in place of an older one of the same incarnation.
// A link that is in place already stays.
func (l *lane) up(g *guardLink) {
	l.do(func(now time.Time, m dispatch.Machine) {
		old := l.links[g.hello.Incarnation]
		if old == g {
			return
		}
		if old != nil {
			old.link.Close("superseded")
			m.GuardDown(now, g.hello.Incarnation)
		}
		l.links[g.hello.Incarnation] = g
		m.GuardUp(now, g.hello)
	})
}

// down notes the end of a link, unless a newer one has replaced it: the late
// end of the old link must not take the new one out of service.
func (l *lane) down(g *guardLink) {
	l.do(func(now time.Time, m dispatch.Machine) {
		if l.links[g.hello.Incarnation] != g {
			return
		}
		delete(l.links, g.hello.Incarnation)
		m.GuardDown(now, g.hello.Incarnation)
	})
}

// receive hands a guard's message to the machine, unless the link has been
// superseded.
func (l *lane) receive(g *guardLink, f *wire.Frame) {
	l.do(func(now time.Time, m dispatch.Machine) {
		id := g.hello.Incarnation
		if l.links[id] != g {
			g.note(f)
			return
		}
		switch {
		case f.Result != nil:
			m.Result(now, id, f.Result)
		case f.Load != nil:
			m.Load(now, id, f.Load)
		case f.Offer != nil:
			m.Offer(now, id, f.Offer)
		case f.Goodbye != nil:
			m.GuardLeaving(now, id)
		}
	})
}

// note keeps what a guard says of itself before its link is put to use. The
// Hello may be older than its upstream's first health check; if the report that
// follows were lost, the guard would look unhealthy until its next change, and
// every request would be refused for want of workers. The caller
// holds the lane's lock, or greeted.mu while the link has no lane yet.
func (g *guardLink) note(f *wire.Frame) {
	load := &g.hello.Load
	switch {
	case f.Load != nil && f.Load.Seq > load.Seq:
		*load = *f.Load
	case f.Goodbye != nil:
		load.Draining = true
	}
}

func (l *lane) configure(p dispatch.Policy) {
	l.do(func(now time.Time, m dispatch.Machine) { m.Configure(now, p) })
}

// jobs tells how many jobs are unfinished.
func (l *lane) jobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Jobs()
}

// guards lists the hellos of the linked guards.
func (l *lane) guards() []*wire.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	return hellos(l.links)
}

func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.timer.Stop()
}
