package batchnode

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// takeDrains obeys the newest drains that an entry tells of, and relays them to entries that
// know older ones: the store may turn these away.
func (g *Guard) takeDrains(from *guardLink, d *wire.Drains) {
	from.drains = *d
	switch known := g.drains; {
	case d.Revision > known.Revision:
		g.drains = *d
		if known.Revision > 0 && d.Same(&known) {
			return
		}
		g.drained = since(g.drained, d.Domains, g.opt.Clock())
		g.opt.Metrics.Set(telemetry.DomainsDrained, int64(len(d.Domains)))
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.SetDrains(now, d) })
		time.AfterFunc(relayAfter+rand.N(askWithin), g.relayDrains)
	default:
		g.sendDrains(from)
	}
}

// relayDrains tells the entries that know older drains.
func (g *Guard) relayDrains() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		g.sendDrains(l)
	}
}

func (g *Guard) sendDrains(l *guardLink) {
	if l.drains.Revision >= g.drains.Revision || l.drains.Revision > 0 && l.drains.Same(&g.drains) {
		return
	}
	l.drains = g.drains
	_ = l.link.Send(&wire.Frame{Drains: &l.drains}) // see carryOut
}

// noteDrained writes when a drained worker has ended its last run.
func (g *Guard) noteDrained() {
	emptied := g.machine.Drained() && g.machine.Running() == 0
	if emptied && !g.emptied {
		w := g.machine.Worker()
		g.opt.Log.Info("drained worker runs nothing any more", "worker", w.ID, "domain", w.Domain)
	}
	g.emptied = emptied
}
