package confsync

import (
	"context"
	"errors"

	"wigeontray/internal/pause"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// outcome is what the store's history tells of a change.
type outcome uint8

const (
	unknown    outcome = iota // the time is up
	tookEffect                // it is in the history
	otherWon                  // another change came first: it has no effect
	noEffect                  // nothing has changed the record yet
)

// resolve finds out what became of a change whose answer was lost. It asks
// until the store answers or ctx ends. current is the record's revision.
func (s *Sync) resolve(ctx context.Context, c *change) (o outcome, revision, current int64) {
	for ctx.Err() == nil {
		o, revision, current := s.look(ctx, c)
		if o != unknown {
			return o, revision, current
		}
		pause.For(ctx, jitter(resolvePause))
	}
	return unknown, 0, 0
}

// look reads the record once, and its history where the record alone does not
// decide. It is not enough that the record carries another write identity: the
// change may have taken effect and been replaced since.
func (s *Sync) look(ctx context.Context, c *change) (outcome, int64, int64) {
	now, err := s.readOne(ctx, c.key())
	if err != nil {
		return unknown, 0, 0
	}
	switch {
	case now.ModRevision != c.expect && c.isIn(store.Event{KV: now}):
		return tookEffect, now.ModRevision, now.ModRevision
	case now.ModRevision == c.expect && c.expect > 0:
		return noEffect, 0, now.ModRevision
	}
	event, found, err := s.search(ctx, c, now.ModRevision)
	switch {
	case err != nil:
		return unknown, 0, 0
	case found:
		return tookEffect, event.ModRevision, now.ModRevision
	case now.ModRevision == c.expect:
		return noEffect, 0, now.ModRevision
	}
	return otherWon, 0, now.ModRevision
}

// isIn tells whether ev is the change.
func (c *change) isIn(ev store.Event) bool {
	if c.value == nil {
		return ev.Deleted
	}
	return !ev.Deleted && record.WriteID(ev.Value) == c.writeID
}

// readOne gives a key as the store holds it, ModRevision 0 if it does not
// exist. Range takes a prefix, under which longer names can stand as well.
func (s *Sync) readOne(ctx context.Context, key string) (store.KV, error) {
	kvs, _, err := s.o.Store.Range(ctx, key)
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

// search goes through the history of the key after c.base up to the revision
// current, or for historyWait if the key does not exist now.
func (s *Sync) search(ctx context.Context, c *change, current int64) (ev store.Event, found bool, err error) {
	watch, cancel := context.WithTimeout(ctx, historyWait)
	defer cancel()
	batches := make(chan store.Batch, batchQueue)
	ended := make(chan error, 1)
	go func() { ended <- s.o.Store.Watch(watch, c.key(), c.base, batches) }()
	for b := range batches {
		for _, ev := range b.Events {
			if ev.Key != c.key() {
				continue
			}
			if c.isIn(ev) {
				return ev, true, nil
			}
			// A swap on the record at expect can only be the first change after it.
			if c.expect > 0 || ev.ModRevision == current {
				return ev, false, nil
			}
		}
	}
	err = <-ended
	if c.expect == 0 && current == 0 && silent(ctx, err) {
		return store.Event{}, false, nil // the history holds no more
	}
	return store.Event{}, false, err
}

// silent tells whether a watch was open for its whole time. One that could not
// be opened in that time says nothing of the history.
func silent(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, store.ErrUnavailable)
}
