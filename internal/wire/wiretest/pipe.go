// Package wiretest gives tests an in-memory link, with faults. It is imported
// by test files only.
package wiretest

import (
	"context"
	"net"
	"sync"

	"wigeontray/internal/wire"
)

const depth = 1 << 14

// Pipe returns the two ends of a link in memory. Frames pass through the real
// codec, so that a test sees what a socket would deliver.
func Pipe() (a, b *End) {
	ab, ba := make(chan []byte, depth), make(chan []byte, depth)
	done, once := make(chan struct{}), new(sync.Once)
	a = &End{out: ab, in: ba, done: done, once: once}
	b = &End{out: ba, in: ab, done: done, once: once}
	return a, b
}

// End is one end of a Pipe. Drop, when set before use, is asked for each frame
// that is sent; true loses the frame.
type End struct {
	out, in chan []byte
	done    chan struct{}
	once    *sync.Once
	Drop    func(*wire.Frame) bool
}

// Send implements wire.Link.
func (e *End) Send(f *wire.Frame) error {
	select {
	case <-e.done:
		return net.ErrClosed
	default:
	}
	if e.Drop != nil && e.Drop(f) {
		return nil
	}
	b, err := wire.Encode(f)
	if err != nil {
		return err
	}
	select {
	case e.out <- b:
		return nil
	default:
		e.Close("full")
		return wire.ErrSlowPeer
	}
}

// Recv implements wire.Link.
func (e *End) Recv(ctx context.Context) (*wire.Frame, error) {
	select {
	case b := <-e.in:
		return wire.Decode(b)
	case <-e.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements wire.Link.
func (e *End) Close(string) { e.once.Do(func() { close(e.done) }) }

// Done implements wire.Link.
func (e *End) Done() <-chan struct{} { return e.done }
