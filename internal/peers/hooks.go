package peers

import (
	"context"
	"sync"
)

// hookQueue calls hooks in order and outside of any lock, so that a hook may
// call back into Peers.
type hookQueue struct {
	mu   sync.Mutex
	todo []func()
	wake chan struct{}
}

func (q *hookQueue) add(f func()) {
	q.mu.Lock()
	q.todo = append(q.todo, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *hookQueue) run(ctx context.Context) {
	for {
		select {
		case <-q.wake:
			for _, f := range q.take() {
				f()
			}
		case <-ctx.Done():
			return
		}
	}
}

func (q *hookQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	todo := q.todo
	q.todo = nil
	return todo
}
