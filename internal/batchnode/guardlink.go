package batchnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/pause"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Timing of links.
const (
	// minHandshakeTimeout is the first timeout for a dial including its handshake. It doubles up
	// to maxHandshakeTimeout with each handshake that an entry has not completed in time: an entry
	// that receives the dials of all its guards at once would spend its processor time on
	// handshakes that were given up.
	minHandshakeTimeout = 600 * time.Millisecond
	maxHandshakeTimeout = 5 * time.Second
	// maxConcurrentDials is the maximum number of addresses that a guard dials at once, and
	// dialSlotTimeout how long one of them may keep the others waiting. The dials of all guards
	// then spread over all entries, and an entry's share does not grow with the fleet.
	maxConcurrentDials = 16
	dialSlotTimeout    = 300 * time.Millisecond
	// quickConnectTimeout is the timeout for the TCP connection, except that every
	// longConnectEvery-th attempt may take longConnectTimeout. A VM that is down does not answer
	// at all: a guard that waited for longConnectTimeout each time would detect late that its
	// entry is back, and until then the entry would refuse its callers. A round trip between
	// regions is shorter than quickConnectTimeout.
	quickConnectTimeout = 60 * time.Millisecond
	longConnectTimeout  = 300 * time.Millisecond
	longConnectEvery    = 8
	// minRedialDelay is the first delay between dials. It doubles up to maxRecentRedialDelay
	// or maxRedialDelay.
	minRedialDelay = 30 * time.Millisecond
	// maxRecentRedialDelay is the maximum delay for an address whose link was lost less than
	// recentLossAge ago: an entry completes a restart within that time.
	maxRecentRedialDelay = 100 * time.Millisecond
	recentLossAge        = 20 * time.Second
	maxRedialDelay       = 2 * time.Second
	// dialGiveUpTimeout is how long an address is dialed without success before the guard
	// stops dialing it. It is longer than the restart of an entry and a long network
	// partition. If the entry is alive, the guard receives its address again from the store or
	// from another entry.
	dialGiveUpTimeout = time.Minute
)

// guardLink is a link to one entry.
type guardLink struct {
	link           wire.Link
	address        string
	entry          identity.Incarnation
	configVersion  int64 // of the entry's configuration
	requestsConfig bool  // the entry requests a newer configuration when its version is announced
	copy           incomingCopy
	drains         wire.Drains // last ones received from the entry or sent to it
	linkAll        bool        // the entry asks for links to all entries
}

// maintainLink keeps a link to one address open until ctx ends, or until the address could not
// be reached for dialGiveUpTimeout; the guard then forgets it.
func (g *Guard) maintainLink(ctx context.Context, address string) {
	backoff, handshakeTimeout, lastLinkedAt := minRedialDelay, minHandshakeTimeout, time.Now()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		l, timedOut, err := g.connectInTurn(ctx, address, connectTimeoutFor(attempt), handshakeTimeout)
		if timedOut {
			handshakeTimeout = min(2*handshakeTimeout, maxHandshakeTimeout)
		} else {
			handshakeTimeout = minHandshakeTimeout
		}
		if err == nil {
			g.serveLink(ctx, l)
			backoff, lastLinkedAt, attempt = minRedialDelay, time.Now(), 0
		} else if time.Since(lastLinkedAt) > dialGiveUpTimeout {
			g.opt.Log.Info("stopped dialing entry", "address", address, "err", err)
			g.forgetEntry(address)
			return
		}
		pause.For(ctx, pause.Jitter(backoff))
		backoff = min(2*backoff, redialDelayLimit(time.Since(lastLinkedAt)))
	}
}

// connectTimeoutFor returns the timeout for the TCP connection of the given dial attempt.
func connectTimeoutFor(attempt int) time.Duration {
	if attempt%longConnectEvery == 0 {
		return longConnectTimeout // in case a round trip exceeds quickConnectTimeout
	}
	return quickConnectTimeout
}

// redialDelayLimit returns the maximum delay between dials of an address that was last linked
// sinceLost ago.
func redialDelayLimit(sinceLost time.Duration) time.Duration {
	if sinceLost < recentLossAge {
		return maxRecentRedialDelay
	}
	return maxRedialDelay
}

// connectInTurn connects to an entry once a dial slot is free. It occupies the slot for at most
// dialSlotTimeout, so that unresponsive entries do not keep the guard from the others. timedOut
// reports whether the entry has accepted the connection and not completed the handshake in time.
func (g *Guard) connectInTurn(ctx context.Context, address string, connectTimeout, handshakeTimeout time.Duration) (l *guardLink, timedOut bool, err error) {
	select {
	case g.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	release := sync.OnceFunc(func() { <-g.dialSlots })
	defer release()
	defer time.AfterFunc(dialSlotTimeout, release).Stop()
	startedAt := time.Now()
	l, err = g.connect(ctx, address, connectTimeout, handshakeTimeout)
	return l, err != nil && time.Since(startedAt) >= handshakeTimeout, err
}

// connect dials an entry and performs the handshake.
func (g *Guard) connect(ctx context.Context, address string, connectTimeout, handshakeTimeout time.Duration) (*guardLink, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	link, err := g.opt.Dial(wire.WithConnectTimeout(ctx, connectTimeout), address)
	if err != nil {
		return nil, fmt.Errorf("dial entry %s: %w", address, err)
	}
	l, err := g.handshake(ctx, address, link)
	if err != nil {
		link.Close("no welcome")
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	return l, nil
}

// handshake exchanges hello and welcome, and registers the link. The hello is sent under the
// lock, so that all frames that the machine sends later contain newer state.
func (g *Guard) handshake(ctx context.Context, address string, link wire.Link) (*guardLink, error) {
	g.mu.Lock()
	hello := &wire.RunHello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.id,
		Worker: g.machine.Worker(), Load: g.machine.Load(g.opt.Clock(), ""),
		Revision: g.configVersion, Software: telemetry.Version, Texts: g.opt.TextsAddress,
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
		return nil, errors.New("first frame is not a welcome")
	}
	l := &guardLink{
		link: link, address: address, entry: f.RunWelcome.Incarnation, configVersion: f.RunWelcome.Revision,
		requestsConfig: f.RunWelcome.Version >= wire.ConfigRequestVersion, linkAll: f.RunWelcome.LinkAll,
	}
	g.addLink(l)
	g.AddEntries(f.RunWelcome.Entries)
	return l, nil
}

// addLink registers a link as the current one of its entry, closes the previous one, and sends
// the entry the current state, which may have changed since the hello.
func (g *Guard) addLink(l *guardLink) {
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
		_ = l.link.Send(&wire.Frame{GuardHeartbeat: &wire.GuardHeartbeat{Load: m.Load(now, l.entry), Worker: &w}}) // see execute
		m.SetRetiring(now, l.entry, g.isRetiring(l.address))
		if ids := g.cancelledJobs.IDs(now); len(ids) > 0 {
			_ = l.link.Send(&wire.Frame{CancelledJobs: &wire.CancelledJobs{Jobs: ids}}) // see execute
		}
	})
	g.syncConfig(l)
}

// serveLink handles the frames of a link until it is closed.
func (g *Guard) serveLink(ctx context.Context, l *guardLink) {
	for {
		f, err := l.link.Recv(ctx)
		if err != nil {
			break
		}
		g.handleFrame(l, f)
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

func (g *Guard) handleFrame(l *guardLink, f *wire.Frame) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[l.entry] != l {
		return // a newer link has replaced this one
	}
	switch {
	case f.Entries != nil:
		l.linkAll = f.Entries.LinkAll
		g.addEntriesLocked(f.Entries.Addresses)
		if f.Entries.Ask {
			_ = l.link.Send(&wire.Frame{Entries: &wire.Entries{Addresses: g.known.addresses}}) // see execute
		}
	case f.RunTasks != nil:
		g.opt.RoutineLog.Info("tasks taken", "job", f.RunTasks.Job, "request", f.RunTasks.Request, "entry", l.entry, "tasks", len(f.RunTasks.Tasks),
			"age", g.opt.Clock()-time.Duration(f.RunTasks.ClockMs)*time.Millisecond, "left", time.Duration(f.RunTasks.LeftMs)*time.Millisecond)
		if f.RunTasks.Keep && g.opt.Texts != nil {
			g.opt.Texts.add(textKey{entry: l.entry, job: f.RunTasks.Job}, f.RunTasks.Text)
		}
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.Run(now, l.entry, f.RunTasks) })
	case f.StopRuns != nil:
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.StopJob(now, l.entry, f.StopRuns) })
	case f.EntryHeartbeat != nil:
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.HandleBeat(now, l.entry, f.EntryHeartbeat) })
	case f.DesiredConfig != nil:
		g.handleConfig(l, f.DesiredConfig)
	case f.Drains != nil:
		g.handleDrains(l, f.Drains)
	case f.JobQuery != nil:
		g.relayQuery(l, f.JobQuery)
	case f.JobReport != nil:
		g.relayReport(f.JobReport)
	case f.CrashRelay != nil:
		g.relayCrash(f.CrashRelay)
	default:
		g.opt.Metrics.Inc(telemetry.FramesUnknown)
	}
}

func (g *Guard) linkCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links)
}
