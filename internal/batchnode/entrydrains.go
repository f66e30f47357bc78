package batchnode

import (
	"slices"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// entryDrains holds the drains of failure domains that operators requested, as known to an
// entry.
type entryDrains struct {
	known      wire.Drains              // Revision is 0 until the first drains are received
	knownSince map[string]time.Duration // by failure domain: when this entry first received its drain
	// pendingConfig is a configuration that arrived before the first drains. If the entry
	// activated it, it might send tasks to a drained failure domain.
	pendingConfig wire.DesiredConfig
}

// OfferDrains activates the drained failure domains if they are of a newer revision of the
// store, and sends them to the guards.
func (e *Entry) OfferDrains(d *wire.Drains) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	before := e.drains.known
	if d.Revision <= before.Revision {
		return
	}
	e.drains.known = *d
	if before.Revision == 0 {
		e.applyPendingConfig()
	} else if d.SameDomains(&before) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordDrainChanges(&before, d)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.SetDrains(now, d) })
	for id := range e.links {
		e.sendToGuard(id, &wire.Frame{Drains: d}) // guards of earlier releases ignore this frame
	}
}

// applyPendingConfig activates the configuration that arrived before the drains. configMu must
// be held.
func (e *Entry) applyPendingConfig() {
	pending := e.drains.pendingConfig
	e.drains.pendingConfig = wire.DesiredConfig{}
	if err := e.offerConfigLocked(pending.Version, pending.Document); err != nil {
		e.opt.Log.Error("configuration rejected", "err", err)
	}
}

// recordDrainChanges logs new and ended drains, and updates knownSince and the metric. configMu
// and mu must be held.
func (e *Entry) recordDrainChanges(before, after *wire.Drains) {
	for _, domain := range after.Domains {
		if !before.Contains(domain) {
			e.opt.Log.Info("failure domain is drained", "domain", domain, "revision", after.Revision, "workers", e.machine.WorkersInDomain(domain))
		}
	}
	for _, domain := range before.Domains {
		if !after.Contains(domain) {
			e.opt.Log.Info("failure domain is taken back", "domain", domain, "revision", after.Revision, "after", e.opt.Clock()-e.drains.knownSince[domain])
		}
	}
	e.drains.knownSince = knownSince(e.drains.knownSince, after.Domains, e.opt.Clock())
	e.opt.Metrics.Set(telemetry.DomainsDrained, int64(len(after.Domains)))
}

// handleGuardDrains offers the drains of a guard to this entry, and sends newer ones back if
// the guard has an older revision with other domains, or none.
func (e *Entry) handleGuardDrains(link wire.Link, d *wire.Drains) {
	e.OfferDrains(d)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if known := e.drains.known; d.Revision < known.Revision && (d.Revision == 0 || !d.SameDomains(&known)) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendDirect(link, &wire.Frame{Drains: &known})
	}
}

// maxUnknownOrders is the maximum number of keys of unknown orders that are stored and logged;
// further ones are only counted.
const maxUnknownOrders = 16

// NoteUnknownOrder counts and logs an order of the operators that this version does not support.
func (e *Entry) NoteUnknownOrder(key string) {
	e.opt.Metrics.Inc(telemetry.UnknownOrders)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if slices.Contains(e.unknownOrders, key) || len(e.unknownOrders) == maxUnknownOrders {
		return
	}
	e.unknownOrders = append(e.unknownOrders, key)
	e.opt.Log.Warn("operator order is not supported by this version", "key", key)
}
