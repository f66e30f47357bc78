package peers

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/store"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// memStore is a store in memory under the fake clock: leases, compare-and-swap
// and watches, and no fault of its own.
type memStore struct {
	mu       sync.Mutex
	revision int64
	kvs      map[string]store.KV
	leaseOf  map[string]store.LeaseID
	ends     map[store.LeaseID]time.Time
	ttl      map[store.LeaseID]time.Duration
	log      []store.Event
	changed  chan struct{}
}

func newMemStore() *memStore {
	return &memStore{
		kvs: make(map[string]store.KV), leaseOf: make(map[string]store.LeaseID),
		ends: make(map[store.LeaseID]time.Time), ttl: make(map[store.LeaseID]time.Duration),
		changed: make(chan struct{}),
	}
}

func (s *memStore) record(e store.Event) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the keys of leases that have ended. The caller holds mu.
func (s *memStore) expire() {
	for id, end := range s.ends {
		if !time.Now().Before(end) {
			delete(s.ends, id)
			for key, lease := range s.leaseOf {
				if lease == id {
					s.remove(key)
				}
			}
		}
	}
}

func (s *memStore) remove(key string) {
	s.revision++
	delete(s.kvs, key)
	delete(s.leaseOf, key)
	s.record(store.Event{KV: store.KV{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *memStore) Range(_ context.Context, prefix string) (out []store.KV, _ int64, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for key, kv := range s.kvs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	return out, s.revision, nil
}

func (s *memStore) Put(_ context.Context, key string, value []byte, expect int64, lease store.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.kvs[key].ModRevision != expect {
		return 0, store.ErrConflict
	}
	s.revision++
	kv := store.KV{Key: key, Value: value, ModRevision: s.revision}
	s.kvs[key] = kv
	if lease != 0 {
		s.leaseOf[key] = lease
	}
	s.record(store.Event{KV: kv})
	return s.revision, nil
}

func (s *memStore) Delete(context.Context, string, int64) (int64, error) {
	return 0, errors.New("not used")
}

func (s *memStore) Watch(ctx context.Context, prefix string, revision int64, out chan<- store.Batch) error {
	defer close(out)
	for {
		s.mu.Lock()
		s.expire()
		b, changed := store.Batch{Revision: s.revision}, s.changed
		for _, e := range s.log {
			if e.ModRevision > revision && strings.HasPrefix(e.Key, prefix) {
				b.Events = append(b.Events, e)
			}
		}
		s.mu.Unlock()
		if len(b.Events) > 0 {
			select {
			case out <- b:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		revision = b.Revision
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // leases end without a call
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *memStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := store.LeaseID(len(s.ttl) + 1)
	s.ttl[id], s.ends[id] = ttl, time.Now().Add(ttl)
	return id, nil
}

func (s *memStore) KeepAlive(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.ends[id]; !ok {
		return store.ErrLeaseGone
	}
	s.ends[id] = time.Now().Add(s.ttl[id])
	return nil
}

func (s *memStore) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[id] = time.Now()
	s.expire()
	return nil
}

// cutStore is one entry's way to the store, which can be cut.
type cutStore struct {
	*memStore
	n *network
	e *entry
}

func (s cutStore) err() error {
	if s.n.storeDown.Load() || s.e.cut.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (s cutStore) Range(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	return s.memStore.Range(ctx, prefix)
}

func (s cutStore) Put(ctx context.Context, key string, v []byte, expect int64, l store.LeaseID) (int64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.memStore.Put(ctx, key, v, expect, l)
}

func (s cutStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.memStore.Grant(ctx, ttl)
}

func (s cutStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.memStore.KeepAlive(ctx, id)
}

func (s cutStore) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.memStore.Revoke(ctx, id)
}

func (s cutStore) Watch(ctx context.Context, prefix string, r int64, out chan<- store.Batch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for s.err() == nil && pause(ctx, 100*time.Millisecond) {
		}
		cancel()
	}()
	return s.memStore.Watch(ctx, prefix, r, out)
}

// network holds the entries of one region.
type network struct {
	c         *qt.C
	ctx       context.Context
	store     *memStore
	storeDown flag
	mu        sync.Mutex // guards entries against dials while one is started
	entries   map[identity.Incarnation]*entry
	wg        sync.WaitGroup
}

type flag struct {
	mu sync.Mutex
	v  bool
}

func (f *flag) Load() bool   { f.mu.Lock(); defer f.mu.Unlock(); return f.v }
func (f *flag) Store(v bool) { f.mu.Lock(); defer f.mu.Unlock(); f.v = v }

// entry is one Peers with what its hooks saw.
type entry struct {
	*Peers
	cut    flag // no link and no store
	cancel context.CancelFunc
	mu     sync.Mutex
	ready  []identity.Incarnation
	gone   []identity.Incarnation
	fences []identity.Incarnation // guards that were sent a fence
	fenced bool
	config int64
}

var errCut = errors.New("cut")

func newNetwork(t *testing.T, ctx context.Context, names ...identity.Incarnation) *network {
	n := &network{c: qt.New(t), ctx: ctx, store: newMemStore(), entries: make(map[identity.Incarnation]*entry)}
	for _, name := range names {
		n.start(name)
	}
	return n
}

func (n *network) start(name identity.Incarnation, seeds ...string) *entry {
	e := &entry{}
	ctx, cancel := context.WithCancel(n.ctx)
	e.cancel = cancel
	e.Peers = New(Options{
		Self:   wire.EntryAddr{Incarnation: name, Inner: string(name)},
		Region: "lima", Store: cutStore{n.store, n, e}, Seeds: seeds,
		Dial: func(ctx context.Context, to wire.EntryAddr) (wire.Link, error) { return n.dial(e, to) },
		OnForward: func(_ context.Context, from identity.Incarnation, f *wire.Forward) *wire.Forwarded {
			return &wire.Forwarded{Status: 200, Body: fmt.Appendf(nil, "%s for %s at %s", f.Key, from, name)}
		},
		ToGuard: func(g identity.Incarnation, f *wire.Frame) {
			if f.Fence != nil {
				e.note(func() { e.fences = append(e.fences, g) })
			}
		},
		OnGuardReady: func(g identity.Incarnation) { e.note(func() { e.ready = append(e.ready, g) }) },
		OnGone:       func(p identity.Incarnation) { e.note(func() { e.gone = append(e.gone, p) }) },
		OnFenced:     func() { e.note(func() { e.fenced = true }) },
		Revision:     func() int64 { return e.revision() },
		Config:       func() *wire.Config { return &wire.Config{Revision: e.revision()} },
		OnConfig:     func(c *wire.Config) { e.note(func() { e.config = max(e.config, c.Revision) }) },
	})
	n.mu.Lock()
	n.entries[name] = e
	n.mu.Unlock()
	n.wg.Go(func() { e.Run(ctx) })
	return e
}

func (e *entry) note(f func()) { e.mu.Lock(); defer e.mu.Unlock(); f() }

func (e *entry) revision() (r int64) { e.note(func() { r = e.config }); return r }

func (n *network) dial(from *entry, to wire.EntryAddr) (wire.Link, error) {
	n.mu.Lock()
	target := n.entries[identity.Incarnation(to.Inner)]
	n.mu.Unlock()
	if target == nil || target.cut.Load() || from.cut.Load() {
		return nil, errCut
	}
	a, b := wiretest.Pipe()
	n.wg.Go(func() { target.Accept(n.ctx, b) })
	return a, nil
}

// kill cuts an entry off from everything at once. To the others it is dead; it
// goes on by itself, as a paused or cut-off process might later.
func (n *network) kill(name identity.Incarnation) {
	e := n.entries[name]
	e.cut.Store(true)
	for _, l := range *e.links.Load() {
		l.link.Close("cut")
	}
}

func (n *network) stop() {
	for _, e := range n.entries {
		e.cancel()
	}
	n.wg.Wait()
}

// starters counts which entries may start n keys that are born now.
func (n *network) starters(count uint64) map[identity.Incarnation]int {
	out := make(map[identity.Incarnation]int)
	for i := range count {
		key, starters := plainKey(n.c, i), 0
		for name, e := range n.entries {
			if e.MayStart("ayni", key) == nil {
				out[name]++
				starters++
			}
		}
		n.c.Assert(starters <= 1, qt.IsTrue, qt.Commentf("key %d has %d starters", i, starters))
	}
	return out
}

func total(m map[identity.Incarnation]int) (n int) {
	for _, k := range m {
		n += k
	}
	return n
}

func plainKey(c *qt.C, i uint64) identity.Key {
	k := identity.NewTicket("x", time.Now())
	k.UUID[15], k.UUID[14] = byte(i), byte(i>>8)
	parsed, err := identity.Parse(k.UUID.String())
	c.Assert(err, qt.IsNil)
	return parsed
}

// reportAll answers the fences of an entry for every guard that was fenced.
func (e *entry) reportAll(gone identity.Incarnation) {
	e.mu.Lock()
	fences := e.fences
	e.fences = nil
	e.mu.Unlock()
	for _, g := range fences {
		e.GuardReport(g, &wire.FenceReport{Gone: gone})
	}
}

func kindOf(err *errkind.Error) errkind.Kind {
	if err == nil {
		return errkind.None
	}
	return err.Kind
}
