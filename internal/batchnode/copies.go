package batchnode

import (
	"time"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Limits of the copies of the configuration that an entry sends to guards. A guard needs its
// copy only for entries that the store turns away, and the requests of callers share the link.
const (
	copyBurst = 64 << 10 // bytes; one whole copy in any case
	// pieceBytes is how much of a copy is sent at once.
	pieceBytes = 16 << 10
)

// rateLimit bounds bytes a second, and the share of a thin link.
type rateLimit struct {
	bytes float64 // a second
	share float64 // of a thin link
}

// A single copy passes faster than copies do on average, so that some guard soon has a new
// configuration.
var (
	copyLimit  = rateLimit{bytes: 256 << 10, share: 0.25}
	pieceLimit = rateLimit{bytes: 1 << 20, share: 0.5}
)

// duration is how long bytes take at the limit. linkRate is the bandwidth of the link in bytes
// a second, 0 if it is not known to be thin.
func (l rateLimit) duration(bytes int, linkRate int64) time.Duration {
	rate := l.bytes
	if linkRate > 0 {
		rate = min(rate, l.share*float64(linkRate))
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// copies are the copies that an entry sends.
type copies struct {
	busyUntil time.Duration // when those begun so far would have passed at copyLimit
	sending   map[wire.Link]*outCopy
}

// outCopy is a copy of which pieces are still to be sent.
type outCopy struct {
	version  int64
	document []byte
	sent     int // bytes
}

// begin tells whether another copy may be begun, and counts it if so.
func (c *copies) begin(now time.Duration, size int, linkRate int64) bool {
	takes := copyLimit.duration(size, linkRate)
	if c.busyUntil > now && c.busyUntil+takes > now+copyLimit.duration(copyBurst, linkRate) {
		return false
	}
	c.busyUntil = max(c.busyUntil, now) + takes
	return true
}

// sendCopy sends the configuration in force to a guard, unless a copy is on its way there.
// Beyond the limit the guard has to ask again; one of an earlier release asks only once, and
// takes no pieces.
func (e *Entry) sendCopy(link wire.Link, guardVersion int) {
	version, document := e.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.copies.sending[link] != nil {
		return
	}
	if !e.copies.begin(e.opt.Clock(), len(document), e.machine.LinkRate()) && guardVersion >= wire.AsksSince {
		e.opt.Metrics.Inc(telemetry.CopiesDelayed)
		return
	}
	e.opt.Metrics.Inc(telemetry.CopiesSent)
	if guardVersion < wire.PiecesSince || len(document) <= pieceBytes {
		e.sendBeside(link, &wire.Frame{Desired: &wire.Desired{Version: version, Document: document}})
		return
	}
	e.copies.sending[link] = &outCopy{version: version, document: document}
	e.sendPieces(link)
}

// sendPieces sends the next piece of a copy and schedules the one after it. mu is held.
func (e *Entry) sendPieces(link wire.Link) {
	c := e.copies.sending[link]
	if c == nil {
		return // the link has ended
	}
	n := min(pieceBytes, len(c.document)-c.sent)
	e.sendBeside(link, &wire.Frame{Desired: &wire.Desired{
		Version: c.version, Document: c.document[c.sent : c.sent+n], Offset: int64(c.sent), Size: int64(len(c.document)),
	}})
	c.sent += n
	if c.sent == len(c.document) {
		delete(e.copies.sending, link)
		return
	}
	time.AfterFunc(pieceLimit.duration(n, e.machine.LinkRate()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendPieces(link)
	})
}

// mostDocument bounds a configuration that comes in pieces, in bytes.
const mostDocument = 4 << 20

// inCopy is a copy that arrives in pieces.
type inCopy struct {
	version  int64
	document []byte
	at       time.Duration // when the last piece arrived
}

// take adds a piece, and returns the whole document after the last one, nil before. A piece out
// of order discards the copy; the guard asks for it again.
func (c *inCopy) take(now time.Duration, d *wire.Desired) *wire.Desired {
	if d.Size > mostDocument || int64(len(d.Document)) > d.Size-d.Offset {
		*c = inCopy{}
		return nil
	}
	if d.Offset == 0 {
		*c = inCopy{version: d.Version, document: make([]byte, 0, d.Size)}
	}
	if d.Version != c.version || d.Offset != int64(len(c.document)) {
		*c = inCopy{}
		return nil
	}
	c.document = append(c.document, d.Document...)
	c.at = now
	if int64(len(c.document)) < d.Size {
		return nil
	}
	whole := &wire.Desired{Version: c.version, Document: c.document}
	*c = inCopy{}
	return whole
}

// arriving tells whether a piece arrived within askAgain.
func (c *inCopy) arriving(now time.Duration) bool { return c.at > 0 && now-c.at < askAgain }
