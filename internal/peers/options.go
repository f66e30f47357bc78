// Package peers is the process part of what entries do together: links between
// entries, this entry's registration in the store, the roster and its promises,
// forwarding of requests to their owner, and recovery from entries that are
// gone. The decisions are those of packages roster and recovery; this package
// owns the goroutines, connections and store calls around them.
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

// Timing of links and store calls.
const (
	tickInterval     = 250 * time.Millisecond
	dialInterval     = time.Second
	dialTimeout      = 3 * time.Second
	helloTimeout     = 3 * time.Second
	storeTimeout     = 5 * time.Second
	storeRetryDelay  = time.Second
	defaultLeaseTTL  = 6 * time.Second
	keepAlivesPerTTL = 3
	// suspectTimeout is how long a link may be down before the peer is suspected.
	suspectTimeout = 2 * time.Second
	// silenceTimeout is how long a member may send nothing. Members promise every
	// second; a frozen one keeps its connection open and would stall all plain
	// identities until the link's own ping gives up.
	silenceTimeout = 4 * time.Second
	// registrationLossTimeout is how long a lease must be missing before a suspected peer is
	// declared gone; a store that lost leases gives its holders this time to
	// come back.
	registrationLossTimeout = 2 * time.Second
	// maxTicketSkew is how far ahead of this entry's clock a ticket of its own may
	// be born: none is, unless the caller made it up or the clock was set back.
	maxTicketSkew = time.Second
	// leaveMargin is how long after the beginning of a roster without it a leaving
	// entry still serves what it owns, for callers whose clocks are behind.
	leaveMargin           = time.Second
	maxConcurrentForwards = 20_000 // incoming requests under way
)

// Options configure a Peers. Self, Region, Store and OnForward are required.
// Hooks are called one at a time, in order, from a goroutine of their own.
type Options struct {
	Self   wire.EntryAddr
	Region string
	Key    string // shared key of the fleet
	Store  store.Store
	// LeaseTTL is how long this entry stays registered without renewal.
	LeaseTTL time.Duration
	// Seeds are inner addresses of other entries, for a start while the store is
	// down. They may be left out, and may name this entry.
	Seeds    []string
	Roster   roster.Options
	Recovery recovery.Options

	// Dial opens a link to a peer; nil dials its inner address by WebSocket.
	Dial func(ctx context.Context, to wire.EntryAddr) (wire.Link, error)
	// OnForward serves a request that a peer passed on. It is called from many
	// goroutines.
	OnForward func(ctx context.Context, from identity.Incarnation, f *wire.Forward) *wire.Forwarded
	// ToGuard sends a frame to a linked guard, and may drop it if it is not.
	ToGuard func(guard identity.Incarnation, f *wire.Frame)
	// OnGuardReady allows starts at a guard that was announced by GuardUp.
	OnGuardReady func(guard identity.Incarnation)
	// OnGone tells that a roster declared a peer gone for good.
	OnGone func(peer identity.Incarnation)
	// OnFenced tells that a roster declared this entry gone: it starts nothing
	// more, and the process should end so that a new incarnation takes over.
	OnFenced func()
	// Revision is the configuration in force here, Config its snapshot, and
	// OnConfig takes a newer one from a peer. Revision and Config are called under
	// a lock and must not call back into Peers.
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
	if o.ToGuard == nil {
		o.ToGuard = func(identity.Incarnation, *wire.Frame) {}
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
