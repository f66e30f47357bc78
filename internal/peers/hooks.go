package peers

import (
	"context"
	"sync"
)

// hookQueue calls hooks in order and without holding a lock, so that a hook may call
// back into Peers.
type hookQueue struct {
	mu      sync.Mutex
	pending []func()
	notify  chan struct{}
}

func (q *hookQueue) add(f func()) {
	q.mu.Lock()
	q.pending = append(q.pending, f)
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

func (q *hookQueue) run(ctx context.Context) {
	for {
		select {
		case <-q.notify:
			for _, f := range q.takeAll() {
				f()
			}
		case <-ctx.Done():
			return
		}
	}
}

func (q *hookQueue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}
