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

// pace is a rate for copies.
type pace struct {
	rate  float64 // bytes a second
	share float64 // of a thin link, at most
}

// One copy passes faster than copies do on average, so that some guard soon has a new
// configuration.
var (
	copyPace  = pace{rate: 256 << 10, share: 0.25}
	piecePace = pace{rate: 1 << 20, share: 0.5}
)

// time is how long bytes take at the pace. linkRate is the bandwidth of the link in bytes a
// second, 0 if it is not known to be thin.
func (p pace) time(bytes int, linkRate int64) time.Duration {
	rate := p.rate
	if linkRate > 0 {
		rate = min(rate, p.share*float64(linkRate))
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// copies are those that an entry sends.
type copies struct {
	paid  time.Duration // when all that were begun have been paid for at copyPace
	going map[wire.Link]*outCopy
}

// outCopy is a copy of which pieces are still to be sent.
type outCopy struct {
	version  int64
	document []byte
	sent     int // bytes
}

// begin tells whether another copy may be begun, and counts it if so.
func (c *copies) begin(now time.Duration, size int, linkRate int64) bool {
	takes := copyPace.time(size, linkRate)
	if c.paid > now && c.paid+takes > now+copyPace.time(copyBurst, linkRate) {
		return false
	}
	c.paid = max(c.paid, now) + takes
	return true
}

// sendCopy sends the configuration in force to a guard, unless it is on its way there. If too
// many copies were begun lately, a guard has to ask again; one of an earlier release asks only
// once, and takes no pieces.
func (e *Entry) sendCopy(link wire.Link, guardVersion int) {
	version, document := e.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.copies.going[link] != nil {
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
	e.copies.going[link] = &outCopy{version: version, document: document}
	e.sendPieces(link)
}

// sendPieces sends the next piece of a copy, and the others in time. mu is held.
func (e *Entry) sendPieces(link wire.Link) {
	c := e.copies.going[link]
	if c == nil {
		return // the link has ended
	}
	n := min(pieceBytes, len(c.document)-c.sent)
	e.sendBeside(link, &wire.Frame{Desired: &wire.Desired{
		Version: c.version, Document: c.document[c.sent : c.sent+n], Offset: int64(c.sent), Size: int64(len(c.document)),
	}})
	c.sent += n
	if c.sent == len(c.document) {
		delete(e.copies.going, link)
		return
	}
	time.AfterFunc(piecePace.time(n, e.machine.LinkRate()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendPieces(link)
	})
}

// mostDocument bounds a configuration that comes in pieces, in bytes.
const mostDocument = 4 << 20

// inCopy is a copy that comes in pieces.
type inCopy struct {
	version  int64
	document []byte
	at       time.Duration // when the last piece came
}

// take adds a piece and gives the whole once it is there. A piece out of order ends the copy;
// the guard asks for it again.
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

// comes tells whether a piece came lately.
func (c *inCopy) comes(now time.Duration) bool { return c.at > 0 && now-c.at < askAgain }
