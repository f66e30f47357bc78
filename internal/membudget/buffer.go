package membudget

import (
	"errors"
	"io"
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

// ReadAll reads at most so many bytes into a buffer, whose memory is charged to the account as it grows. It returns
// ErrExhausted or ErrEvicted if there is no memory, or the error of r; nothing is charged then. The buffer is released
// with FreeBuffer, and its capacity with Shrink or Clear.
func (a *Account) ReadAll(r io.Reader, most int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			larger, err := a.growBuffer(buf, most)
			if err != nil {
				a.releaseBuffer(buf)
				return nil, err
			}
			buf = larger
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			a.releaseBuffer(buf)
			return nil, err
		}
	}
}

// growBuffer returns a buffer of about twice the size in place of buf. One that holds most bytes has room for one
// more, so that the end is read without growing.
func (a *Account) growBuffer(buf []byte, most int64) ([]byte, error) {
	before := int64(cap(buf))
	size := min(NextBufferSize(before), BufferSize(most+1))
	if err := a.Replace(before, size); err != nil {
		return nil, err
	}
	larger := append(NewBuffer(size), buf...)
	a.releaseBuffer(buf)
	return larger, nil
}

// releaseBuffer releases a buffer and its memory.
func (a *Account) releaseBuffer(buf []byte) {
	FreeBuffer(buf)
	a.Shrink(int64(cap(buf)))
}
