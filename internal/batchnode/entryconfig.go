package batchnode

import (
	"fmt"
	"time"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// minHolderRetryDelay is how long an entry waits for a configuration that it requested from a
// guard before it asks the next one. The delay doubles up to maxHolderRetryDelay until a
// configuration arrives: a large one takes long on a slow link, and copies from further guards
// would compete for the bandwidth.
const (
	minHolderRetryDelay = 200 * time.Millisecond
	maxHolderRetryDelay = 3200 * time.Millisecond
)

// maxConfigHolders is the maximum number of guards stored as sources of a newer configuration.
const maxConfigHolders = 16

// newerConfig describes a configuration that guards hold and this entry lacks. That happens
// when the store rejects or does not answer this entry while it serves others.
type newerConfig struct {
	configVersion int64
	holders       []wire.Link
	lastRequestAt time.Duration // when a holder was last asked; 0 if never
	retryDelay    time.Duration // before the next holder is asked
	requestCount  int           // selects the next holder, in round-robin order
}

// Config returns the active version and document; the version is 0 before the first.
func (e *Entry) Config() (int64, []byte) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	return e.configVersion, e.configDocument
}

// OfferConfig activates a document if it is newer than the active one and announces its
// version to the guards, each of which fetches it from one entry and relays it to entries that
// cannot read the store.
// An older document is ignored, so that the version never decreases. Until the drains are
// known, the newest document is stored and not activated. The error is that of
// EntryOptions.Apply; the previous document then stays active.
func (e *Entry) OfferConfig(version int64, document []byte) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	return e.offerConfigLocked(version, document)
}

func (e *Entry) offerConfigLocked(configVersion int64, configDocument []byte) error {
	if configVersion <= e.configVersion {
		return nil
	}
	if e.drains.known.Revision == 0 {
		if configVersion > e.drains.pendingConfig.Version {
			e.drains.pendingConfig = wire.DesiredConfig{Version: configVersion, Document: configDocument}
		}
		return nil
	}
	if err := e.opt.Apply(configVersion, configDocument); err != nil {
		return fmt.Errorf("configuration %d: %w", configVersion, err)
	}
	e.configVersion, e.configDocument, e.configAppliedAt = configVersion, configDocument, e.opt.Clock()
	e.newerConfig.retryDelay = 0
	e.opt.Metrics.Inc(telemetry.ConfigsApplied)
	e.opt.Metrics.Set(telemetry.ConfigRevision, configVersion)
	e.opt.Log.Info("configuration in force", "version", configVersion)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.links {
		e.sendToGuard(id, &wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: configVersion}}) // guards that need the document request it
	}
	return nil
}

// handleGuardConfig handles a configuration or a version announced by a guard: it offers a
// document to this entry, sends a copy to a guard with an older version, and requests a newer
// version.
func (e *Entry) handleGuardConfig(hello *wire.RunHello, link wire.Link, d *wire.DesiredConfig) {
	if len(d.Document) > 0 {
		if err := e.OfferConfig(d.Version, d.Document); err != nil {
			e.opt.Log.Error("configuration from a guard rejected", "err", err)
		}
		return
	}
	version, _ := e.Config()
	switch {
	case d.Version < version:
		e.sendCopy(link, hello.Version)
	case d.Version > version:
		e.addConfigHolder(link, d.Version)
	}
}

// addConfigHolder stores a guard as a source of a newer configuration, and requests it.
func (e *Entry) addConfigHolder(link wire.Link, configVersion int64) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	newer := &e.newerConfig
	if configVersion > newer.configVersion {
		newer.configVersion, newer.holders = configVersion, nil
	}
	if configVersion == newer.configVersion && len(newer.holders) < maxConfigHolders {
		newer.holders = append(newer.holders, link)
	}
	e.requestNewerConfig()
}

// requestNewerConfig requests the newer configuration from one of its holders, unless the
// previous request is younger than retryDelay. A request may stay without a response, because
// the guard may have terminated. configMu must be held.
func (e *Entry) requestNewerConfig() {
	newer, now := &e.newerConfig, e.opt.Clock()
	switch {
	case e.configVersion >= newer.configVersion:
		newer.holders = nil
		return
	case len(newer.holders) == 0 || newer.lastRequestAt > 0 && now-newer.lastRequestAt < newer.retryDelay:
		return
	}
	newer.lastRequestAt = now
	newer.retryDelay = min(max(minHolderRetryDelay, 2*newer.retryDelay), maxHolderRetryDelay)
	index := newer.requestCount % len(newer.holders)
	newer.requestCount++
	_ = newer.holders[index].Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: e.configVersion, Ask: true}}) // after retryDelay the next holder is asked
}
