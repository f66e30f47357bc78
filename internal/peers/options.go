// Package peers connects the entries of a region. It maintains the links between them,
// this entry's registration in the store, and the roster with its promises; it forwards
// requests to their owner and determines the outcome of jobs whose owner is gone.
// Packages roster and recovery make the decisions; this package owns the goroutines,
// connections and store calls.
//
// The package may import errkind, identity, recovery, roster, store and wire.
package peers

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/identity"
	"wigeontray/internal/recovery"
	"wigeontray/internal/roster"
	"wigeontray/internal/store"
	"wigeontray/internal/wire"
)

// Limits and timing of links and store calls.
const (
	tickInterval     = 250 * time.Millisecond
	dialInterval     = time.Second
	dialTimeout      = 3 * time.Second
	helloTimeout     = 3 * time.Second
	storeTimeout     = 5 * time.Second
	storeRetryDelay  = time.Second
	defaultLeaseTTL  = 6 * time.Second
	keepAlivesPerTTL = 3
	// suspectTimeout is how long a link may be down before its peer is suspected.
	suspectTimeout = 2 * time.Second
	// silenceTimeout is how long a member may send no frame. Members promise every
	// second; a frozen one keeps its connection open and would block all plain
	// identities until the link's own ping times out.
	silenceTimeout = 4 * time.Second
	// registrationLossTimeout is how long the registration of a suspected peer must
	// be missing before the peer is reported gone. After a store has lost leases,
	// their holders have this time to register again.
	registrationLossTimeout = 2 * time.Second
	// maxTicketSkew is how far ahead of this entry's clock the birth of one of its
	// own tickets may be. Births lie ahead only if the caller forged the ticket or
	// the clock was set back.
	maxTicketSkew = time.Second
	// leaveMargin is how long a leaving entry continues to serve births that it owns
	// after a roster without it has begun, for callers whose clocks are behind.
	leaveMargin           = time.Second
	maxConcurrentForwards = 20_000 // incoming forwarded requests in progress
)

// Options configures a Peers. Self, Region, Store and OnForward are required.
// OnGuardReady, OnGone, OnFenced and OnConfig are called one at a time, in order,
// from a goroutine of their own.
type Options struct {
	Self   wire.EntryAddr
	Region string
	Key    string // fleet key: a secret shared by all entries
	Store  store.Store
	// LeaseTTL is how long this entry stays registered without a renewal.
	LeaseTTL time.Duration
	// Seeds are optional inner addresses of other entries, for a start while the
	// store is down. They may include this entry's own address.
	Seeds    []string
	Roster   roster.Options
	Recovery recovery.Options

	// Dial opens a link to a peer. The default dials the peer's inner address by
	// WebSocket.
	Dial func(ctx context.Context, to wire.EntryAddr) (wire.Link, error)
	// OnForward serves a request that a peer forwarded. It is called from many
	// goroutines.
	OnForward func(ctx context.Context, from identity.Incarnation, f *wire.Forward) *wire.Forwarded
	// SendToGuard sends a frame to a guard. It may drop the frame if the guard is not
	// linked. It is called while a lock is held and must not call back into Peers.
	SendToGuard func(guard identity.Incarnation, f *wire.Frame)
	// OnGuardReady permits starts at a guard for which GuardUp was called.
	OnGuardReady func(guard identity.Incarnation)
	// OnGone reports that a roster declared a peer permanently gone.
	OnGone func(peer identity.Incarnation)
	// OnFenced reports that a roster declared this entry gone: it starts nothing
	// more, and the process should exit so that it restarts under a new incarnation.
	OnFenced func()
	// Revision returns the configuration revision in force here, Config returns its
	// snapshot, and OnConfig receives a newer one from a peer. Revision and Config
	// are called while a lock is held and must not call back into Peers.
	Revision func() int64
	Config   func() *wire.Config
	OnConfig func(c *wire.Config)

	Registry metrics.Registry
	Log      *log.Logger
	Traffic  *wire.Traffic
}

func (o Options) withDefaults() Options {
	if o.LeaseTTL <= 0 {
		o.LeaseTTL = defaultLeaseTTL
	}
	if o.Dial == nil {
		traffic := o.Traffic
		o.Dial = func(ctx context.Context, to wire.EntryAddr) (wire.Link, error) {
			return wire.Dial(ctx, "ws://"+to.Inner+wire.PeerPath, http.DefaultClient, traffic)
		}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	o.defaultHooks()
	return o
}

func (o *Options) defaultHooks() {
	if o.SendToGuard == nil {
		o.SendToGuard = func(identity.Incarnation, *wire.Frame) {}
	}
	if o.OnGuardReady == nil {
		o.OnGuardReady = func(identity.Incarnation) {}
	}
	if o.OnGone == nil {
		o.OnGone = func(identity.Incarnation) {}
	}
	if o.OnFenced == nil {
		o.OnFenced = func() {}
	}
	if o.Revision == nil {
		o.Revision = func() int64 { return 0 }
	}
	if o.Config == nil {
		o.Config = func() *wire.Config { return nil }
	}
	if o.OnConfig == nil {
		o.OnConfig = func(*wire.Config) {}
	}
}

func (o *Options) count(name string) {
	metrics.GetOrRegisterCounter("peers."+name, o.Registry).Inc(1)
}
