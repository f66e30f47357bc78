package batchnode

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// handleDrains applies the drains of an entry if they are of a newer revision, and relays them
// to entries with older ones, which may be unable to read the store.
func (g *Guard) handleDrains(from *guardLink, d *wire.Drains) {
	from.drains = *d
	switch current := g.drains; {
	case d.Revision > current.Revision:
		g.drains = *d
		if current.Revision > 0 && d.SameDomains(&current) {
			return
		}
		g.drainedSince = knownSince(g.drainedSince, d.Domains, g.opt.Clock())
		g.opt.Metrics.Set(telemetry.DomainsDrained, int64(len(d.Domains)))
		g.stepLocked(func(now time.Duration, m *runs.Machine) { m.SetDrains(now, d) })
		time.AfterFunc(relayDelay+rand.N(maxRequestJitter), g.relayDrains)
	default:
		g.sendDrains(from)
	}
}

// relayDrains sends the drains to all entries that have older ones.
func (g *Guard) relayDrains() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		g.sendDrains(l)
	}
}

// sendDrains sends the drains to an entry, unless it has the same ones or newer ones.
func (g *Guard) sendDrains(l *guardLink) {
	if l.drains.Revision >= g.drains.Revision || l.drains.Revision > 0 && l.drains.SameDomains(&g.drains) {
		return
	}
	l.drains = g.drains
	_ = l.link.Send(&wire.Frame{Drains: &l.drains}) // see execute
}

// updateDrainComplete updates isDrainComplete, and logs when the last run of a drained worker
// has ended.
func (g *Guard) updateDrainComplete() {
	isDrainComplete := g.machine.IsDomainDrained() && g.machine.Running() == 0
	if isDrainComplete && !g.isDrainComplete {
		w := g.machine.Worker()
		g.opt.Log.Info("drained worker has no runs left", "worker", w.ID, "domain", w.Domain)
	}
	g.isDrainComplete = isDrainComplete
}
