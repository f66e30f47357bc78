package confsync

import (
	"context"
	"errors"

	"wigeontray/internal/pause"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// outcome is the result of a change according to the store's history.
type outcome uint8

const (
	outcomeUnknown    outcome = iota // not determined before the context ended
	outcomeApplied                   // the change is in the history
	outcomeConflict                  // another change came first; this one had no effect
	outcomeNotApplied                // the record has not changed yet
)

// resolveOutcome determines the outcome of a change whose response was lost. It
// retries until the store answers or ctx ends. current is the record's revision in
// the store.
func (s *Sync) resolveOutcome(ctx context.Context, c *change) (result outcome, revision, current int64) {
	for ctx.Err() == nil {
		result, revision, current := s.lookUpOutcome(ctx, c)
		if result != outcomeUnknown {
			return result, revision, current
		}
		pause.For(ctx, pause.Jitter(resolveRetryDelay))
	}
	return outcomeUnknown, 0, 0
}

// lookUpOutcome reads the record once, and its history if the record alone is not
// conclusive. A record with another write ID is not conclusive: the change may
// have taken effect and been overwritten since.
func (s *Sync) lookUpOutcome(ctx context.Context, c *change) (outcome, int64, int64) {
	stored, err := s.readKey(ctx, c.key())
	if err != nil {
		return outcomeUnknown, 0, 0
	}
	switch {
	case stored.ModRevision != c.expectedRevision && c.matches(store.Event{KV: stored}):
		return outcomeApplied, stored.ModRevision, stored.ModRevision
	case stored.ModRevision == c.expectedRevision && c.expectedRevision > 0:
		return outcomeNotApplied, 0, stored.ModRevision
	}
	event, found, err := s.searchHistory(ctx, c, stored.ModRevision)
	switch {
	case err != nil:
		return outcomeUnknown, 0, 0
	case found:
		return outcomeApplied, event.ModRevision, stored.ModRevision
	case stored.ModRevision == c.expectedRevision:
		return outcomeNotApplied, 0, stored.ModRevision
	}
	return outcomeConflict, 0, stored.ModRevision
}

// matches reports whether ev is the event that c causes when it takes effect.
func (c *change) matches(ev store.Event) bool {
	if c.value == nil {
		return ev.Deleted
	}
	return !ev.Deleted && record.WriteID(ev.Value) == c.writeID
}

// readKey reads one key; ModRevision is 0 if it does not exist. Range reads a
// prefix, so its result can include longer keys.
func (s *Sync) readKey(ctx context.Context, key string) (store.KV, error) {
	kvs, _, err := s.opts.Store.Range(ctx, key)
	if err != nil {
		return store.KV{}, err
	}
	for _, kv := range kvs {
		if kv.Key == key {
			return kv, nil
		}
	}
	return store.KV{Key: key}, nil
}

// searchHistory searches the history of the key after c.baseRevision for c, up to
// the revision current, or for historyTimeout if the key does not exist now.
func (s *Sync) searchHistory(ctx context.Context, c *change, current int64) (ev store.Event, found bool, err error) {
	watchCtx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	batches := make(chan store.Batch, maxQueuedBatches)
	watchErr := make(chan error, 1)
	go func() { watchErr <- s.opts.Store.Watch(watchCtx, c.key(), c.baseRevision, batches) }()
	for b := range batches {
		for _, ev := range b.Events {
			if ev.Key != c.key() {
				continue
			}
			if c.matches(ev) {
				return ev, true, nil
			}
			// A compare-and-swap on expectedRevision can only be the first change
			// after it.
			if c.expectedRevision > 0 || ev.ModRevision == current {
				return ev, false, nil
			}
		}
	}
	err = <-watchErr
	if c.expectedRevision == 0 && current == 0 && watchStayedOpen(ctx, err) {
		return store.Event{}, false, nil // the history contains no event
	}
	return store.Event{}, false, err
}

// watchStayedOpen reports whether a watch was open until its timeout. A watch that
// could not be opened in that time is no evidence of an empty history.
func watchStayedOpen(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, store.ErrUnavailable)
}
