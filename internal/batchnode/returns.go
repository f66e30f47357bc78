package batchnode

import (
	"context"
	"sync"
	"time"
)

// StoreReturns tells those who wait to call the store once more that it answers again. The
// one who follows the configuration asks all the while, and notices first. A nil pointer
// tells nothing.
type StoreReturns struct {
	mu        sync.Mutex
	recovered chan struct{} // closed at the next return; nil if nobody waits
}

func (r *StoreReturns) announce() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered != nil {
		close(r.recovered)
		r.recovered = nil
	}
}

// wait waits for d, until the store returns, or until ctx ends.
func (r *StoreReturns) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.nextRecovery():
	case <-ctx.Done():
	}
}

func (r *StoreReturns) nextRecovery() <-chan struct{} {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered == nil {
		r.recovered = make(chan struct{})
	}
	return r.recovered
}
