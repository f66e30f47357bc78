package batchnode

import (
	"time"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Limits for the copies of the configuration that an entry sends to guards. A guard needs its
// copy only to relay it to entries that cannot read the store, and the copies share the
// entry's uplink with the requests of callers.
const (
	// maxCopyBurstBytes is how much may be started ahead of copyRateLimit. While no earlier
	// copy is pending, a copy of any size may be started.
	maxCopyBurstBytes = 64 << 10
	// chunkBytes is how much of a copy is sent in one frame.
	chunkBytes = 16 << 10
)

// rateLimit is a maximum rate for configuration copies. On an uplink whose bandwidth is
// known, it is also bounded by a share of that bandwidth.
type rateLimit struct {
	bytes     float64 // per second
	linkShare float64 // maximum fraction of the uplink bandwidth
}

// Average rate of all copies, and rate of the chunks of one copy. A single copy may exceed
// the average rate, so that at least one guard receives a new configuration quickly.
var (
	copyRateLimit  = rateLimit{bytes: 256 << 10, linkShare: 0.25}
	chunkRateLimit = rateLimit{bytes: 1 << 20, linkShare: 0.5}
)

// transferTime returns how long bytes take at the rate limit. linkRate is the bandwidth of
// the uplink in bytes per second, 0 if no bandwidth limit was detected.
func (l rateLimit) transferTime(bytes int, linkRate int64) time.Duration {
	rate := l.bytes
	if linkRate > 0 {
		rate = min(rate, l.linkShare*float64(linkRate))
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// outgoingCopies tracks the configuration copies that an entry sends.
type outgoingCopies struct {
	busyUntil  time.Duration // when the copies started so far are sent, at copyRateLimit
	inProgress map[wire.Link]*outgoingCopy
}

// outgoingCopy is a copy that is sent in chunks and is not yet complete.
type outgoingCopy struct {
	version   int64
	document  []byte
	sentBytes int
}

// tryBegin reports whether another copy may be started now, and accounts for it if so.
func (c *outgoingCopies) tryBegin(now time.Duration, size int, linkRate int64) bool {
	duration := copyRateLimit.transferTime(size, linkRate)
	if c.busyUntil > now && c.busyUntil+duration > now+copyRateLimit.transferTime(maxCopyBurstBytes, linkRate) {
		return false
	}
	c.busyUntil = max(c.busyUntil, now) + duration
	return true
}

// sendCopy sends the current configuration to a guard, unless a copy is already being sent
// on its link. Above the rate limit it sends nothing, and the guard requests the copy again
// later. Guards with a protocol version below wire.ConfigRequestVersion request it only once and
// always get it; those below wire.ConfigPiecesVersion get it in a single frame.
func (e *Entry) sendCopy(link wire.Link, protocolVersion int) {
	version, document := e.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outgoingCopies.inProgress[link] != nil {
		return
	}
	if !e.outgoingCopies.tryBegin(e.opt.Clock(), len(document), e.machine.LinkRate()) && protocolVersion >= wire.ConfigRequestVersion {
		e.opt.Metrics.Inc(telemetry.ConfigCopiesDelayed)
		return
	}
	e.opt.Metrics.Inc(telemetry.ConfigCopiesSent)
	if protocolVersion < wire.ConfigPiecesVersion || len(document) <= chunkBytes {
		e.sendDirect(link, &wire.Frame{DesiredConfig: &wire.DesiredConfig{Version: version, Document: document}})
		return
	}
	e.outgoingCopies.inProgress[link] = &outgoingCopy{version: version, document: document}
	e.sendNextChunk(link)
}

// sendNextChunk sends the next chunk of a copy and schedules the one after it. mu must be
// held.
func (e *Entry) sendNextChunk(link wire.Link) {
	c := e.outgoingCopies.inProgress[link]
	if c == nil {
		return // the link was closed
	}
	n := min(chunkBytes, len(c.document)-c.sentBytes)
	e.sendDirect(link, &wire.Frame{DesiredConfig: &wire.DesiredConfig{
		Version: c.version, Document: c.document[c.sentBytes : c.sentBytes+n], Offset: int64(c.sentBytes), Size: int64(len(c.document)),
	}})
	c.sentBytes += n
	if c.sentBytes == len(c.document) {
		delete(e.outgoingCopies.inProgress, link)
		return
	}
	time.AfterFunc(chunkRateLimit.transferTime(n, e.machine.LinkRate()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendNextChunk(link)
	})
}

// maxDocumentBytes is the maximum size of a configuration that is received in chunks.
const maxDocumentBytes = 4 << 20

// incomingCopy is a configuration copy that is being received in chunks.
type incomingCopy struct {
	version     int64
	document    []byte
	lastChunkAt time.Duration // 0 if no copy is in progress
}

// addChunk appends a chunk. It returns the complete configuration after the last chunk, and
// nil before. A chunk that is out of order or too large discards the copy; the guard
// requests it again.
func (c *incomingCopy) addChunk(now time.Duration, chunk *wire.DesiredConfig) *wire.DesiredConfig {
	if chunk.Size > maxDocumentBytes || int64(len(chunk.Document)) > chunk.Size-chunk.Offset {
		*c = incomingCopy{}
		return nil
	}
	if chunk.Offset == 0 {
		*c = incomingCopy{version: chunk.Version, document: make([]byte, 0, chunk.Size)}
	}
	if chunk.Version != c.version || chunk.Offset != int64(len(c.document)) {
		*c = incomingCopy{}
		return nil
	}
	c.document = append(c.document, chunk.Document...)
	c.lastChunkAt = now
	if int64(len(c.document)) < chunk.Size {
		return nil
	}
	complete := &wire.DesiredConfig{Version: c.version, Document: c.document}
	*c = incomingCopy{}
	return complete
}

// isArriving reports whether a chunk of an incomplete copy arrived within the last
// minFetchRetryDelay.
func (c *incomingCopy) isArriving(now time.Duration) bool {
	return c.lastChunkAt > 0 && now-c.lastChunkAt < minFetchRetryDelay
}
