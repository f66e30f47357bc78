// Package wiretest provides an in-memory link with fault injection for tests. Only test
// files import it.
package wiretest

import (
	"context"
	"net"
	"sync"

	"wigeontray/internal/wire"
)

// maxQueuedFrames is the capacity of each direction of a Pipe.
const maxQueuedFrames = 1 << 14

// Pipe returns the two ends of an in-memory link. Frames pass through the real codec, so
// that a test receives what a socket would deliver.
func Pipe() (a, b *End) {
	ab, ba := make(chan []byte, maxQueuedFrames), make(chan []byte, maxQueuedFrames)
	done, once := make(chan struct{}), new(sync.Once)
	a = &End{out: ab, in: ba, done: done, once: once}
	b = &End{out: ba, in: ab, done: done, once: once}
	return a, b
}

// End is one end of a Pipe. Drop, if set before use, is called for each frame sent; the
// frame is lost if it returns true.
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
