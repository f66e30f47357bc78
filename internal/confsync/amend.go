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

// Timing of the search for the outcome of a write.
const (
	// DefaultResolveTimeout bounds the whole search.
	DefaultResolveTimeout = 10 * time.Second
	resolveRetryDelay     = 200 * time.Millisecond
	// historyTimeout is how long the history of a key that does not exist is
	// watched; a store delivers what it holds in milliseconds.
	historyTimeout = 500 * time.Millisecond
	// applyWaitTimeout bounds how long the answer to an amendment waits until this entry obeys
	// it. A watch delivers in milliseconds; one that is silent is found out after
	// DefaultVerifyInterval, and an operator's command should not wait for that.
	applyWaitTimeout = time.Second
)

// ConflictError tells an operator what stands in the way of an amendment.
type ConflictError struct {
	// Current is the revision of the record in the store, 0 if there is none.
	Current int64
}

// Error tells the current revision.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return "the record does not exist"
	}
	return fmt.Sprintf("the record is at revision %d", e.Current)
}

// change is one amendment on its way.
type change struct {
	kind             record.Kind
	name             string
	value            []byte // nil to delete
	expectedRevision int64
	writeID          string
	baseRevision     int64 // the change can only have happened after this revision
}

func (c *change) key() string { return record.Key(c.kind, c.name) }

// Put writes a record if its revision still is expect (0: it must not exist),
// and gives its new revision.
//
// Its outcome is told truthfully. A nil error means that the write took effect, and that
// this Sync obeys it unless the store's watch has been silent for applyWaitTimeout.
// RecordInvalid means that nothing was sent. RecordConflict, which wraps a
// ConflictError, means that somebody else's change came first and this one had
// no effect. StoreUnavailable with RanUnknown means that the outcome could not
// be found out within ResolveTimeout or ctx; with RanNo, nothing was written.
//
// If the answer to the write is lost, the record's write identity is looked up
// in the store's history of the key, and the same compare-and-swap is sent
// again where the history shows that the first had no effect.
//
// Two cases are left, both of a write that must create a record. It is reported
// as a conflict, the store carries it out only then, and in between another
// operator has created the record and deleted it again. Or its answer is lost,
// another operator deletes the new record within the second, and the store's
// watch is open but silent: the record is then created again.
func (s *Sync) Put(ctx context.Context, kind record.Kind, name string, value []byte, expectedRevision int64) (int64, error) {
	return s.PutWithWriteID(ctx, uuid.NewString(), kind, name, value, expectedRevision)
}

// PutWithWriteID is Put with a write identity of the caller's, who then can recognise
// the write by reading the record if the answer is lost on the way to it. An
// identity must not be used for two writes.
func (s *Sync) PutWithWriteID(ctx context.Context, writeID string, kind record.Kind, name string, value []byte, expectedRevision int64) (int64, error) {
	value, err := s.prepareValue(writeID, kind, name, value)
	if err != nil {
		s.incrementCounter("amend.invalid")
		return 0, errkind.New(errkind.RecordInvalid, "%w", err)
	}
	return s.commitChange(ctx, &change{kind: kind, name: name, value: value, expectedRevision: expectedRevision, writeID: writeID})
}

// prepareValue checks a record and puts the write identity into it.
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

// Delete removes a record if its revision still is expect; outcomes are as for
// Put. A deletion carries no write identity: when the answer is lost and the
// first change after expect is a deletion, it counts as this one.
//
// Deleting a member ends its tokens and takes its services, jobs and policies
// out of force without deleting them; they come back with the member. Deleting
// a service takes its jobs out of force, and its policy has nothing to apply
// to. Requests that were accepted before finish under what was in force then.
func (s *Sync) Delete(ctx context.Context, kind record.Kind, name string, expectedRevision int64) (int64, error) {
	if err := record.CheckName(kind, name); err != nil {
		return 0, errkind.New(errkind.RecordInvalid, "%w", err)
	}
	if expectedRevision <= 0 {
		return 0, errkind.New(errkind.RecordInvalid, "a deletion needs the record's revision")
	}
	return s.commitChange(ctx, &change{kind: kind, name: name, expectedRevision: expectedRevision})
}

func (s *Sync) commitChange(ctx context.Context, c *change) (int64, error) {
	if s.storeDown() {
		// Known before anything is sent, this can be answered at once and for
		// certain; after sending, the outcome would take seconds to find out.
		s.incrementCounter("amend.store_down")
		return 0, errkind.New(errkind.StoreUnavailable, "the store does not answer now; nothing was sent").
			WithRan(errkind.RanNo).WithAfter(s.opts.MaxBackoff)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ResolveTimeout)
	defer cancel()
	c.baseRevision = max(c.expectedRevision, s.Revision())
	if c.expectedRevision > 0 {
		// Whoever changed the record first after expect is the winner.
		c.baseRevision = c.expectedRevision
	}
	mayBeApplied := false
	for {
		revision, err := s.send(ctx, c)
		if err == nil {
			s.incrementCounter("amend.done")
			s.waitForRevision(ctx, revision)
			return revision, nil
		}
		if errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrNotSent) && !mayBeApplied {
			s.incrementCounter("amend.refused")
			return 0, unavailableError(err, mayBeApplied)
		}
		// A conflict before any answer was lost can only be somebody else's.
		if errors.Is(err, store.ErrConflict) && !mayBeApplied {
			return 0, s.conflictError(err)
		}
		mayBeApplied = true
		outcome, revision, current := s.resolveOutcome(ctx, c)
		switch outcome {
		case outcomeApplied:
			s.incrementCounter("amend.recovered")
			s.waitForRevision(ctx, revision)
			return revision, nil
		case outcomeConflict:
			return 0, s.conflictError(&store.ConflictError{Current: store.KV{Key: c.key(), ModRevision: current}})
		case outcomeUnknown:
			s.incrementCounter("amend.unknown")
			return 0, errkind.New(errkind.StoreUnavailable, "the outcome of the amendment is not known; read the record before amending it again: %w", err)
		case outcomeNotApplied: // send again
		}
	}
}

// waitForRevision waits until this Sync obeys a revision of the store, for applyWaitTimeout at most.
// Records are read from the configuration in force, and the store's answer may overtake
// its watch: an operator who was told that his amendment is revision 6 would read the
// record at the same entry and find revision 3 and the old value.
func (s *Sync) waitForRevision(ctx context.Context, revision int64) {
	if !s.isRunning.Load() {
		return // nothing here will ever bring it
	}
	ctx, cancel := context.WithTimeout(ctx, applyWaitTimeout)
	defer cancel()
	changed, unsubscribe := s.Subscribe()
	defer unsubscribe()
	for s.Revision() < revision {
		select {
		case <-changed:
		case <-ctx.Done():
			s.incrementCounter("amend.unseen")
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

// unavailableError answers for a store that cannot be reached or will not do the call as
// it stands. That rules out an effect of this attempt, but not of one sent
// before it.
func unavailableError(err error, sentBefore bool) *errkind.Error {
	if sentBefore {
		return errkind.New(errkind.StoreUnavailable, "the outcome of the amendment is not known: %w", err)
	}
	return errkind.New(errkind.StoreUnavailable, "%w", err).WithRan(errkind.RanNo)
}

func (s *Sync) conflictError(err error) *errkind.Error {
	s.incrementCounter("amend.conflict")
	conflict := new(ConflictError)
	if c, ok := errors.AsType[*store.ConflictError](err); ok {
		conflict.Current = c.Current.ModRevision
	}
	return errkind.New(errkind.RecordConflict, "%w", conflict)
}
