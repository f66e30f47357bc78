package store

import (
	"errors"
	"fmt"
)

// ErrRefused means that the service rejected the call as invalid, for instance
// because a value is too large. Nothing was written.
var ErrRefused = errors.New("store refused the call")

// ErrNotSent is an ErrUnavailable for a call that never reached the service:
// nothing was written, and nothing will be.
var ErrNotSent = fmt.Errorf("%w: nothing was sent", ErrUnavailable)

// ConflictError is an ErrConflict that carries the key's current state.
type ConflictError struct {
	// Current is the key as stored by the service. Its ModRevision is 0 if the
	// key does not exist.
	Current KV
}

// Error returns the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s is at revision %d", ErrConflict, e.Current.Key, e.Current.ModRevision)
}

// Unwrap returns ErrConflict, for errors.Is.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// PrefixState summarizes the state of a prefix without its keys and values.
type PrefixState struct {
	ModRevision int64 // highest among the existing keys
	Count       int64 // number of existing keys
	Revision    int64 // store revision at the time of the response
}
