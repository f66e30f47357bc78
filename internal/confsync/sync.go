// Package confsync keeps an entry's configuration in sync with the store and
// writes operators' changes to the store.
//
// An entry uses one immutable record.Snapshot at a time, which readers load from
// an atomic pointer. Snapshots come from the store (a full read, then a watch) and
// from peers and guards (Offer). The snapshot with the higher revision wins,
// whatever its source, so that the configuration never goes back to an older one.
//
// The package may import errkind, record and store.
package confsync

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/pause"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
)

// Default delays and intervals.
const (
	DefaultMinBackoff     = 100 * time.Millisecond
	DefaultMaxBackoff     = 3 * time.Second
	DefaultVerifyInterval = 2 * time.Second
	maxQueuedBatches      = 16 // received from the watch and not applied yet
)

// Options configures a Sync.
type Options struct {
	Store store.Store
	// Registry receives the metrics; nil creates a separate registry.
	Registry metrics.Registry
	// Sealer encrypts snapshots for peers and guards. If it is nil, snapshots are
	// sent unencrypted to peers and not at all to guards.
	Sealer *record.Sealer
	// Logger receives state changes; nil disables logging.
	Logger *log.Logger
	// MinBackoff and MaxBackoff bound the delay after a failure of the store.
	MinBackoff, MaxBackoff time.Duration
	// VerifyInterval is the interval of the checks that the watch has not missed a
	// change. A change missed by a stale watch is applied after about this time.
	VerifyInterval time.Duration
	// ResolveTimeout bounds how long a write whose response was lost is resolved
	// and retried; see Put.
	ResolveTimeout time.Duration
}

// prefixStateReader is a store that can return the state of a prefix cheaply.
type prefixStateReader interface {
	PrefixState(ctx context.Context, prefix string) (store.PrefixState, error)
}

// endpointSwitcher is a store with several endpoints.
type endpointSwitcher interface{ NextEndpoint() }

// storeState is the result of the last call to the store.
type storeState uint32

const (
	storeUnknown storeState = iota
	storeUp
	storeDown
)

// Sync holds the current configuration snapshot and updates it.
type Sync struct {
	opts            Options
	current         atomic.Pointer[record.Snapshot]
	ready           chan struct{} // closed when the first snapshot is installed
	lastStoreState  atomic.Uint32 // a storeState
	encodedSnapshot atomic.Pointer[encodedSnapshot]
	// isRunning is set while Run keeps the snapshot up to date.
	isRunning atomic.Bool

	mu          sync.Mutex // guards writes to current, and the fields below
	subscribers map[int]chan struct{}
	nextID      int
}

// New returns a Sync without a configuration; Run or Offer obtains the first one.
func New(opts Options) *Sync {
	setDefault(&opts.MinBackoff, DefaultMinBackoff)
	setDefault(&opts.MaxBackoff, DefaultMaxBackoff)
	setDefault(&opts.VerifyInterval, DefaultVerifyInterval)
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

// Current returns the current snapshot; nil until Ready.
func (s *Sync) Current() *record.Snapshot { return s.current.Load() }

// Ready reports whether a configuration was obtained. Until then an entry must not
// serve requests: with an empty configuration it would reject every caller as
// unknown, and peers or guards would take the empty configuration for the
// operators'.
func (s *Sync) Ready() bool { return s.current.Load() != nil }

// ReadyC returns a channel that is closed when Ready becomes true.
func (s *Sync) ReadyC() <-chan struct{} { return s.ready }

// IsStoreUp reports whether the last call to the store succeeded.
func (s *Sync) IsStoreUp() bool { return storeState(s.lastStoreState.Load()) == storeUp }

// storeDown reports whether the last call to the store failed.
func (s *Sync) storeDown() bool { return storeState(s.lastStoreState.Load()) == storeDown }

// Revision returns the revision of the current snapshot, 0 until Ready.
func (s *Sync) Revision() int64 {
	if snap := s.current.Load(); snap != nil {
		return snap.Revision
	}
	return 0
}

// Subscribe returns a channel that receives a value after the snapshot changes, and
// a function that ends the subscription. Changes that occur before the receive are
// merged into one value.
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

// install makes snap current if it is newer than the current snapshot. It reports
// whether it did.
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

// adoptFallbacks takes fallback records from a peer's snapshot that is not newer,
// for the records that this process cannot read and has no accepted version of. It
// reports whether the configuration changed.
func (s *Sync) adoptFallbacks(encoded []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, changed := s.current.Load().AdoptFallbacks(encoded)
	if changed {
		s.setCurrent(snap)
	}
	return changed
}

// setCurrent makes snap current and notifies the subscribers. The caller holds mu.
func (s *Sync) setCurrent(snap *record.Snapshot) {
	if s.current.Swap(snap) == nil {
		close(s.ready)
	}
	s.reportInstalled(snap)
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default: // a notification is already pending
		}
	}
}

func (s *Sync) reportInstalled(snap *record.Snapshot) {
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
	s.opts.Logger.Info("configuration in force", "revision", snap.Revision, "records", snap.Len(), "rejected", len(rejected))
}

// Run keeps the snapshot up to date until ctx ends.
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
		pause.For(ctx, pause.Jitter(backoff))
		backoff = min(2*backoff, s.opts.MaxBackoff)
	}
	return ctx.Err()
}

// handleFailure counts why readAndWatch ended, and switches the endpoint if it may
// lag or hang.
func (s *Sync) handleFailure(err error) {
	switch {
	case errors.Is(err, store.ErrCompacted):
		s.count("watch.compacted")
	case errors.Is(err, errWatchStale):
		s.count("watch.stale")
		s.switchEndpoint()
	case errors.Is(err, errRevisionWentBack):
		s.handleRevisionWentBack()
	default:
		s.count("store.failed")
		s.setStoreState(err)
	}
}

// setStoreState stores the result of a call to the store, and logs each change
// between available and unavailable once.
func (s *Sync) setStoreState(err error) {
	state := storeUp
	if err != nil {
		state = storeDown
	}
	if previous := storeState(s.lastStoreState.Swap(uint32(state))); previous == state {
		return
	}
	if state == storeUp {
		s.opts.Logger.Info("store is reachable")
		return
	}
	s.opts.Logger.Warn("store does not answer; keeping the current configuration", "revision", s.Revision(), "err", err)
}

func (s *Sync) count(name string) {
	metrics.GetOrRegisterCounter("config."+name, s.opts.Registry).Inc(1)
}

func (s *Sync) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge("config."+name, s.opts.Registry).Update(value)
}
