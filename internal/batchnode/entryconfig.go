package batchnode

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// askPause is how long an entry waits for a configuration that it has asked a guard for.
// Asked all at once, the guards of a large fleet would fill its link with copies.
const askPause = 200 * time.Millisecond

// mostHolders bounds the guards that are remembered to have a newer configuration.
const mostHolders = 16

// Limits of the copies of the configuration that an entry sends to guards. A guard needs its
// copy only for entries that the store turns away, and the requests of callers share the link.
const (
	copyRate  = 256 << 10 // bytes a second
	copyBurst = 64 << 10  // bytes; one whole copy in any case
	// copyShare is the part of a thin link that copies may take.
	copyShare = 0.25
)

// copyLimit is a rate limit of the copies of the configuration.
type copyLimit struct {
	paid time.Duration // when all copies sent so far have been paid for at the allowed rate
}

// take tells whether a copy may be sent now, and counts it if so. linkRate is what the link
// bears in bytes a second, 0 if it is not known to be thin.
func (c *copyLimit) take(now time.Duration, size int, linkRate int64) bool {
	rate := float64(copyRate)
	if linkRate > 0 {
		rate = min(rate, copyShare*float64(linkRate))
	}
	takes := func(bytes float64) time.Duration {
		return time.Duration(bytes / rate * float64(time.Second))
	}
	if c.paid > now && c.paid+takes(float64(size)) > now+takes(copyBurst) {
		return false
	}
	c.paid = max(c.paid, now) + takes(float64(size))
	return true
}

// offered is a configuration that guards have and this entry has not: the store may turn
// it away and serve other entries.
type offered struct {
	version int64
	holders []wire.Link
	asked   time.Duration // when one was last asked
}

// Config gives the version and document in force; version 0 before the first.
func (e *Entry) Config() (int64, []byte) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	return e.version, e.document
}

// Offer puts a newer document in force and tells the guards, some of which fetch it and
// relay it to entries that cannot read the store. An older one is passed over: a
// process never goes back.
func (e *Entry) Offer(version int64, document []byte) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if version <= e.version {
		return nil
	}
	if err := e.opt.Apply(version, document); err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	e.version, e.document = version, document
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
// older one, or asks it for a newer one. A guard that asks again may have to wait for its
// copy; one of an earlier release asks once.
func (e *Entry) fromGuard(link wire.Link, asksAgain bool, d *wire.Desired) {
	if len(d.Document) > 0 {
		if err := e.Offer(d.Version, d.Document); err != nil {
			e.opt.Log.Error("configuration of a guard refused", "err", err)
		}
		return
	}
	version, _ := e.Config()
	switch {
	case d.Version < version:
		e.sendCopy(link, asksAgain)
	case d.Version > version:
		e.noteHolder(link, d.Version)
	}
}

// sendCopy sends a guard the configuration in force, unless too many copies were sent lately.
func (e *Entry) sendCopy(link wire.Link, asksAgain bool) {
	version, document := e.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.copies.take(e.opt.Clock(), len(document), e.machine.LinkRate()) && asksAgain {
		e.opt.Metrics.Inc(telemetry.CopiesDelayed)
		return
	}
	e.opt.Metrics.Inc(telemetry.CopiesSent)
	e.sendBeside(link, &wire.Frame{Desired: &wire.Desired{Version: version, Document: document}})
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
	case len(o.holders) == 0 || o.asked > 0 && now-o.asked < askPause:
		return
	}
	o.asked = now
	at := rand.IntN(len(o.holders))
	_ = o.holders[at].Send(&wire.Frame{Desired: &wire.Desired{Version: e.version, Ask: true}}) // the next one is asked soon
}
