package membudget

import (
	"math/bits"
	"sync"
)

// Sizes of buffers: minBuffer times a power of two, and a little more, as readers of n bytes need a buffer that is
// longer than n to notice the end.
const (
	minBuffer      = 4 << 10
	bufferSlack    = 1 << 10
	bufferClasses  = 16
	maxClassBuffer = minBuffer<<(bufferClasses-1) + bufferSlack
)

// buffers holds free buffers by class. Clients that send large bodies all the time would otherwise cause more garbage
// than the collector can keep up with.
var buffers [bufferClasses]sync.Pool

// BufferSize returns the size of the buffer that NewBuffer returns for at least so many bytes.
func BufferSize(least int64) int64 {
	if least > maxClassBuffer {
		return least
	}
	return minBuffer<<bufferClass(least) + bufferSlack
}

// NextBufferSize returns the size of the buffer that replaces a full one of size bytes, 0 for none.
func NextBufferSize(size int64) int64 { return BufferSize(max(0, 2*size-bufferSlack)) }

// bufferClass returns the class of the smallest buffers of at least so many bytes.
func bufferClass(least int64) int {
	units := max(0, least-bufferSlack-1) / minBuffer
	return bits.Len64(uint64(units))
}

// NewBuffer returns an empty buffer with a capacity of BufferSize(least).
func NewBuffer(least int64) []byte {
	if least <= maxClassBuffer {
		if b, ok := buffers[bufferClass(least)].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, BufferSize(least))
}

// FreeBuffer lets a buffer of NewBuffer be used again. Nothing may refer to its bytes any more.
func FreeBuffer(b []byte) {
	size := int64(cap(b))
	if size >= minBuffer+bufferSlack && size <= maxClassBuffer && BufferSize(size) == size {
		buffers[bufferClass(size)].Put(&b)
	}
}
