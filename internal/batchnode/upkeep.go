package batchnode

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/pause"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// Timing of an entry's calls to the store.
const (
	// registrationTTL is how long an entry stays listed after it has crashed.
	registrationTTL = 6 * time.Second
	renewInterval   = 2 * time.Second
	listInterval    = 2 * time.Second
	// storeRetryDelay is the delay after a failed call: the store may be unavailable for a
	// long time, and every call adds load. Calls that StoreRecovery repeats once the store is
	// reachable double it up to maxStoreRetryDelay.
	storeRetryDelay    = 400 * time.Millisecond
	maxStoreRetryDelay = 4 * storeRetryDelay
	// MinWatchWait is the shortest time for which the store holds a watch call open for a change.
	// It also bounds the time until a dead connection is detected, as a configuration must be in
	// force within 2 s. See Entry.WatchWait.
	MinWatchWait = 1200 * time.Millisecond
	maxWatchWait = 4 * MinWatchWait
	// watchRenewalInterval is the mean time between two watch calls of all entries together.
	watchRenewalInterval = MinWatchWait / 4
)

// WatchWait returns how long the next watch call of this entry waits for a change. The duration is
// random, so that the calls of the entries do not coincide.
func (e *Entry) WatchWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(MinWatchWait, pause.Jitter(watchWaitFor(len(e.known.addresses))))
}

// watchWaitFor returns the longest wait of a watch call in a fleet with the given number of entries.
// An entry whose watch has a dead connection receives a change from its guards, as long as another
// entry's watch is new enough. The calls of all entries together therefore need not grow with their
// number.
func watchWaitFor(entries int) time.Duration {
	return min(max(MinWatchWait, time.Duration(entries)*watchRenewalInterval), maxWatchWait)
}

// Registration keeps the address of an entry registered in the store, under a lease.
type Registration struct {
	Store    store.Store
	Key      string // used only by this process
	Address  string
	Log      *log.Logger
	Recovery *StoreRecovery // cuts waits short; may be nil
}

// Keep maintains the registration until ctx ends, and then revokes it.
func (r *Registration) Keep(ctx context.Context) {
	var lease store.LeaseID
	var backoff storeBackoff
	for ctx.Err() == nil {
		delay := renewInterval
		err := r.renew(ctx, &lease)
		if retryDelay := backoff.next(err); err != nil && ctx.Err() == nil {
			r.Log.Warn("registration in the store failed", "err", err)
			delay = retryDelay
		}
		r.Recovery.wait(ctx, delay)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
		defer cancel()
		if err := r.Store.Revoke(ctx, lease); err != nil {
			r.Log.Warn("registration not revoked; it expires with its lease", "err", err)
		}
	}
}

// storeBackoff computes the delays between failed calls to the store. The zero value is ready for use.
type storeBackoff struct {
	delay time.Duration // after the last failure; 0 if the last call succeeded
}

// next returns the delay after a call that has ended with err: storeRetryDelay after a success and after
// the first failure.
func (b *storeBackoff) next(err error) time.Duration {
	if err == nil {
		b.delay = 0
		return pause.Jitter(storeRetryDelay)
	}
	b.delay = min(max(storeRetryDelay, 2*b.delay), maxStoreRetryDelay)
	return pause.Jitter(b.delay)
}

// renew renews the lease, or registers under a new lease if there is none or it has expired.
func (r *Registration) renew(ctx context.Context, lease *store.LeaseID) error {
	if *lease != 0 {
		err := r.Store.KeepAlive(ctx, *lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return err
		}
		*lease = 0
	}
	id, err := r.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	var conflict *store.ConflictError
	_, err = r.Store.Put(ctx, r.Key, []byte(r.Address), 0, id)
	if errors.As(err, &conflict) {
		// The response to an earlier write was lost; its lease is not renewed.
		_, err = r.Store.Put(ctx, r.Key, []byte(r.Address), conflict.Current.ModRevision, id)
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	*lease = id
	return nil
}

// maxSkippedKeys is the maximum number of skipped keys that are stored, because another writer
// may create any number of them. When it is reached, the set is cleared and keys are logged
// again.
const maxSkippedKeys = 256

// Listing reads the addresses of registered entries from the store.
type Listing struct {
	Store    store.Store
	Prefix   string // prefix of the keys of registrations
	Log      *log.Logger
	Metrics  *telemetry.Registry
	Recovery *StoreRecovery // cuts waits short; may be nil
	// Fallback is called by Keep whenever the store does not list the entries; may be nil.
	Fallback func()

	mu          sync.Mutex
	skippedKeys map[string]bool // keys with invalid values, each of which is logged once
}

// Addresses returns the registered addresses. Values that are not addresses are skipped, since
// another writer may use the prefix: if they were dialed, each guard would open a connection
// every second, and if they were counted as entries, each real entry would underestimate its
// share of the workers.
func (l *Listing) Addresses(ctx context.Context) ([]string, error) {
	kvs, _, err := l.Store.Range(ctx, l.Prefix)
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	addresses := make([]string, 0, len(kvs))
	for _, kv := range kvs {
		if err := validateAddress(kv.Value); err != nil {
			l.reportSkipped(kv.Key, err)
			continue
		}
		addresses = append(addresses, string(kv.Value))
	}
	return addresses, nil
}

// validateAddress returns an error if value is not an IP address with a port.
func validateAddress(value []byte) error {
	a, err := netip.ParseAddrPort(string(value))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnexpectedForm, err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("%w: %s is not a dialable address", ErrUnexpectedForm, a)
	}
	return nil
}

// reportSkipped counts and logs a key whose value is not an address, once for each key.
func (l *Listing) reportSkipped(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skippedKeys[key] {
		return
	}
	if l.skippedKeys == nil || len(l.skippedKeys) >= maxSkippedKeys {
		l.skippedKeys = make(map[string]bool)
	}
	l.skippedKeys[key] = true
	l.Metrics.Inc(telemetry.MalformedItems)
	l.Log.Warn("listed entry passed over", "key", key, "err", err)
}

// reportUnread calls Fallback after a read that has failed with err or, if err is nil, has listed nothing.
func (l *Listing) reportUnread(err error) {
	if err != nil {
		l.Log.Warn("list of entries not read", "err", err)
	}
	if l.Fallback != nil {
		l.Fallback()
	}
}

// Keep reads the list of entries until ctx ends and passes each list to update. A read that fails
// or returns no entries leaves the previous list in place: the state of the store alone is no
// proof that an entry has terminated.
//
// A list that is empty or has just changed is read again after storeRetryDelay. Entries that
// were killed while the store was unavailable register one after the other once it is reachable
// again. With the long interval alone, entries whose addresses are not configured at the guards
// had no guard for up to four seconds, and refused every request.
func (l *Listing) Keep(ctx context.Context, update func([]string)) {
	var previous []string
	var backoff storeBackoff
	for ctx.Err() == nil {
		addresses, err := l.Addresses(ctx)
		switch {
		case err == nil && len(addresses) > 0:
			update(slices.Clone(addresses))
		case ctx.Err() == nil:
			l.reportUnread(err)
		}
		delay := backoff.next(err)
		if err == nil && len(addresses) > 0 && slices.Equal(addresses, previous) {
			delay = pause.Jitter(2 * listInterval)
		}
		previous = addresses
		l.Recovery.wait(ctx, delay)
	}
}
