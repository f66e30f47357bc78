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

// Registration is the value under an entry's key in the store.
type Registration struct {
	wire.EntryAddr
	Region string `json:"region"`
}

// RosterKey is the store key of a region's roster.
func RosterKey(region string) string { return store.RosterKey + "/" + region }

// sleep waits for d or until ctx ends; it tells whether to go on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// keepRegistered keeps this entry's key in the store under a lease. A lease that
// lapsed while the process was paused, or in an outage, is replaced by a new
// one; whether the entry was declared gone meanwhile is for the roster to say.
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
	// A key from an earlier attempt, whose answer was lost, hangs on another
	// lease and would vanish with it.
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

// renewLease renews the lease until it is gone or ctx ends. Failures of the store
// are waited out: the lease may still hold.
func (p *Peers) renewLease(ctx context.Context, lease store.LeaseID) {
	for sleep(ctx, p.opt.LeaseTTL/keepAlivesPerTTL) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.opt.Store.KeepAlive(callCtx, lease)
		cancel()
		switch {
		case errors.Is(err, store.ErrLeaseGone):
			p.opt.count("lease_lapsed")
			p.opt.Log.Warn("lease lapsed; registering again")
			return
		case err != nil:
			p.opt.count("keepalive_failed")
		}
	}
}

// revokeLease ends the lease on a stop, so that nobody has to wait for its end.
func (p *Peers) revokeLease(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
	defer cancel()
	_ = p.opt.Store.Revoke(ctx, lease)
}

// watchPrefix reads all keys under prefix and then watches them, again and again;
// set gets the whole content after each change.
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

// watchEntries keeps the list of registered entries.
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

// watchRoster hands each new value of the roster to the machine.
func (p *Peers) watchRoster(ctx context.Context) {
	key := RosterKey(p.opt.Region)
	p.watchPrefix(ctx, key, func(kvs map[string]store.KV) { p.handleStoredRoster(kvs[key]) })
}

// readRoster reads the roster when the machine asks for it.
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

func (p *Peers) handleStoredRoster(kv store.KV) {
	p.update(func(now time.Time) {
		if err := p.machine.Stored(now, kv.Value, kv.ModRevision); err != nil {
			p.opt.count("roster.bad_value")
			p.opt.Log.Error("roster in the store is not readable", "err", err)
		}
	})
}

// swapRoster carries out a compare-and-swap of the roster. Every failure but a lost
// comparison leaves the outcome unknown.
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
	p.update(func(now time.Time) { p.machine.Swapped(now, s.ID, outcome, revision) })
}
