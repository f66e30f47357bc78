package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSendQueueKeepsOrderAndLimit(t *testing.T) {
	c := qt.New(t)
	q := newSendQueue(3, MaxFrame)
	frame := func(b byte) []byte { return []byte{b} }
	add := func(b byte) (bool, error) { return q.add(frame(b)) }
	startWriter, err := add(1)
	c.Assert(err, qt.IsNil)
	c.Assert(startWriter, qt.IsTrue)
	startWriter, err = add(2)
	c.Assert(err, qt.IsNil)
	c.Assert(startWriter, qt.IsFalse) // a second writer could reorder frames
	first := q.takeAll(nil)
	c.Assert(first, qt.DeepEquals, [][]byte{{1}, {2}})
	// Frames that are taken and not yet written count against the limit; otherwise a peer
	// that does not read could cause twice the limit to be held.
	startWriter, err = add(3)
	c.Assert(err, qt.IsNil)
	c.Assert(startWriter, qt.IsFalse)
	_, err = add(4)
	c.Assert(err, qt.Equals, errQueueFull)
	q.markWritten(1)
	_, err = add(4)
	c.Assert(err, qt.IsNil)
	second := q.takeAll(first)
	c.Assert(second, qt.DeepEquals, [][]byte{{3}, {4}})
	c.Assert(q.takeAll(second), qt.HasLen, 0)
	for range 3 {
		q.markWritten(1)
	}
	startWriter, err = add(5)
	c.Assert(err, qt.IsNil)
	c.Assert(startWriter, qt.IsTrue)
}

// After a burst the queue releases the memory that the burst took. Retained memory would
// add up over all links of a fleet.
func TestSendQueueReleasesMemoryAfterBurst(t *testing.T) {
	c := qt.New(t)
	q := newSendQueue(1<<10, MaxFrame)
	for range 1 << 10 {
		_, err := q.add(nil)
		c.Assert(err, qt.IsNil)
	}
	burst := q.takeAll(nil)
	q.takeAll(burst)
	c.Assert(cap(q.frames) <= maxRetainedFrames, qt.IsTrue)
}

// Guards against a peer that does not read and lets megabytes of frames wait for it.
func TestSendQueueLimitsBytes(t *testing.T) {
	c := qt.New(t)
	q := newSendQueue(1<<10, 100)
	_, err := q.add(make([]byte, 200)) // a single frame may be longer
	c.Assert(err, qt.IsNil)
	_, err = q.add(make([]byte, 1))
	c.Assert(err, qt.Equals, errQueueFull)
	q.takeAll(nil)
	_, err = q.add(make([]byte, 1))
	c.Assert(err, qt.Equals, errQueueFull) // taken and not yet written
	q.markWritten(200)
	for range 2 {
		_, err = q.add(make([]byte, 50))
		c.Assert(err, qt.IsNil)
	}
	_, err = q.add(make([]byte, 1))
	c.Assert(err, qt.Equals, errQueueFull)
}
