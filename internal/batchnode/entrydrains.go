package batchnode

import (
	"slices"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// entryDrains is what an entry knows of the operators' drains.
type entryDrains struct {
	known wire.Drains              // Revision is 0 before the first word of them
	since map[string]time.Duration // when this entry learned of each
	// pending is a configuration that came before any word of drains. An entry that began
	// to work by it might send tasks to a drained failure domain.
	pending wire.Desired
}

// OfferDrains puts the drained failure domains in force as they stood at a newer revision of
// the store, and tells the guards.
func (e *Entry) OfferDrains(d *wire.Drains) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	before := e.drains.known
	if d.Revision <= before.Revision {
		return
	}
	e.drains.known = *d
	if before.Revision == 0 {
		e.applyPending()
	} else if d.Same(&before) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteDrains(&before, d)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.SetDrains(now, d) })
	for id := range e.links {
		e.post(id, &wire.Frame{Drains: d}) // a guard of an earlier release passes it over
	}
}

// applyPending puts the configuration in force that came before the drains. configMu is held.
func (e *Entry) applyPending() {
	p := e.drains.pending
	e.drains.pending = wire.Desired{}
	if err := e.offerLocked(p.Version, p.Document); err != nil {
		e.opt.Log.Error("configuration refused", "err", err)
	}
}

// noteDrains writes what has changed. configMu and mu are held.
func (e *Entry) noteDrains(before, now *wire.Drains) {
	for _, domain := range now.Domains {
		if !before.Has(domain) {
			e.opt.Log.Info("failure domain is drained", "domain", domain, "revision", now.Revision, "workers", e.machine.WorkersIn(domain))
		}
	}
	for _, domain := range before.Domains {
		if !now.Has(domain) {
			e.opt.Log.Info("failure domain is taken back", "domain", domain, "revision", now.Revision, "after", e.opt.Clock()-e.drains.since[domain])
		}
	}
	e.drains.since = since(e.drains.since, now.Domains, e.opt.Clock())
	e.opt.Metrics.Set(telemetry.DomainsDrained, int64(len(now.Domains)))
}

// drainsFromGuard takes the drains that a guard knows, or tells it newer ones.
func (e *Entry) drainsFromGuard(link wire.Link, d *wire.Drains) {
	e.OfferDrains(d)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if known := e.drains.known; d.Revision < known.Revision && (d.Revision == 0 || !d.Same(&known)) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendBeside(link, &wire.Frame{Drains: &known})
	}
}

// mostUnknown bounds the unknown orders that are remembered; further ones are counted.
const mostUnknown = 16

// NoteUnknown notes an order of the operators that this version has no meaning for.
func (e *Entry) NoteUnknown(key string) {
	e.opt.Metrics.Inc(telemetry.OrdersUnknown)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if slices.Contains(e.unknown, key) || len(e.unknown) == mostUnknown {
		return
	}
	e.unknown = append(e.unknown, key)
	e.opt.Log.Warn("order of the operators is not known to this version", "key", key)
}
