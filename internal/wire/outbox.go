package wire

import (
	"errors"
	"sync"
)

// errFull reports an outbox at its limit.
var errFull = errors.New("outbox full")

// keptFrames is how many places an idle outbox keeps for its next frames.
const keptFrames = 64

// outbox holds encoded frames until the socket takes them. It grows with need:
// an entry holds a link to every guard, and a buffer of fixed size would cost
// more memory than everything else about an idle link.
type outbox struct {
	mu     sync.Mutex
	frames [][]byte
	held   int           // frames that wait or were taken and are not yet sent
	limit  int           // greatest number of held frames
	ready  chan struct{} // holds a value while frames wait
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// add appends a frame, or fails with errFull.
func (o *outbox) add(frame []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held >= o.limit {
		return errFull
	}
	o.held++
	o.frames = append(o.frames, frame)
	select {
	case o.ready <- struct{}{}:
	default: // the reader has been told already
	}
	return nil
}

// take gives all waiting frames, in order. spare is a slice of an earlier take
// that is no longer needed; its places are used again unless they are many.
func (o *outbox) take(spare [][]byte) [][]byte {
	if cap(spare) > keptFrames {
		spare = nil
	}
	clear(spare)
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.frames
	o.frames = spare[:0]
	return out
}

// sent notes that one taken frame is on the socket.
func (o *outbox) sent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held--
}

// unsent is how many frames are not on the socket yet.
func (o *outbox) unsent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held
}
