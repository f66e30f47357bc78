package batchnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/pause"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Timing of links.
const (
	// dialTimeout bounds a dial with its handshake: an entry that has just started
	// meets all its guards at once.
	dialTimeout = 300 * time.Millisecond
	// connectQuick bounds the TCP connection of all tries but each patientTry-th. An
	// address that is dark does not answer at all: a guard that waited for dialTimeout
	// each time would notice late that its entry has come back, which refuses its callers
	// meanwhile. A round trip between regions is shorter.
	connectQuick = 60 * time.Millisecond
	patientTry   = 8
	// redialMin is the first pause between dials. It doubles up to redialSoon or redialMax.
	redialMin = 30 * time.Millisecond
	// redialSoon is the longest pause for an address that was lost less than soon ago:
	// an entry is back from a restart within it.
	redialSoon = 100 * time.Millisecond
	soon       = 20 * time.Second
	redialMax  = 2 * time.Second
	// forgetAfter is how long an address is dialed without success before it is
	// given up. It outlasts an entry's restart and a long cut; the store and the
	// other entries tell the address again if it lives.
	forgetAfter = time.Minute
	// lookupEvery is the pause between two looks at the store of a guard without
	// a link, and lookupSoon the first one.
	lookupEvery = 2 * time.Second
	lookupSoon  = 200 * time.Millisecond
)

// guardLink is a link to one entry.
type guardLink struct {
	link    wire.Link
	entry   identity.Incarnation
	version int64 // of the configuration that the entry has
	asks    bool  // the entry asks for a newer configuration when it is told of one
	copy    inCopy
	drains  wire.Drains // that the entry has told of, or was told
}

// AddEntries begins to link to addresses that are not linked to yet.
func (g *Guard) AddEntries(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if g.ctx == nil || g.ctx.Err() != nil || g.dialing[a] {
			continue
		}
		g.dialing[a] = true
		g.work.Go(func() { g.keepLinked(g.ctx, a) })
	}
}

// keepLinked holds a link to one address until ctx ends or the address is given
// up.
func (g *Guard) keepLinked(ctx context.Context, address string) {
	defer g.forget(address)
	backoff, reached := redialMin, time.Now()
	for try := 1; ctx.Err() == nil; try++ {
		l, err := g.connect(ctx, address, connectTime(try))
		if err == nil {
			g.serve(ctx, l)
			backoff, reached, try = redialMin, time.Now(), 0
		} else if time.Since(reached) > forgetAfter {
			g.opt.Log.Info("address of an entry given up", "address", address, "err", err)
			g.work.Go(func() { g.findAgain(ctx) })
			return
		}
		pause.For(ctx, spread(backoff))
		backoff = min(2*backoff, redialLimit(time.Since(reached)))
	}
}

// connectTime is how long a try may take until the TCP connection is there.
func connectTime(try int) time.Duration {
	if try%patientTry == 0 {
		return dialTimeout // the address may be far away
	}
	return connectQuick
}

func redialLimit(lost time.Duration) time.Duration {
	if lost < soon {
		return redialSoon
	}
	return redialMax
}

// findAgain asks the store where entries are after one was given up: it may only have been
// cut off from here, and entries tell of others once.
func (g *Guard) findAgain(ctx context.Context) {
	pause.For(ctx, spread(lookupEvery))
	found, err := g.opt.Lookup(ctx)
	if err != nil {
		g.opt.Log.Warn("entries not found in the store", "err", err)
	}
	g.AddEntries(found)
}

func (g *Guard) forget(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.dialing, address)
}

func (g *Guard) connect(ctx context.Context, address string, within time.Duration) (*guardLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := g.opt.Dial(wire.ConnectWithin(ctx, within), address)
	if err != nil {
		return nil, fmt.Errorf("dial entry %s: %w", address, err)
	}
	l, err := g.greet(ctx, link)
	if err != nil {
		link.Close("no welcome")
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	return l, nil
}

// greet exchanges hello and welcome. The hello is sent under the lock, so that
// what the machine sends afterwards is newer.
func (g *Guard) greet(ctx context.Context, link wire.Link) (*guardLink, error) {
	g.mu.Lock()
	hello := &wire.RunHello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.id,
		Worker: g.machine.Worker(), Load: g.machine.Load(g.opt.Clock(), ""),
		Revision: g.version, Software: telemetry.Version, Texts: g.opt.TextsAddress,
	}
	err := link.Send(&wire.Frame{RunHello: hello})
	g.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("wait for welcome: %w", err)
	}
	if f.RunWelcome == nil || f.RunWelcome.Incarnation == "" {
		return nil, errors.New("first frame is no welcome")
	}
	l := &guardLink{link: link, entry: f.RunWelcome.Incarnation, version: f.RunWelcome.Revision, asks: f.RunWelcome.Version >= wire.AsksSince}
	g.open(l)
	g.AddEntries(f.RunWelcome.Entries)
	return l, nil
}

// open makes a link the current one of its entry, and tells the entry what has
// changed since the hello.
func (g *Guard) open(l *guardLink) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.links[l.entry]; old != nil {
		old.link.Close("superseded")
	}
	g.links[l.entry] = l
	g.opt.Metrics.Inc(telemetry.LinksOpened)
	g.opt.Log.Info("linked", "entry", l.entry)
	g.stepLocked(func(now time.Duration, m *runs.Machine) {
		m.LinkUp(now, l.entry)
		w := m.Worker()
		_ = l.link.Send(&wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, l.entry), Worker: &w}}) // see carryOut
	})
	g.balance(l)
}

// serve reads a link until it ends.
func (g *Guard) serve(ctx context.Context, l *guardLink) {
	for {
		f, err := l.link.Recv(ctx)
		if err != nil {
			break
		}
		g.receive(l, f)
	}
	l.link.Close("done")
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[l.entry] != l {
		return
	}
	delete(g.links, l.entry)
	g.opt.Metrics.Inc(telemetry.LinksLost)
	g.opt.Log.Info("link ended", "entry", l.entry)
	g.stepLocked(func(now time.Duration, m *runs.Machine) { m.LinkDown(now, l.entry) })
}

func (g *Guard) receive(l *guardLink, f *wire.Frame) {
	if f.Entries != nil {
		g.AddEntries(f.Entries.Addresses)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[l.entry] != l {
		return // a newer link has taken its place
	}
	switch {
	case f.RunTasks != nil:
		g.opt.Routine.Info("tasks taken", "job", f.RunTasks.Job, "request", f.RunTasks.Request, "entry", l.entry, "tasks", len(f.RunTasks.Tasks),
			"age", g.opt.Clock()-time.Duration(f.RunTasks.ClockMs)*time.Millisecond, "left", time.Duration(f.RunTasks.LeftMs)*time.Millisecond)
		if f.RunTasks.Keep && g.opt.Texts != nil {
			g.opt.Texts.keep(textKey{entry: l.entry, job: f.RunTasks.Job}, f.RunTasks.Text)
		}
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.Run(now, l.entry, f.RunTasks) })
	case f.StopRuns != nil:
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.StopJob(now, l.entry, f.StopRuns) })
	case f.EntryBeat != nil:
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.Beat(now, l.entry, f.EntryBeat) })
	case f.Desired != nil:
		g.takeConfig(l, f.Desired)
	case f.Drains != nil:
		g.takeDrains(l, f.Drains)
	case f.JobQuery != nil:
		g.relayQuery(l, f.JobQuery)
	case f.JobReport != nil:
		g.relayReport(f.JobReport)
	default:
		g.opt.Metrics.Inc(telemetry.FramesUnknown)
	}
}

// lookup asks the store for entries while there is no link, until ctx ends. It begins at
// once: the entries that a guard is set up with are a few of many, and may be the last to
// come back when all VMs had lost their power. Until then the guard would stand idle, and
// the entries that are back have no worker.
func (g *Guard) lookup(ctx context.Context) {
	next := lookupSoon
	for ctx.Err() == nil {
		if g.linked() == 0 {
			found, err := g.opt.Lookup(ctx)
			if err != nil {
				g.opt.Log.Warn("entries not found in the store", "err", err)
			}
			g.AddEntries(found)
		}
		pause.For(ctx, spread(next))
		next = lookupEvery
	}
}

func (g *Guard) linked() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}
