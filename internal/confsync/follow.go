package confsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeontray/internal/pause"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// recheckDelay is how long a change may take to arrive through the watch before
// the watch counts as stale.
const recheckDelay = 250 * time.Millisecond

var (
	// errWatchStale means that the store holds a change that the watch did not
	// deliver.
	errWatchStale = errors.New("watch missed a change")
	// errRevisionWentBack means that the store returned a revision below the
	// current snapshot's.
	errRevisionWentBack = errors.New("store returned an older revision")
)

// readAndWatch reads all records once and then applies the watch's changes until
// the read or the watch fails, or the watch is found to be stale.
func (s *Sync) readAndWatch(ctx context.Context) error {
	revision, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := make(chan store.Batch, maxQueuedBatches)
	watchErr := make(chan error, 1)
	go func() { watchErr <- s.opts.Store.Watch(ctx, store.RecordPrefix, revision, batches) }()
	stale := make(chan struct{})
	go s.verifyUntilStale(ctx, stale)
	for {
		select {
		case b, ok := <-batches:
			if !ok {
				return <-watchErr
			}
			s.applyBatch(b)
		case <-stale:
			return errWatchStale
		}
	}
}

// verifyUntilStale periodically compares the snapshot with the store. It closes
// stale when two checks in a row find that the watch has missed a change. It runs
// in its own goroutine so that a slow check does not delay the changes that the
// watch delivers.
func (s *Sync) verifyUntilStale(ctx context.Context, stale chan<- struct{}) {
	suspected := false
	for {
		pause.For(ctx, s.verifyDelay(suspected))
		if ctx.Err() != nil {
			return
		}
		behind := s.isWatchBehind(ctx)
		if behind && suspected {
			close(stale)
			return
		}
		suspected = behind
	}
}

// verifyDelay returns the time until the next check. It is short after a check
// that found the watch behind, since the change may still be in transit; the
// second check decides.
func (s *Sync) verifyDelay(suspected bool) time.Duration {
	if suspected {
		return recheckDelay
	}
	return pause.Jitter(s.opts.VerifyInterval)
}

// readAll reads all records and returns the revision from which to watch.
func (s *Sync) readAll(ctx context.Context) (int64, error) {
	kvs, revision, err := s.opts.Store.Range(ctx, store.RecordPrefix)
	if err != nil {
		return 0, err
	}
	s.setStoreState(nil)
	raw := make([]record.Raw, 0, len(kvs))
	for _, kv := range kvs {
		raw = append(raw, record.Raw{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModRevision})
	}
	previous := s.Current()
	if previous != nil && revision < previous.Revision {
		// The replica lags, or the store was restored from a backup. Applying
		// its records would revert changes that operators have made.
		return 0, fmt.Errorf("%w: %d is below %d", errRevisionWentBack, revision, previous.Revision)
	}
	if !previous.HasSameRecords(raw) {
		// Unchanged records keep their revision, so that reading again after a
		// broken watch does not send the whole configuration to every guard.
		s.install(record.Build(previous, raw, revision))
	}
	return revision, nil
}

// applyBatch applies a batch of changes from the watch. If a newer snapshot was
// installed by Offer in the meantime, it already contains the batch.
func (s *Sync) applyBatch(b store.Batch) {
	previous := s.Current()
	if b.Revision <= previous.Revision {
		s.count("watch.old")
		return
	}
	s.install(previous.Apply(b))
}

// isWatchBehind asks the store and reports whether the watch has missed a change.
// A watch can stay open without delivering: its server hangs, or a load balancer
// keeps the connection open after the server behind it is gone. The entry would
// then use an outdated configuration without any error.
//
// A check without a response keeps the watch: a store that is too slow for calls
// may still deliver on open watches, and a closed watch could not be reopened.
func (s *Sync) isWatchBehind(ctx context.Context) (behind bool) {
	prefixState, err := s.prefixState(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.count("store.failed")
		s.setStoreState(err)
		return false
	}
	s.setStoreState(nil)
	snap := s.Current()
	if prefixState.Revision < snap.Revision {
		s.handleRevisionWentBack()
		return false
	}
	return prefixState.ModRevision > snap.Revision || prefixState.Count != int64(snap.Len())
}

// handleRevisionWentBack counts a store revision below the snapshot's and switches
// the endpoint, since the replica may lag.
func (s *Sync) handleRevisionWentBack() {
	s.count("store.past")
	s.switchEndpoint()
}

// switchEndpoint switches to another endpoint of the store, since an endpoint that
// lags or hangs may do so for a long time.
func (s *Sync) switchEndpoint() {
	if r, ok := s.opts.Store.(endpointSwitcher); ok {
		r.NextEndpoint()
	}
}

// prefixState returns the state of all records. It reads them if the store has no
// cheaper call.
func (s *Sync) prefixState(ctx context.Context) (store.PrefixState, error) {
	if p, ok := s.opts.Store.(prefixStateReader); ok {
		return p.PrefixState(ctx, store.RecordPrefix)
	}
	kvs, revision, err := s.opts.Store.Range(ctx, store.RecordPrefix)
	state := store.PrefixState{Count: int64(len(kvs)), Revision: revision}
	for _, kv := range kvs {
		state.ModRevision = max(state.ModRevision, kv.ModRevision)
	}
	return state, err
}
