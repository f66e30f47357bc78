package wire

import (
	"errors"
	"sync"
)

// errQueueFull reports that a sendQueue holds its maximum number of frames or of bytes.
var errQueueFull = errors.New("send queue full")

// maxRetainedFrames is the largest slice capacity, in frames, that an empty queue keeps for
// reuse.
const maxRetainedFrames = 64

// sendQueue holds encoded frames until they are written to the socket. It grows on demand:
// an entry has a link to every guard, and a buffer of fixed size would use more memory than
// everything else about an idle link.
type sendQueue struct {
	mu            sync.Mutex
	frames        [][]byte
	pending       int  // frames queued, or taken and not yet written
	pendingBytes  int  // size of these frames
	maxPending    int  // maximum of pending
	maxBytes      int  // of pendingBytes; a frame that finds the queue empty may exceed it
	writerRunning bool // a writer goroutine runs; it ends when takeAll returns no frames
}

func newSendQueue(maxPending, maxBytes int) *sendQueue {
	return &sendQueue{maxPending: maxPending, maxBytes: maxBytes}
}

// add appends a frame, or fails with errQueueFull. It reports whether the caller has to
// start a writer. Only one writer may run, since two could reorder frames.
func (q *sendQueue) add(frame []byte) (startWriter bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending >= q.maxPending || q.pending > 0 && q.pendingBytes+len(frame) > q.maxBytes {
		return false, errQueueFull
	}
	q.pending++
	q.pendingBytes += len(frame)
	q.frames = append(q.frames, frame)
	startWriter = !q.writerRunning
	q.writerRunning = true
	return startWriter, nil
}

// takeAll removes and returns all queued frames, in order. If there are none, the writer
// has to end. spare is a slice from an earlier call that is no longer needed; it is reused
// unless its capacity exceeds maxRetainedFrames.
func (q *sendQueue) takeAll(spare [][]byte) [][]byte {
	if cap(spare) > maxRetainedFrames {
		spare = nil
	}
	clear(spare)
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.frames
	q.frames = spare[:0]
	q.writerRunning = len(out) > 0
	return out
}

// markWritten records that one of the frames taken, of so many bytes, is written to the socket.
func (q *sendQueue) markWritten(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	q.pendingBytes -= bytes
}

// pendingFrames returns the number of frames that are not yet written to the socket.
func (q *sendQueue) pendingFrames() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending
}
