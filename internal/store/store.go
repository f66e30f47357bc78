// Package store defines the interface to the platform's key-value service and
// implements it over HTTP with the JSON gateway of the etcd v3 API. Only
// entries and the operators' commands use it; guards never do.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns, wrapped with the cause.
var (
	// ErrUnavailable means that no response arrived or that the service
	// reported that it cannot serve the call now. A write may or may not have
	// taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrConflict means that the comparison of a compare-and-swap failed.
	// Nothing was written.
	ErrConflict = errors.New("store: compare failed")
	// ErrCompacted means that a watch requested revisions that the store has
	// compacted. The watcher must read the whole prefix again.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("store: lease gone")
)

// KV is a key with its value. ModRevision is the store-wide revision of the
// key's last change; 0 means that the key does not exist.
type KV struct {
	Key         string
	Value       []byte
	ModRevision int64
}

// Event is one change reported by a watch.
type Event struct {
	KV
	Deleted bool
}

// Batch is one delivery of a watch: the changes of one or more revisions,
// complete up to Revision.
type Batch struct {
	Revision int64
	Events   []Event
}

// LeaseID identifies a lease.
type LeaseID int64

// Store is the platform's key-value service. All methods are safe for
// concurrent use and honour ctx. Each counts as one call against the service's
// rate limit, and so does a waiting Watch.
type Store interface {
	// Range returns all keys with the prefix and the store's revision.
	Range(ctx context.Context, prefix string) (kvs []KV, revision int64, err error)
	// Put writes key if its ModRevision equals expectedRevision (0: the key
	// must not exist) and attaches it to lease unless lease is 0. It returns
	// the new revision, or ErrConflict if the comparison fails.
	Put(ctx context.Context, key string, value []byte, expectedRevision int64, lease LeaseID) (revision int64, err error)
	// Delete removes key if its ModRevision equals expectedRevision. It returns
	// the revision of the deletion, or ErrConflict if the comparison fails.
	Delete(ctx context.Context, key string, expectedRevision int64) (revision int64, err error)
	// Watch sends all changes under prefix after revision to out, in order,
	// until ctx ends or the stream fails. It then closes out and returns the
	// reason.
	Watch(ctx context.Context, prefix string, revision int64, out chan<- Batch) error
	// Grant creates a lease that expires ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseNotFound if the lease no
	// longer exists.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// Keys and key prefixes of the system.
const (
	RecordPrefix = "/wigeontray/records/" // followed by kind/name
	EntryPrefix  = "/wigeontray/entries/" // followed by the incarnation; attached to a lease
	RosterKey    = "/wigeontray/roster"
)
