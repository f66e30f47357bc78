package batchnode

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/pause"
	"wigeontray/internal/policy"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Timing of the distribution of the configuration by guards.
const (
	// maxRequestJitter is the interval over which guards spread their requests for a new
	// configuration, each after a random delay. If all of them sent the request at once to
	// the first entry that has the configuration, hundreds of copies would saturate its
	// uplink, and the runs of its jobs would be abandoned.
	maxRequestJitter = 200 * time.Millisecond
	// minFetchRetryDelay is the delay before another entry is asked if one has not answered.
	// It doubles up to maxFetchRetryDelay.
	minFetchRetryDelay = 500 * time.Millisecond
	maxFetchRetryDelay = 4 * time.Second
	// relayDelay is how long a guard waits before it relays a configuration, so that entries
	// can read it from the store themselves.
	relayDelay = 300 * time.Millisecond
)

// handleConfig handles a DesiredConfig frame of an entry: a request for the configuration, the
// announcement of a version, or a document. It stores the newest document and relays it to
// entries with an older one, which may be unable to reach the store.
func (g *Guard) handleConfig(from *guardLink, d *wire.DesiredConfig) {
	from.configVersion = max(from.configVersion, d.Version)
	if d.Size > 0 {
		d = from.copy.addChunk(g.opt.Clock(), d)
		if d == nil {
			return
		}
	}
	switch {
	case d.Ask:
		g.sendConfig(from, d.Version)
	case d.Version <= g.configVersion:
	case len(d.Document) == 0:
		g.scheduleConfigFetch(d.Version)
	default:
		g.configVersion, g.configDocument = d.Version, d.Document
		g.opt.Metrics.Set(telemetry.ConfigRevision, d.Version)
		time.AfterFunc(relayDelay+rand.N(maxRequestJitter), g.relayConfig)
	}
}

// sendConfig sends the configuration to an entry if its version is older.
func (g *Guard) sendConfig(to *guardLink, entryVersion int64) {
	if g.configVersion > entryVersion {
		_ = to.link.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: g.configVersion, Document: g.configDocument}}) // see execute
	}
}

// scheduleConfigFetch records that an entry has the given version, and schedules a fetch if it
// is newer than the guard's own.
func (g *Guard) scheduleConfigFetch(configVersion int64) {
	g.newestConfigVersion = max(g.newestConfigVersion, configVersion)
	if g.newestConfigVersion > g.configVersion && !g.isFetchingConfig {
		g.isFetchingConfig = true
		time.AfterFunc(rand.N(maxRequestJitter), func() { g.fetchConfig(minFetchRetryDelay) })
	}
}

// fetchConfig requests the newer configuration from a random entry that has it, and repeats
// this until the configuration has arrived. An entry does not answer while it sends copies to
// other guards. retryDelay is the delay before the next request.
func (g *Guard) fetchConfig(retryDelay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sources, isArriving := g.linksWithNewerConfig()
	g.isFetchingConfig = len(sources) > 0
	switch {
	case !g.isFetchingConfig:
		return
	case isArriving:
		retryDelay = minFetchRetryDelay
	default:
		l := sources[rand.IntN(len(sources))]
		_ = l.link.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: g.configVersion}}) // see execute
	}
	time.AfterFunc(pause.Jitter(retryDelay), func() { g.fetchConfig(min(2*retryDelay, maxFetchRetryDelay)) })
}

// linksWithNewerConfig returns the links to entries that have a newer configuration, and
// whether a copy is currently arriving in chunks.
func (g *Guard) linksWithNewerConfig() (sources []*guardLink, isArriving bool) {
	now := g.opt.Clock()
	for _, l := range g.links {
		if l.configVersion > g.configVersion {
			sources = append(sources, l)
		}
		isArriving = isArriving || l.copy.isArriving(now)
	}
	return sources, isArriving
}

func (g *Guard) relayConfig() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		g.syncConfig(l)
	}
}

// syncConfig starts the transfer of the configuration between guard and entry to whichever has
// the older one. An entry gets only the version and requests the document from one of its
// guards: if every guard sent the document, the copies would saturate the entry's link.
func (g *Guard) syncConfig(l *guardLink) {
	switch {
	case g.configVersion < l.configVersion:
		g.scheduleConfigFetch(l.configVersion)
	case g.configVersion == l.configVersion || policy.Linked().Has(policy.ConfigRelay):
	case l.requestsConfig:
		_ = l.link.Send(&wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: g.configVersion}}) // see execute
	default:
		g.sendConfig(l, l.configVersion)
		l.configVersion = g.configVersion
	}
}
