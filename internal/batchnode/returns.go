package batchnode

import (
	"context"
	"sync"
	"time"
)

// StoreRecovery wakes goroutines that wait before they retry a call to the store, as soon as the
// store is reachable again. Source.Follow retries all the time and detects that first. All
// methods work on a nil pointer, which never wakes anyone.
type StoreRecovery struct {
	mu        sync.Mutex
	recovered chan struct{} // closed when the store is reachable again; nil if no goroutine waits
}

// announce wakes all waiting goroutines.
func (r *StoreRecovery) announce() {
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

// wait returns after d, when the store is reachable again, or when ctx ends.
func (r *StoreRecovery) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.nextRecovery():
	case <-ctx.Done():
	}
}

// nextRecovery returns a channel that the next announce closes.
func (r *StoreRecovery) nextRecovery() <-chan struct{} {
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
