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

	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// Timing of what an entry does at the store.
const (
	// registrationTTL is how long an entry that is gone stays listed.
	registrationTTL = 6 * time.Second
	renewInterval   = 2 * time.Second
	listInterval    = 2 * time.Second
	// storeRetryDelay is the wait after a call that failed: the store may be down for
	// long, and each call counts.
	storeRetryDelay = 400 * time.Millisecond
)

// Registration keeps an entry's address in the store.
type Registration struct {
	Store   store.Store
	Key     string // of this process alone
	Address string
	Log     *log.Logger
	Returns *StoreReturns // cuts waits short; may be nil
}

// Keep registers until ctx ends, and then takes the registration back.
func (r *Registration) Keep(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		delay := renewInterval
		if err := r.renew(ctx, &lease); err != nil && ctx.Err() == nil {
			r.Log.Warn("not registered in the store", "err", err)
			delay = jitter(storeRetryDelay)
		}
		r.Returns.wait(ctx, delay)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
		defer cancel()
		if err := r.Store.Revoke(ctx, lease); err != nil {
			r.Log.Warn("registration not taken back; it lapses by itself", "err", err)
		}
	}
}

func (r *Registration) renew(ctx context.Context, lease *store.LeaseID) error {
	if *lease != 0 {
		err := r.Store.KeepAlive(ctx, *lease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
		*lease = 0
	}
	id, err := r.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return fmt.Errorf("make a lease: %w", err)
	}
	var conflict *store.ConflictError
	_, err = r.Store.Put(ctx, r.Key, []byte(r.Address), 0, id)
	if errors.As(err, &conflict) {
		// An earlier write whose answer was lost, under a lease that nobody renews.
		_, err = r.Store.Put(ctx, r.Key, []byte(r.Address), conflict.Current.ModRevision, id)
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	*lease = id
	return nil
}

// maxSkippedKeys bounds the keys that are remembered as passed over: another writer may make
// new ones without end. Beyond it, they are told again.
const maxSkippedKeys = 256

// Listing reads where entries are registered.
type Listing struct {
	Store   store.Store
	Prefix  string // of the keys of registrations
	Log     *log.Logger
	Metrics *telemetry.Registry
	Returns *StoreReturns // cuts waits short; may be nil

	mu          sync.Mutex
	skippedKeys map[string]bool // keys that were passed over, each told once
}

// Addresses gives the addresses that are listed. Another writer may have put something
// else under the prefix: dialed, it would cost each guard a connection every second,
// and counted as an entry, each true one would take its part of the workers for smaller.
func (l *Listing) Addresses(ctx context.Context) ([]string, error) {
	kvs, _, err := l.Store.Range(ctx, l.Prefix)
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	addresses := make([]string, 0, len(kvs))
	for _, kv := range kvs {
		if err := validateAddress(kv.Value); err != nil {
			l.skip(kv.Key, err)
			continue
		}
		addresses = append(addresses, string(kv.Value))
	}
	return addresses, nil
}

// validateAddress tells why a value is no IP address with a port, or nil.
func validateAddress(value []byte) error {
	a, err := netip.ParseAddrPort(string(value))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("%w: %s is no address to dial", ErrForeign, a)
	}
	return nil
}

func (l *Listing) skip(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skippedKeys[key] {
		return
	}
	if l.skippedKeys == nil || len(l.skippedKeys) >= maxSkippedKeys {
		l.skippedKeys = make(map[string]bool)
	}
	l.skippedKeys[key] = true
	l.Metrics.Inc(telemetry.ForeignItems)
	l.Log.Warn("listed entry passed over", "key", key, "err", err)
}

// Keep passes on the list of entries, as it changes, until ctx ends. A failure leaves
// the last list: the store's word alone does not make an entry gone.
//
// A list that has just changed, or is empty, is read again soon. Entries that were killed
// together while the store was away register one after the other when it returns. With the
// slow pace alone, those beyond the addresses that guards are set up with had no guard for
// up to four seconds, and refused every request.
func (l *Listing) Keep(ctx context.Context, update func([]string)) {
	var previous []string
	for ctx.Err() == nil {
		addresses, err := l.Addresses(ctx)
		if err == nil && len(addresses) > 0 {
			update(slices.Clone(addresses))
		}
		delay := storeRetryDelay
		if err == nil && len(addresses) > 0 && slices.Equal(addresses, previous) {
			delay = 2 * listInterval
		}
		previous = addresses
		l.Returns.wait(ctx, jitter(delay))
	}
}
