package store

import (
	"errors"
	"fmt"
)

// ErrRefused means that the service answered and will not do the call as it
// stands, for instance because a value is too large. Nothing was written.
var ErrRefused = errors.New("store refused the call")

// ErrNotSent is an ErrUnavailable that proves that no service saw the call:
// nothing was written, and nothing will be.
var ErrNotSent = fmt.Errorf("%w: nothing was sent", ErrUnavailable)

// ConflictError is an ErrConflict that tells what stands in the key's place.
type ConflictError struct {
	// Current is the key as the service holds it; ModRevision is 0 when the
	// key does not exist.
	Current KV
}

// Error names the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s is at revision %d", ErrConflict, e.Current.Key, e.Current.ModRevision)
}

// Unwrap makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Latest is the state of a prefix in a few bytes.
type Latest struct {
	ModRevision int64 // highest among the keys that exist
	Count       int64 // keys that exist
	Revision    int64 // of the store when it answered
}
