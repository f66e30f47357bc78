package confsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// Timeouts and delays of record writes.
const (
	// DefaultResolveTimeout bounds how long a write whose response was lost is
	// resolved and retried.
	DefaultResolveTimeout = 10 * time.Second
	resolveRetryDelay     = 200 * time.Millisecond
	// historyTimeout is how long the history of a key that does not exist is
	// watched. A store delivers the events that it retains within milliseconds.
	historyTimeout = 500 * time.Millisecond
	// applyWaitTimeout bounds how long a successful write waits until this entry
	// has applied it. A watch normally delivers within milliseconds. A stalled
	// watch is only detected after DefaultVerifyInterval, which is too long to
	// block an operator's command.
	applyWaitTimeout = time.Second
)

// ConflictError reports that a write was based on an outdated revision.
type ConflictError struct {
	// Current is the record's revision in the store, 0 if it does not exist.
	Current int64
}

// Error returns a message that states the current revision.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return "the record does not exist"
	}
	return fmt.Sprintf("the record is at revision %d", e.Current)
}

// change is one pending put or delete of a record.
type change struct {
	kind             record.Kind
	name             string
	value            []byte // nil for a deletion
	expectedRevision int64
	writeID          string
	baseRevision     int64 // the change can only take effect after this revision
}

func (c *change) key() string { return record.Key(c.kind, c.name) }

// Put writes a record if its current revision is expectedRevision (0: the record
// must not exist), and returns the new revision.
//
// The error states what is certain about the outcome:
//
//   - nil: the write took effect. This Sync has applied it, unless the store's
//     watch delivered nothing for applyWaitTimeout.
//   - RecordInvalid: nothing was sent.
//   - RecordConflict, wrapping a ConflictError: another change came first and
//     this write had no effect.
//   - StoreUnavailable with RanNo: nothing was written.
//   - StoreUnavailable with RanUnknown: the outcome could not be determined
//     within ResolveTimeout or before ctx ended.
//
// If the response to the write is lost, Put searches the store's history of the
// key for the record's write ID. If the history shows that the write had no
// effect, Put sends the same compare-and-swap again.
//
// Two rare sequences, both of a write that creates a record, still end in a
// wrong result:
//
//   - Put reports a conflict, the store executes the write only afterwards, and
//     in between another operator has created the record and deleted it again.
//   - The response is lost, another operator deletes the new record within a
//     second, and the store's watch is open but delivers nothing. The record is
//     then created again.
func (s *Sync) Put(ctx context.Context, kind record.Kind, name string, value []byte, expectedRevision int64) (int64, error) {
	return s.PutWithWriteID(ctx, uuid.NewString(), kind, name, value, expectedRevision)
}

// PutWithWriteID is like Put but uses the caller's write ID. If the response to
// the caller is lost, the caller can read the record and recognise its write by
// the ID. Each write needs its own ID.
func (s *Sync) PutWithWriteID(ctx context.Context, writeID string, kind record.Kind, name string, value []byte, expectedRevision int64) (int64, error) {
	value, err := s.prepareValue(writeID, kind, name, value)
	if err != nil {
		s.count("amend.invalid")
		return 0, errkind.New(errkind.RecordInvalid, "%w", err)
	}
	return s.commitChange(ctx, &change{kind: kind, name: name, value: value, expectedRevision: expectedRevision, writeID: writeID})
}

// prepareValue validates a record and sets its write ID.
func (s *Sync) prepareValue(writeID string, kind record.Kind, name string, value []byte) ([]byte, error) {
	p, err := record.ParseAs(kind, name, value)
	if err != nil {
		return nil, err
	}
	if snap := s.Current(); snap != nil && p.Member != nil {
		if err := snap.CheckTokens(p.Member); err != nil {
			return nil, err
		}
	}
	value, err = record.WithWriteID(value, writeID)
	if err != nil {
		return nil, err
	}
	if len(value) > record.MaxSize {
		return nil, fmt.Errorf("%d bytes exceed %d", len(value), record.MaxSize)
	}
	return value, nil
}

// Delete removes a record if its current revision is expectedRevision. It returns
// the same errors as Put. A deletion carries no write ID: if its response is lost
// and the first change after expectedRevision is a deletion, that deletion is
// assumed to be this one.
//
// Deleting a member invalidates its tokens and deactivates its services, jobs and
// policies without deleting them; they become active again when the member is
// recreated. Deleting a service deactivates its jobs and leaves its policy without
// effect. Requests accepted before the deletion complete under the configuration
// of that time.
func (s *Sync) Delete(ctx context.Context, kind record.Kind, name string, expectedRevision int64) (int64, error) {
	if err := record.CheckName(kind, name); err != nil {
		return 0, errkind.New(errkind.RecordInvalid, "%w", err)
	}
	if expectedRevision <= 0 {
		return 0, errkind.New(errkind.RecordInvalid, "a deletion needs the record's revision")
	}
	return s.commitChange(ctx, &change{kind: kind, name: name, expectedRevision: expectedRevision})
}

// commitChange sends a change, and sends it again after a lost response, until its
// outcome is known or the time is up. See Put for the errors.
func (s *Sync) commitChange(ctx context.Context, c *change) (int64, error) {
	if s.storeDown() {
		// Nothing was sent yet, so the caller gets a definite answer immediately.
		// Once a request is sent, finding out its outcome would take seconds.
		s.count("amend.store_down")
		return 0, errkind.New(errkind.StoreUnavailable, "the store does not answer now; nothing was sent").
			WithRan(errkind.RanNo).WithAfter(s.opts.MaxBackoff)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ResolveTimeout)
	defer cancel()
	c.baseRevision = max(c.expectedRevision, s.Revision())
	if c.expectedRevision > 0 {
		// The first change after expectedRevision decides which write succeeded.
		c.baseRevision = c.expectedRevision
	}
	mayBeApplied := false
	for {
		revision, err := s.send(ctx, c)
		if err == nil {
			s.count("amend.done")
			s.waitForRevision(ctx, revision)
			return revision, nil
		}
		if errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrNotSent) && !mayBeApplied {
			s.count("amend.refused")
			return 0, unavailableError(err, mayBeApplied)
		}
		// Unless the response to an earlier attempt was lost, a conflict can
		// only come from another writer.
		if errors.Is(err, store.ErrConflict) && !mayBeApplied {
			return 0, s.conflictError(err)
		}
		mayBeApplied = true
		outcome, revision, current := s.resolveOutcome(ctx, c)
		switch outcome {
		case outcomeApplied:
			s.count("amend.recovered")
			s.waitForRevision(ctx, revision)
			return revision, nil
		case outcomeConflict:
			return 0, s.conflictError(&store.ConflictError{Current: store.KV{Key: c.key(), ModRevision: current}})
		case outcomeUnknown:
			s.count("amend.unknown")
			return 0, errkind.New(errkind.StoreUnavailable, "the outcome of the amendment is not known; read the record before amending it again: %w", err)
		case outcomeNotApplied: // retry
		}
	}
}

// waitForRevision waits until this Sync has applied a revision of the store, at
// most for applyWaitTimeout. Reads are served from the current snapshot, and the
// store's response may arrive before the watch event. Without the wait, an operator
// whose write was confirmed as revision 6 could read the record at the same entry
// and get the old value at revision 3.
func (s *Sync) waitForRevision(ctx context.Context, revision int64) {
	if !s.isRunning.Load() {
		return // nothing updates the snapshot
	}
	ctx, cancel := context.WithTimeout(ctx, applyWaitTimeout)
	defer cancel()
	changed, unsubscribe := s.Subscribe()
	defer unsubscribe()
	for s.Revision() < revision {
		select {
		case <-changed:
		case <-ctx.Done():
			s.count("amend.unseen")
			return
		}
	}
}

func (s *Sync) send(ctx context.Context, c *change) (int64, error) {
	if c.value == nil {
		return s.opts.Store.Delete(ctx, c.key(), c.expectedRevision)
	}
	return s.opts.Store.Put(ctx, c.key(), c.value, c.expectedRevision, 0)
}

// unavailableError returns the error for a store that is unreachable or rejected
// the request. This attempt had no effect, but an attempt sent before it may have.
func unavailableError(err error, sentBefore bool) *errkind.Error {
	if sentBefore {
		return errkind.New(errkind.StoreUnavailable, "the outcome of the amendment is not known: %w", err)
	}
	return errkind.New(errkind.StoreUnavailable, "%w", err).WithRan(errkind.RanNo)
}

// conflictError counts a conflict and returns the error for it.
func (s *Sync) conflictError(err error) *errkind.Error {
	s.count("amend.conflict")
	conflict := new(ConflictError)
	if c, ok := errors.AsType[*store.ConflictError](err); ok {
		conflict.Current = c.Current.ModRevision
	}
	return errkind.New(errkind.RecordConflict, "%w", conflict)
}
