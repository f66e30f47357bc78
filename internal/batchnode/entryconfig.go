package batchnode

import (
	"fmt"
	"time"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// askPause is how long an entry waits for a configuration that it has asked a guard for. It
// doubles up to askPauseMost until one comes: a large one takes long on a thin link, and
// copies of further guards would take the link from it.
const (
	askPause     = 200 * time.Millisecond
	askPauseMost = 3200 * time.Millisecond
)

// mostHolders bounds the guards that are remembered to have a newer configuration.
const mostHolders = 16

// offered is a configuration that guards have and this entry has not: the store may turn
// it away and serve other entries.
type offered struct {
	version int64
	holders []wire.Link
	asked   time.Duration // when one was last asked
	pause   time.Duration // until the next one is asked
	asks    int           // so far; the holders are asked in turn
}

// Config gives the version and document in force; version 0 before the first.
func (e *Entry) Config() (int64, []byte) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	return e.version, e.document
}

// Offer puts a newer document in force and tells the guards, some of which fetch it and
// relay it to entries that cannot read the store. An older one is passed over: a
// process never goes back. Before the first word of drains it is kept for later.
func (e *Entry) Offer(version int64, document []byte) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	return e.offerLocked(version, document)
}

func (e *Entry) offerLocked(version int64, document []byte) error {
	if version <= e.version {
		return nil
	}
	if e.drains.known.Revision == 0 {
		if version > e.drains.pending.Version {
			e.drains.pending = wire.Desired{Version: version, Document: document}
		}
		return nil
	}
	if err := e.opt.Apply(version, document); err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	e.version, e.document, e.inForce = version, document, e.opt.Clock()
	e.offered.pause = 0
	e.opt.Metrics.Inc(telemetry.ConfigsApplied)
	e.opt.Metrics.Set(telemetry.ConfigRevision, version)
	e.opt.Log.Info("configuration in force", "version", version)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.links {
		e.post(id, &wire.Frame{Desired: &wire.Desired{Version: version}}) // who needs it asks
	}
	return nil
}

// fromGuard takes a configuration from a guard, sends it the one in force if it has an
// older one, or asks it for a newer one.
func (e *Entry) fromGuard(h *wire.RunHello, link wire.Link, d *wire.Desired) {
	if len(d.Document) > 0 {
		if err := e.Offer(d.Version, d.Document); err != nil {
			e.opt.Log.Error("configuration of a guard refused", "err", err)
		}
		return
	}
	version, _ := e.Config()
	switch {
	case d.Version < version:
		e.sendCopy(link, h.Version)
	case d.Version > version:
		e.noteHolder(link, d.Version)
	}
}

// noteHolder remembers a guard that has a newer configuration, and asks for it.
func (e *Entry) noteHolder(link wire.Link, version int64) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	o := &e.offered
	if version > o.version {
		o.version, o.holders = version, nil
	}
	if version == o.version && len(o.holders) < mostHolders {
		o.holders = append(o.holders, link)
	}
	e.askHolder()
}

// askHolder asks one guard for a newer configuration, unless one was just asked. An
// answer may not come: the guard may be gone. configMu is held.
func (e *Entry) askHolder() {
	o, now := &e.offered, e.opt.Clock()
	switch {
	case e.version >= o.version:
		o.holders = nil
		return
	case len(o.holders) == 0 || o.asked > 0 && now-o.asked < o.pause:
		return
	}
	o.asked = now
	o.pause = min(max(askPause, 2*o.pause), askPauseMost)
	at := o.asks % len(o.holders)
	o.asks++
	_ = o.holders[at].Send(&wire.Frame{Desired: &wire.Desired{Version: e.version, Ask: true}}) // the next one is asked soon
}
