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
	DefaultMinBackoff     = 100 * time.Millisecond
	DefaultMaxBackoff     = 3 * time.Second
	DefaultVerifyInterval = 2 * time.Second
	maxQueuedBatches      = 16 // batches of a watch waiting to be applied
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
	// MinBackoff and MaxBackoff bound the pause after a failure of the store.
	MinBackoff, MaxBackoff time.Duration
	// VerifyEvery is the time between checks that the watch has left nothing
	// out. A change that a stale watch hides is in force after about this long.
	VerifyEvery time.Duration
	// ResolveTimeout bounds the search for the outcome of a write whose answer
	// was lost; see Put.
	ResolveTimeout time.Duration
}

// latestReader is a store that tells cheaply whether a prefix changed.
type latestReader interface {
	Latest(ctx context.Context, prefix string) (store.Latest, error)
}

// endpointSwitcher is a store with several endpoints.
type endpointSwitcher interface{ NextEndpoint() }

// lastStoreState is what the last call of the store said of it.
type storeState uint32

const (
	storeUnknown storeState = iota
	storeUp
	storeDown
)

// Sync holds the configuration in force.
type Sync struct {
	opts            Options
	current         atomic.Pointer[record.Snapshot]
	ready           chan struct{} // closed once a snapshot was obtained
	lastStoreState  atomic.Uint32 // a lastStoreState
	encodedSnapshot atomic.Pointer[encodedSnapshot]
	// following tells that Run keeps the snapshot fresh.
	isRunning atomic.Bool

	mu          sync.Mutex // guards changes of current, and what follows
	subscribers map[int]chan struct{}
	nextID      int
}

// New makes a Sync that has no configuration yet; Run or Offer brings one.
func New(opts Options) *Sync {
	setDefault(&opts.MinBackoff, DefaultMinBackoff)
	setDefault(&opts.MaxBackoff, DefaultMaxBackoff)
	setDefault(&opts.VerifyEvery, DefaultVerifyInterval)
	setDefault(&opts.ResolveTimeout, DefaultResolveTimeout)
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	return &Sync{
		opts: opts, ready: make(chan struct{}), subscribers: map[int]chan struct{}{},
	}
}

func setDefault(d *time.Duration, defaultValue time.Duration) {
	if *d <= 0 {
		*d = defaultValue
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

// IsStoreUp tells whether the store answered last time.
func (s *Sync) IsStoreUp() bool { return storeState(s.lastStoreState.Load()) == storeUp }

// storeDown tells whether the store gave no answer last time.
func (s *Sync) storeDown() bool { return storeState(s.lastStoreState.Load()) == storeDown }

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
	previous := s.current.Load()
	if previous != nil && snap.Revision <= previous.Revision {
		return false
	}
	s.setCurrent(snap)
	return true
}

// adoptFallbacks takes from an offer that is not newer the records which this process
// cannot read in the store and has no earlier form of.
func (s *Sync) adoptFallbacks(encoded []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, changed := s.current.Load().AdoptFallbacks(encoded)
	if changed {
		s.setCurrent(snap)
	}
	return changed
}

// setCurrent puts snap in force and tells the subscribers. The caller holds mu.
func (s *Sync) setCurrent(snap *record.Snapshot) {
	if s.current.Swap(snap) == nil {
		close(s.ready)
	}
	s.reportInstalled(snap)
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default: // one is waiting already
		}
	}
}

func (s *Sync) reportInstalled(snap *record.Snapshot) {
	s.setGauge("revision", snap.Revision)
	s.setGauge("records", int64(snap.Len()))
	rejected := snap.Rejected()
	s.setGauge("records_rejected", int64(len(rejected)))
	var tooNew int64
	for _, r := range rejected {
		if r.TooNew {
			tooNew++
		}
	}
	s.setGauge("records_too_new", tooNew)
	s.opts.Logger.Info("configuration in force", "revision", snap.Revision, "records", snap.Len(), "rejected", len(rejected))
}

// Run keeps the snapshot fresh until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	s.isRunning.Store(true)
	defer s.isRunning.Store(false)
	backoff := s.opts.MinBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := s.readAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		s.handleFailure(err)
		if time.Since(start) > s.opts.MaxBackoff {
			backoff = s.opts.MinBackoff
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, s.opts.MaxBackoff)
	}
	return ctx.Err()
}

// handleFailure counts why following the store ended.
func (s *Sync) handleFailure(err error) {
	switch {
	case errors.Is(err, store.ErrCompacted):
		s.incrementCounter("watch.compacted")
	case errors.Is(err, errWatchStale):
		s.incrementCounter("watch.stale")
		s.switchEndpoint()
	case errors.Is(err, errRevisionWentBack):
		s.handleRevisionWentBack()
	default:
		s.incrementCounter("store.failed")
		s.setStoreState(err)
	}
}

// setStoreState notes how a call of the store went, and logs its going and coming
// back, once each.
func (s *Sync) setStoreState(err error) {
	state := storeUp
	if err != nil {
		state = storeDown
	}
	if previous := storeState(s.lastStoreState.Swap(uint32(state))); previous == state {
		return
	}
	if state == storeUp {
		s.opts.Logger.Info("store answers")
		return
	}
	s.opts.Logger.Warn("store does not answer; the configuration in force stays", "revision", s.Revision(), "err", err)
}

// jitter spreads d over half to all of it, so that entries which lost the
// store together do not come back to it together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func (s *Sync) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("config."+name, s.opts.Registry).Inc(1)
}

func (s *Sync) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge("config."+name, s.opts.Registry).Update(value)
}
