// Package store owns the narrow interface to the platform's key-value service
// and its form over HTTP: the etcd v3 API in JSON. Only entries and the
// operators' commands use it; guards never do.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns, wrapped with the cause.
var (
	// ErrUnavailable means that no answer came or the service said it cannot
	// serve now. A write may or may not have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrConflict means that a compare-and-swap lost: nothing was written.
	ErrConflict = errors.New("store: compare failed")
	// ErrCompacted means that a watch asked for revisions no longer held; the
	// watcher must read everything again.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrLeaseGone means that the lease lapsed or was revoked.
	ErrLeaseGone = errors.New("store: lease gone")
)

// KV is one key with its value. ModRevision is the store-wide revision of its
// last change; 0 stands for a key that does not exist.
type KV struct {
	Key         string
	Value       []byte
	ModRevision int64
}

// Event is one change seen by a watch.
type Event struct {
	KV
	Deleted bool
}

// Batch is what a watch delivers at once: the changes of one or more revisions,
// complete up to Revision.
type Batch struct {
	Revision int64
	Events   []Event
}

// LeaseID names a lease.
type LeaseID int64

// Store is the platform's key-value service. All methods may be called from
// many goroutines, honour ctx, and count one call each; a waiting Watch counts
// as one.
type Store interface {
	// Range reads all keys with the prefix, and the store's revision.
	Range(ctx context.Context, prefix string) (kvs []KV, revision int64, err error)
	// Put writes key if its ModRevision still equals expect (0: must not
	// exist), bound to lease unless that is 0. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (revision int64, err error)
	// Delete removes key if its ModRevision still equals expect.
	Delete(ctx context.Context, key string, expect int64) (revision int64, err error)
	// Watch delivers all changes under prefix after revision, in order, until
	// ctx ends or the stream fails. It closes out and returns the reason.
	Watch(ctx context.Context, prefix string, revision int64, out chan<- Batch) error
	// Grant makes a lease that lapses ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or fails with ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Prefixes of the system's keys.
const (
	RecordPrefix = "/wigeontray/records/" // + kind/name
	EntryPrefix  = "/wigeontray/entries/" // + incarnation, under a lease
	RosterKey    = "/wigeontray/roster"
)
