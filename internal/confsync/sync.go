// Package confsync keeps the configuration of an entry fresh and carries out
// the operators' amendments.
//
// An entry obeys one immutable record.Snapshot at a time, which readers load
// from an atomic pointer. Snapshots come from the store (a full read, then a
// watch) and from peers and guards (Offer); the one with the higher revision
// wins, whatever way it comes, so that the configuration never goes back.
//
// The package may import errkind, record and store.
package confsync

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/pause"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// Defaults of the timing.
const (
	DefaultBackoffMin  = 100 * time.Millisecond
	DefaultBackoffMax  = 3 * time.Second
	DefaultVerifyEvery = 2 * time.Second
	batchQueue         = 16 // batches of a watch waiting to be applied
)

// Options of a Sync.
type Options struct {
	Store store.Store
	// Registry takes the counters; nil is a registry of its own.
	Registry metrics.Registry
	// Sealer protects snapshots on their way through peers and guards; nil
	// sends them in the clear to peers and not at all to guards.
	Sealer *record.Sealer
	// Logger takes lines on changes of state; nil is silent.
	Logger *log.Logger
	// BackoffMin and BackoffMax bound the pause after a failure of the store.
	BackoffMin, BackoffMax time.Duration
	// VerifyEvery is the time between checks that the watch has left nothing
	// out. A change that a stale watch hides is in force after about this long.
	VerifyEvery time.Duration
	// ResolveWithin bounds the search for the outcome of a write whose answer
	// was lost; see Put.
	ResolveWithin time.Duration
}

// prober is a store that tells cheaply whether a prefix changed.
type prober interface {
	Latest(ctx context.Context, prefix string) (store.Latest, error)
}

// rotator is a store with several endpoints.
type rotator interface{ NextEndpoint() }

// storeState is what the last call of the store said of it.
type storeState uint32

const (
	storeUntried storeState = iota
	storeUp
	storeDown
)

// Sync holds the configuration in force.
type Sync struct {
	o       Options
	current atomic.Pointer[record.Snapshot]
	ready   chan struct{} // closed once a snapshot was obtained
	store   atomic.Uint32 // a storeState
	shared  atomic.Pointer[shared]
	// following tells that Run keeps the snapshot fresh.
	following atomic.Bool

	mu          sync.Mutex // guards changes of current, and what follows
	subscribers map[int]chan struct{}
	nextID      int
}

// New makes a Sync that has no configuration yet; Run or Offer brings one.
func New(o Options) *Sync {
	setDefault(&o.BackoffMin, DefaultBackoffMin)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.VerifyEvery, DefaultVerifyEvery)
	setDefault(&o.ResolveWithin, DefaultResolveWithin)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	return &Sync{
		o: o, ready: make(chan struct{}), subscribers: map[int]chan struct{}{},
	}
}

func setDefault(d *time.Duration, standard time.Duration) {
	if *d <= 0 {
		*d = standard
	}
}

// Current gives the snapshot in force; nil until Ready.
func (s *Sync) Current() *record.Snapshot { return s.current.Load() }

// Ready tells whether a configuration was obtained. Until then an entry must
// serve nobody: an empty configuration of its own making would refuse callers
// as unknown, and peers or guards would take it for the operators' will.
func (s *Sync) Ready() bool { return s.current.Load() != nil }

// ReadyC is closed when Ready becomes true.
func (s *Sync) ReadyC() <-chan struct{} { return s.ready }

// StoreUp tells whether the store answered last time.
func (s *Sync) StoreUp() bool { return storeState(s.store.Load()) == storeUp }

// storeDown tells whether the store gave no answer last time.
func (s *Sync) storeDown() bool { return storeState(s.store.Load()) == storeDown }

// Revision gives the revision in force, 0 before Ready.
func (s *Sync) Revision() int64 {
	if snap := s.current.Load(); snap != nil {
		return snap.Revision
	}
	return 0
}

// Subscribe returns a channel that holds a value whenever the snapshot changed
// since the last receive, and a function that ends the subscription.
func (s *Sync) Subscribe() (<-chan struct{}, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, c := s.nextID, make(chan struct{}, 1)
	s.nextID++
	s.subscribers[id] = c
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// install puts snap in force if it is newer than what is.
func (s *Sync) install(snap *record.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.Load()
	if before != nil && snap.Revision <= before.Revision {
		return false
	}
	s.replace(snap)
	return true
}

// adopt takes from an offer that is not newer the records which this process
// cannot read in the store and has no earlier form of.
func (s *Sync) adopt(encoded []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, changed := s.current.Load().AdoptHeld(encoded)
	if changed {
		s.replace(snap)
	}
	return changed
}

// replace puts snap in force and tells the subscribers. The caller holds mu.
func (s *Sync) replace(snap *record.Snapshot) {
	if s.current.Swap(snap) == nil {
		close(s.ready)
	}
	s.noteInstalled(snap)
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default: // one is waiting already
		}
	}
}

func (s *Sync) noteInstalled(snap *record.Snapshot) {
	s.gauge("revision", snap.Revision)
	s.gauge("records", int64(snap.Len()))
	rejected := snap.Rejected()
	s.gauge("records_rejected", int64(len(rejected)))
	var tooNew int64
	for _, r := range rejected {
		if r.TooNew {
			tooNew++
		}
	}
	s.gauge("records_too_new", tooNew)
	s.o.Logger.Info("configuration in force", "revision", snap.Revision, "records", snap.Len(), "rejected", len(rejected))
}

// Run keeps the snapshot fresh until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	s.following.Store(true)
	defer s.following.Store(false)
	backoff := s.o.BackoffMin
	for ctx.Err() == nil {
		start := time.Now()
		err := s.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		s.noteFailure(err)
		if time.Since(start) > s.o.BackoffMax {
			backoff = s.o.BackoffMin
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, s.o.BackoffMax)
	}
	return ctx.Err()
}

// noteFailure counts why following the store ended.
func (s *Sync) noteFailure(err error) {
	switch {
	case errors.Is(err, store.ErrCompacted):
		s.count("watch.compacted")
	case errors.Is(err, errStale):
		s.count("watch.stale")
		s.nextEndpoint()
	case errors.Is(err, errPast):
		s.notePast()
	default:
		s.count("store.failed")
		s.noteStore(err)
	}
}

// noteStore notes how a call of the store went, and logs its going and coming
// back, once each.
func (s *Sync) noteStore(err error) {
	now := storeUp
	if err != nil {
		now = storeDown
	}
	if before := storeState(s.store.Swap(uint32(now))); before == now {
		return
	}
	if now == storeUp {
		s.o.Logger.Info("store answers")
		return
	}
	s.o.Logger.Warn("store does not answer; the configuration in force stays", "revision", s.Revision(), "err", err)
}

// jitter spreads d over half to all of it, so that entries which lost the
// store together do not come back to it together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func (s *Sync) count(what string) {
	metrics.GetOrRegisterCounter("config."+what, s.o.Registry).Inc(1)
}

func (s *Sync) gauge(what string, v int64) {
	metrics.GetOrRegisterGauge("config."+what, s.o.Registry).Update(v)
}
