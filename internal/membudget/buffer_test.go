package membudget

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBuffersAreLargeEnoughAndReused(t *testing.T) {
	for _, least := range []int64{0, 1, 4096, 5120, 5121, 16<<10 + 1, 262_144 + 1, 1<<20 + 1, 8<<20 + 1, 64 << 20, maxClassBuffer, maxClassBuffer + 1} {
		size := BufferSize(least)
		b := NewBuffer(least)
		qt.Check(t, int64(cap(b)), qt.Equals, size)
		qt.Check(t, size >= least, qt.IsTrue, qt.Commentf("%d for %d", size, least))
		qt.Check(t, least < minBuffer || size <= 2*least+bufferSlack, qt.IsTrue, qt.Commentf("%d for %d", size, least))
		qt.Check(t, BufferSize(size), qt.Equals, size)
		FreeBuffer(append(b, "content"...))
		qt.Check(t, NewBuffer(least), qt.HasLen, 0)
	}
	for size, next := range map[int64]int64{0: 5 << 10, 5 << 10: 9 << 10, 9 << 10: 17 << 10, 513 << 10: 1025 << 10} {
		qt.Check(t, NextBufferSize(size), qt.Equals, next)
	}
	FreeBuffer(make([]byte, 0, 7000)) // of another origin: not used
	qt.Check(t, int64(cap(NewBuffer(5000))), qt.Equals, BufferSize(5000))
}

// Guards against garbage that the collector cannot keep up with while clients send large bodies all the time.
func TestFreedBuffersCauseNoGarbage(t *testing.T) {
	const size = 1 << 20
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			FreeBuffer(NewBuffer(size))
		}
	}).AllocedBytesPerOp()
	qt.Check(t, allocated < size/2, qt.IsTrue, qt.Commentf("%d bytes", allocated)) // the race detector drops every fourth
}
