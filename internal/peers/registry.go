package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/roster"
	"wigeontray/internal/store"
	"wigeontray/internal/wire"
)

// Registration is the value stored under an entry's key.
type Registration struct {
	wire.EntryAddr
	Region string `json:"region"`
}

// RosterKey returns the store key of a region's roster.
func RosterKey(region string) string { return store.RosterKey + "/" + region }

// sleep waits for d or until ctx ends. It reports whether the full time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// keepRegistered keeps this entry's key in the store under a lease. If the lease
// expires while the process is paused or during an outage, the entry registers again
// under a new one. Whether it was declared gone in the meantime is decided by the
// roster.
func (p *Peers) keepRegistered(ctx context.Context) {
	for {
		lease, err := p.registerOnce(ctx)
		if err == nil {
			p.renewLease(ctx, lease)
		} else {
			p.opt.count("register_failed")
		}
		if ctx.Err() != nil {
			p.revokeLease(lease)
			return
		}
		if !sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

// registerOnce writes this entry's key under a new lease and returns the lease.
func (p *Peers) registerOnce(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := p.opt.Store.Grant(ctx, p.opt.LeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("grant a lease: %w", err)
	}
	key := store.EntryPrefix + string(p.opt.Self.Incarnation)
	value, err := json.Marshal(Registration{p.opt.Self, p.opt.Region})
	if err != nil {
		return 0, fmt.Errorf("encode the registration: %w", err)
	}
	// A key written by an earlier attempt whose answer was lost belongs to another
	// lease and would be deleted with it, so it is overwritten.
	kvs, _, err := p.opt.Store.Range(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read the registration: %w", err)
	}
	var expect int64
	for _, kv := range kvs {
		if kv.Key == key {
			expect = kv.ModRevision
		}
	}
	if _, err := p.opt.Store.Put(ctx, key, value, expect, lease); err != nil {
		return 0, fmt.Errorf("write the registration: %w", err)
	}
	return lease, nil
}

// renewLease renews the lease until it has expired or ctx ends. It continues after
// other store failures, since the lease may still be valid.
func (p *Peers) renewLease(ctx context.Context, lease store.LeaseID) {
	for sleep(ctx, p.opt.LeaseTTL/keepAlivesPerTTL) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.opt.Store.KeepAlive(callCtx, lease)
		cancel()
		switch {
		case errors.Is(err, store.ErrLeaseNotFound):
			p.opt.count("lease_lapsed")
			p.opt.Log.Warn("lease expired; registering again")
			return
		case err != nil:
			p.opt.count("keepalive_failed")
		}
	}
}

// revokeLease revokes the lease on a stop, so that other entries do not have to wait
// until it expires.
func (p *Peers) revokeLease(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
	defer cancel()
	_ = p.opt.Store.Revoke(ctx, lease)
}

// watchPrefix reads all keys under prefix and then watches them; it starts over when
// the watch ends. onChange receives the whole content after each change.
func (p *Peers) watchPrefix(ctx context.Context, prefix string, onChange func(kvs map[string]store.KV)) {
	for {
		if err := p.watchPrefixOnce(ctx, prefix, onChange); err != nil && ctx.Err() == nil {
			p.opt.count("watch_failed")
		}
		if !sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

// watchPrefixOnce reads all keys under prefix and watches them until the watch ends.
func (p *Peers) watchPrefixOnce(ctx context.Context, prefix string, onChange func(map[string]store.KV)) error {
	callCtx, cancelCall := context.WithTimeout(ctx, storeTimeout)
	initial, revision, err := p.opt.Store.Range(callCtx, prefix)
	cancelCall()
	if err != nil {
		return fmt.Errorf("read %s: %w", prefix, err)
	}
	kvs := make(map[string]store.KV)
	for _, kv := range initial {
		kvs[kv.Key] = kv
	}
	onChange(kvs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := make(chan store.Batch)
	result := make(chan error, 1)
	go func() { result <- p.opt.Store.Watch(ctx, prefix, revision, batches) }()
	for b := range batches {
		for _, e := range b.Events {
			if e.Deleted {
				delete(kvs, e.Key)
			} else {
				kvs[e.Key] = e.KV
			}
		}
		onChange(kvs)
	}
	return <-result
}

// watchEntries keeps the set of registered entries up to date.
func (p *Peers) watchEntries(ctx context.Context) {
	p.watchPrefix(ctx, store.EntryPrefix, func(kvs map[string]store.KV) {
		var addrs []wire.EntryAddr
		for _, key := range slices.Sorted(maps.Keys(kvs)) {
			var r Registration
			if err := json.Unmarshal(kvs[key].Value, &r); err != nil {
				p.opt.count("bad_registration")
				continue
			}
			if r.Region == p.opt.Region {
				addrs = append(addrs, r.EntryAddr)
			}
		}
		p.update(func(now time.Time) { p.setRegistered(now, addrs) })
	})
}

// watchRoster passes each new value of the roster to the machine.
func (p *Peers) watchRoster(ctx context.Context) {
	key := RosterKey(p.opt.Region)
	p.watchPrefix(ctx, key, func(kvs map[string]store.KV) { p.handleStoredRoster(kvs[key]) })
}

// readRoster reads the roster on request of the machine.
func (p *Peers) readRoster(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := RosterKey(p.opt.Region)
	kvs, _, err := p.opt.Store.Range(callCtx, key)
	p.mu.Lock()
	p.isReadingRoster = false
	p.mu.Unlock()
	if err != nil {
		p.opt.count("roster.read_failed")
		return
	}
	i := slices.IndexFunc(kvs, func(kv store.KV) bool { return kv.Key == key })
	if i < 0 {
		p.handleStoredRoster(store.KV{})
		return
	}
	p.handleStoredRoster(kvs[i])
}

// handleStoredRoster passes a value of the roster key to the machine.
func (p *Peers) handleStoredRoster(kv store.KV) {
	p.update(func(now time.Time) {
		if err := p.machine.HandleStoreValue(now, kv.Value, kv.ModRevision); err != nil {
			p.opt.count("roster.bad_value")
			p.opt.Log.Error("cannot decode the roster in the store", "err", err)
		}
	})
}

// swapRoster executes a compare-and-swap of the roster. After any error other than a
// conflict, the outcome is unknown.
func (p *Peers) swapRoster(ctx context.Context, s *roster.Swap) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := p.opt.Store.Put(callCtx, RosterKey(p.opt.Region), s.Value, s.Expect, 0)
	outcome := roster.OutcomeUnknown
	switch {
	case err == nil:
		outcome = roster.OutcomeDone
	case errors.Is(err, store.ErrConflict):
		outcome = roster.OutcomeConflict
	}
	p.opt.count([...]string{"roster.swap_unknown", "roster.swap_done", "roster.swap_conflict"}[outcome])
	p.update(func(now time.Time) { p.machine.HandleSwapResult(now, s.ID, outcome, revision) })
}
