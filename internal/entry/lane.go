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

// dispatcher manages one service at this entry: its dispatch machine, the links to
// its guards, and the records of its open jobs. Services share no lock, so that
// the load of one member does not delay the decisions for another.
type dispatcher struct {
	service  string
	entryID  identity.Incarnation // this entry, set as Home in every Start
	onFinish func(now time.Time, rec *jobs.Record, o *dispatch.Outcome)

	// mu guards all fields below. It is held while messages are queued on links,
	// which never blocks, so that each guard receives them in the order of the
	// decisions. Lock order: dispatcher.mu, then the registry's.
	mu       sync.Mutex
	machine  dispatch.Machine
	links    map[identity.Incarnation]*guardLink
	openJobs map[dispatch.JobID]*jobs.Record
	timer    *time.Timer
	nextTick time.Time // when timer fires; zero if stopped
	closed   bool
}

func newDispatcher(service string, entryID identity.Incarnation, machine dispatch.Machine, onFinish func(time.Time, *jobs.Record, *dispatch.Outcome)) *dispatcher {
	d := &dispatcher{
		service:  service,
		entryID:  entryID,
		onFinish: onFinish,
		machine:  machine,
		links:    make(map[identity.Incarnation]*guardLink),
		openJobs: make(map[dispatch.JobID]*jobs.Record),
	}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.timer.Stop()
	return d
}

// update runs f on the machine, executes the resulting actions and resets the
// timer.
func (d *dispatcher) update(f func(now time.Time, m dispatch.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	now := time.Now()
	f(now, d.machine)
	d.executeActions(now)
	d.resetTimer(now)
}

func (d *dispatcher) tick() {
	d.update(func(now time.Time, m dispatch.Machine) {
		d.nextTick = time.Time{}
		m.Tick(now)
	})
}

// resetTimer sets the timer for the machine's next tick.
func (d *dispatcher) resetTimer(now time.Time) {
	next := d.machine.NextTick()
	if next.Equal(d.nextTick) {
		return
	}
	d.nextTick = next
	if next.IsZero() {
		d.timer.Stop()
		return
	}
	d.timer.Reset(max(next.Sub(now), 0))
}

func (d *dispatcher) executeActions(now time.Time) {
	for _, a := range d.machine.Actions() {
		if a.Finish != nil {
			d.finishJob(now, a.Finish)
			continue
		}
		// Nothing is sent to a guard without a link. The machine is notified of the
		// loss by GuardDown, and sends the start again when the same guard
		// reconnects.
		if a.Start != nil {
			a.Start.Home = d.entryID
		}
		if g := d.links[a.Guard]; g != nil {
			_ = g.link.Send(&wire.Frame{Start: a.Start, Cancel: a.Cancel, Reserve: a.Reserve})
		}
	}
}

func (d *dispatcher) finishJob(now time.Time, o *dispatch.Outcome) {
	rec := d.openJobs[o.ID]
	delete(d.openJobs, o.ID)
	if rec != nil {
		d.onFinish(now, rec, o)
	}
}

// submit admits a job. If it returns an error, the job was not added and the caller
// must finish its record.
func (d *dispatcher) submit(s *dispatch.Spec, rec *jobs.Record) (err *errkind.Error) {
	d.update(func(now time.Time, m dispatch.Machine) {
		d.openJobs[s.ID] = rec
		if err = m.Submit(now, s); err != nil {
			delete(d.openJobs, s.ID)
		}
	})
	return err
}

func (d *dispatcher) cancel(id dispatch.JobID) {
	d.update(func(now time.Time, m dispatch.Machine) { m.Cancel(now, id) })
}

// linkUp adds a guard's new link, replacing an older one of the same incarnation.
// It does nothing if the link was added before.
func (d *dispatcher) linkUp(g *guardLink) {
	d.update(func(now time.Time, m dispatch.Machine) {
		old := d.links[g.hello.Incarnation]
		if old == g {
			return
		}
		if old != nil {
			old.link.Close("superseded")
			m.GuardDisconnected(now, g.hello.Incarnation)
		}
		d.links[g.hello.Incarnation] = g
		m.GuardConnected(now, g.hello)
	})
}

// linkDown removes a closed link, unless a newer one has replaced it: when the old
// link's end is noticed late, the new link must stay in use.
func (d *dispatcher) linkDown(g *guardLink) {
	d.update(func(now time.Time, m dispatch.Machine) {
		if d.links[g.hello.Incarnation] != g {
			return
		}
		delete(d.links, g.hello.Incarnation)
		m.GuardDisconnected(now, g.hello.Incarnation)
	})
}

// handleFrame passes a guard's message to the machine, unless the link has been
// replaced.
func (d *dispatcher) handleFrame(g *guardLink, f *wire.Frame) {
	d.update(func(now time.Time, m dispatch.Machine) {
		id := g.hello.Incarnation
		if d.links[id] != g {
			g.updateHello(f)
			return
		}
		switch {
		case f.Result != nil:
			m.Result(now, id, f.Result)
		case f.Load != nil:
			m.Load(now, id, f.Load)
		case f.Offer != nil:
			m.Offer(now, id, f.Offer)
		case f.StopNotice != nil:
			m.GuardDraining(now, id)
		}
	})
}

// updateHello applies a load report or a stop notice that arrives before the link is
// in use. The Hello may have been sent before the upstream's first health check; if
// the report that follows were lost, the guard would be treated as unhealthy until
// its next report, and every request would be refused because no workers are
// available. The caller holds the dispatcher's lock, or openLinkSet.mu while the
// link has no dispatcher yet.
func (g *guardLink) updateHello(f *wire.Frame) {
	load := &g.hello.Load
	switch {
	case f.Load != nil && f.Load.Seq > load.Seq:
		*load = *f.Load
	case f.StopNotice != nil:
		load.Draining = true
	}
}

func (d *dispatcher) configure(p dispatch.Policy) {
	d.update(func(now time.Time, m dispatch.Machine) { m.Configure(now, p) })
}

// jobCount returns the number of unfinished jobs.
func (d *dispatcher) jobCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Jobs()
}

// guardHellos returns the Hello messages of the linked guards.
func (d *dispatcher) guardHellos() []*wire.Hello {
	d.mu.Lock()
	defer d.mu.Unlock()
	return collectHellos(d.links)
}

func (d *dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.timer.Stop()
}
