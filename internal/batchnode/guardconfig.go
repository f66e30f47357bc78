package batchnode

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Timing of the configuration's way over guards.
const (
	// askWithin is the time within which guards ask for a new configuration, each at a
	// moment of its own. All of them at once, at the first entry that has it, fill its
	// link for as long as hundreds of copies take, and what runs for it is given up.
	askWithin = 200 * time.Millisecond
	// askAgain is when another entry is asked if one has not answered; the pause doubles up
	// to askAgainMost.
	askAgain     = 500 * time.Millisecond
	askAgainMost = 4 * time.Second
	// relayAfter is how long entries have to get a configuration by themselves.
	relayAfter = 300 * time.Millisecond
)

// takeConfig keeps the newest configuration and relays it to entries that have
// an older one: they may be cut off from the store.
func (g *Guard) takeConfig(from *guardLink, d *wire.Desired) {
	from.version = max(from.version, d.Version)
	if d.Size > 0 {
		d = from.copy.take(g.opt.Clock(), d)
		if d == nil {
			return
		}
	}
	switch {
	case d.Ask:
		g.sendConfig(from, d.Version)
	case d.Version <= g.version:
	case len(d.Document) == 0:
		g.learn(d.Version)
	default:
		g.version, g.document = d.Version, d.Document
		g.opt.Metrics.Set(telemetry.ConfigRevision, d.Version)
		time.AfterFunc(relayAfter+rand.N(askWithin), g.relay)
	}
}

// sendConfig sends the configuration to an entry that has an older one.
func (g *Guard) sendConfig(to *guardLink, has int64) {
	if g.version > has {
		_ = to.link.Send(&wire.Frame{Desired: &wire.Desired{Version: g.version, Document: g.document}}) // see carryOut
	}
}

// learn notes that some entry has a newer configuration.
func (g *Guard) learn(version int64) {
	g.newest = max(g.newest, version)
	if g.newest > g.version && !g.asking {
		g.asking = true
		time.AfterFunc(rand.N(askWithin), func() { g.ask(askAgain) })
	}
}

// ask asks one of the entries that have a newer configuration for it, until it is there. An
// entry does not answer while it sends copies to others; again is the pause until another one
// is asked.
func (g *Guard) ask(again time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	have, arriving := g.newerAt()
	g.asking = len(have) > 0
	switch {
	case !g.asking:
		return
	case arriving:
		again = askAgain
	default:
		l := have[rand.IntN(len(have))]
		_ = l.link.Send(&wire.Frame{Desired: &wire.Desired{Version: g.version}}) // see carryOut
	}
	time.AfterFunc(spread(again), func() { g.ask(min(2*again, askAgainMost)) })
}

// newerAt returns the links to entries that have a newer configuration, and whether a copy is
// arriving.
func (g *Guard) newerAt() (have []*guardLink, arriving bool) {
	now := g.opt.Clock()
	for _, l := range g.links {
		if l.version > g.version {
			have = append(have, l)
		}
		arriving = arriving || l.copy.arriving(now)
	}
	return have, arriving
}

func (g *Guard) relay() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		g.balance(l)
	}
}

// balance brings the older of guard and entry to the configuration of the newer. An entry
// is told of it and asks one of its guards: sent by each of them, a configuration would
// fill its link.
func (g *Guard) balance(l *guardLink) {
	switch {
	case g.version < l.version:
		g.learn(l.version)
	case g.version == l.version || policy.Linked().Has(policy.ConfigRelay):
	case l.asks:
		_ = l.link.Send(&wire.Frame{Desired: &wire.Desired{Version: g.version}}) // see carryOut
	default:
		g.sendConfig(l, l.version)
		l.version = g.version
	}
}
