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

// recheckDelay is the time that a change may be on its way through a watch.
const recheckDelay = 250 * time.Millisecond

var (
	// errWatchStale means that the store holds changes which the watch left out.
	errWatchStale = errors.New("the watch left out a change")
	// errRevisionWentBack means that the store answered with a revision below the one in
	// force.
	errRevisionWentBack = errors.New("the store answered from the past")
)

// readAndWatch reads everything once and then watches, until something fails.
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

// verifyUntilStale checks from time to time until the watch is found to have
// left out a change, and closes stale then. It runs beside the watch: a slow
// check must not hold up the changes that the watch delivers.
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

// verifyDelay is short after a check that found the watch behind: the change may
// just be on its way, and a second look tells.
func (s *Sync) verifyDelay(suspected bool) time.Duration {
	if suspected {
		return recheckDelay
	}
	return jitter(s.opts.VerifyEvery)
}

// readAll reads all records and gives the revision from which to watch.
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
		// A replica that lags, or a store restored from a copy. To obey it would
		// bring back what operators have replaced.
		return 0, fmt.Errorf("%w: %d is below %d", errRevisionWentBack, revision, previous.Revision)
	}
	if !previous.HasSameRecords(raw) {
		// Equal content keeps its revision, so that reading again after a lost
		// watch does not send the whole configuration to every guard.
		s.install(record.Build(previous, raw, revision))
	}
	return revision, nil
}

// applyBatch puts a batch of the watch in force. A snapshot that came by Offer in
// the meantime can be ahead of the watch; the batch is then in it already.
func (s *Sync) applyBatch(b store.Batch) {
	previous := s.Current()
	if b.Revision <= previous.Revision {
		s.incrementCounter("watch.old")
		return
	}
	s.install(previous.Apply(b))
}

// isWatchBehind asks the store whether the watch left out a change. A watch can stay
// open and silent: its server hangs, or a balancer holds the connection of a
// server that has gone. The entry would then obey an old configuration with
// nothing to show for it.
//
// A check that gets no answer leaves the watch as it is: a store too slow for
// its calls may well go on delivering, and a watch given up then could not be
// opened again.
func (s *Sync) isWatchBehind(ctx context.Context) (behind bool) {
	latest, err := s.latest(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.incrementCounter("store.failed")
		s.setStoreState(err)
		return false
	}
	s.setStoreState(nil)
	snap := s.Current()
	if latest.Revision < snap.Revision {
		s.handleRevisionWentBack()
		return false
	}
	return latest.ModRevision > snap.Revision || latest.Count != int64(snap.Len())
}

func (s *Sync) handleRevisionWentBack() {
	s.incrementCounter("store.past")
	s.switchEndpoint()
}

// switchEndpoint turns to another endpoint of the store: one that lags or hangs
// may do so for long.
func (s *Sync) switchEndpoint() {
	if r, ok := s.opts.Store.(endpointSwitcher); ok {
		r.NextEndpoint()
	}
}

func (s *Sync) latest(ctx context.Context) (store.Latest, error) {
	if p, ok := s.opts.Store.(latestReader); ok {
		return p.Latest(ctx, store.RecordPrefix)
	}
	kvs, revision, err := s.opts.Store.Range(ctx, store.RecordPrefix)
	l := store.Latest{Count: int64(len(kvs)), Revision: revision}
	for _, kv := range kvs {
		l.ModRevision = max(l.ModRevision, kv.ModRevision)
	}
	return l, err
}
