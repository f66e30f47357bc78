// Package node puts the parts of a process together: an entry by its settings,
// a guard by its settings, or everything in one process for the quickstart. It
// owns the order of starting and stopping, and nothing else.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/confsync"
	"wigeontray/internal/entry"
	"wigeontray/internal/httpserve"
	"wigeontray/internal/identity"
	"wigeontray/internal/jobs"
	"wigeontray/internal/pause"
	"wigeontray/internal/peers"
	"wigeontray/internal/record"
	"wigeontray/internal/roster"
	"wigeontray/internal/settings"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// lameDuck is how long a stopping entry goes on taking requests after it has
// become not ready. Balancers probe about once a second; a shorter time would
// refuse requests that were sent here in good faith.
const lameDuck = 3 * time.Second

// flushTime lets answers and goodbyes reach the wire before links close.
const flushTime = 200 * time.Millisecond

// errFenced ends an entry that the others have declared gone.
var errFenced = errors.New("the roster declared this entry gone")

// Entry is an entry process.
type Entry struct {
	set     *settings.Entry
	log     *log.Logger
	metrics *telemetry.Registry
	sync    *confsync.Sync
	server  *entry.Server
	router  *entry.PeerRouter
	fenced  chan struct{} // closed when a roster declared this entry gone

	callers, inner, admin *httpserve.Server
	// Abrupt makes a stop skip the lame duck and the roster: for the quickstart,
	// which has no balancer and whose store ends with it.
	Abrupt bool
}

// NewEntry opens the listeners and builds an entry. transport replaces the
// network towards the store; nil for the usual one.
func NewEntry(set *settings.Entry, transport http.RoundTripper, logs io.Writer) (*Entry, error) {
	logger, err := telemetry.NewLogger(set.Log.Format, set.Log.Level, logs)
	if err != nil {
		return nil, err
	}
	key, err := set.Fleet.Key()
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	limitMemory(set.Limits.Memory)
	collectEarly()
	e := &Entry{set: set, log: logger, metrics: telemetry.New(), fenced: make(chan struct{})}
	registry := e.metrics.GoMetrics()
	kv := store.NewEtcd(store.Options{
		Endpoints: set.Store.Endpoints, Timeout: set.Store.Timeout,
		CallsPerSecond: float64(set.Store.CallsPerSecond), Registry: registry, Transport: transport,
	})
	sealer, err := newSealer(set)
	if err != nil {
		return nil, err
	}
	e.sync = confsync.New(confsync.Options{
		Store: kv, Registry: registry, Logger: logger, VerifyEvery: set.Store.VerifyEvery, Sealer: sealer,
	})
	if err := e.listen(kv, key, registry); err != nil {
		return nil, errors.Join(err, e.closeListeners())
	}
	return e, nil
}

// newSealer makes what seals the configuration on its way through guards; nil
// without a key.
func newSealer(set *settings.Entry) (*record.Sealer, error) {
	key, err := set.ConfigKey()
	if err != nil || key == "" {
		return nil, err
	}
	return record.NewSealer(key)
}

// listen builds the server and opens its three listeners. The inner address is
// opened first, as peers are told of it.
func (e *Entry) listen(kv store.Store, key string, registry metrics.Registry) error {
	inner := http.NewServeMux()
	innerTLS, err := e.set.TLS.Server(true)
	if err != nil {
		return err
	}
	if e.inner, err = httpserve.Listen(e.set.Inner, inner, innerTLS, httpserve.DefaultLimits()); err != nil {
		return err
	}
	self := wire.EntryAddr{
		Incarnation: identity.NewIncarnation(e.set.Name),
		Inner:       advertised(e.set, e.inner.Addr()),
		Domain:      e.set.FailureDomain,
	}
	if err := e.build(self, kv, key, registry); err != nil {
		return err
	}
	inner.Handle(wire.GuardPath, e.server.InnerHandler())
	inner.Handle(wire.PeerPath, e.router.Handler())
	callersTLS, err := e.set.TLS.Server(false)
	if err != nil {
		return err
	}
	if e.callers, err = httpserve.Listen(e.set.Callers, e.server.Handler(), callersTLS, e.callerLimits()); err != nil {
		return err
	}
	e.metrics.ReadCounter(telemetry.HandshakesFailed, func() int64 {
		return e.inner.HandshakesFailed() + e.callers.HandshakesFailed()
	})
	e.admin, err = httpserve.Listen(e.set.Admin, e.server.AdminHandler(), nil, httpserve.DefaultLimits())
	return err
}

// build makes the router and the server and ties them to each other.
func (e *Entry) build(self wire.EntryAddr, kv store.Store, key string, registry metrics.Registry) error {
	dialTLS, err := e.set.TLS.Client()
	if err != nil {
		return err
	}
	config := entry.NewSyncedConfig(e.sync, e.set.Region)
	traffic := new(wire.Traffic)
	router, bind := entry.NewPeerRouter(peers.Options{
		Self: self, Region: e.set.Region, Key: key, Store: kv, Seeds: e.set.Peers,
		Roster:   e.rosterOptions(),
		Dial:     dialPeer(dialTLS, traffic),
		OnGone:   func(p identity.Incarnation) { e.log.Warn("entry declared gone", "entry", p) },
		OnFenced: func() { close(e.fenced) },
		Registry: registry, Log: e.log, Traffic: traffic,
	})
	e.router = router
	records, err := e.records()
	if err != nil {
		return err
	}
	e.server = entry.New(entry.Options{
		ID: self.Incarnation, Domain: self.Domain, FleetKey: key, Software: telemetry.Version,
		MaxBody: e.set.Limits.Body, OpenRequests: int(e.set.Limits.OpenRequests), OpenBytes: e.set.Limits.OpenBytes,
		Jobs: e.jobLimits(), Seed: rand.Uint64(),
		Config: config, Router: router, Metrics: e.metrics, Log: e.log, Records: records,
		OnConfig: router.ConfigChanged,
	})
	bind(e.server)
	return nil
}

// rosterOptions keeps roster versions for longer than any job is remembered: a
// birth whose version was forgotten could not be answered from the record.
func (e *Entry) rosterOptions() roster.Options {
	return roster.Options{
		Lead:      e.set.Roster.Ceiling,
		Retention: max(roster.DefaultRetention, 2*e.set.Limits.Retention),
	}
}

// dialPeer opens links to other entries, with TLS if it is configured.
func dialPeer(conf *tls.Config, traffic *wire.Traffic) func(context.Context, wire.EntryAddr) (wire.Link, error) {
	scheme := "ws"
	if conf != nil {
		scheme = "wss"
	}
	client := wire.NewClient(conf)
	return func(ctx context.Context, to wire.EntryAddr) (wire.Link, error) {
		return wire.Dial(ctx, scheme+"://"+to.Inner+wire.PeerPath, client, traffic)
	}
}

// advertised is where others reach the inner listener: the configured address,
// or the one that was opened where the configuration leaves the port open.
func advertised(set *settings.Entry, opened string) string {
	if set.AdvertiseInner != "" && set.AdvertiseInner != set.Inner {
		return set.AdvertiseInner
	}
	return opened
}

func (e *Entry) callerLimits() httpserve.Limits {
	l := httpserve.DefaultLimits()
	l.HeaderTimeout = e.set.Limits.HeaderTimeout
	l.BodyTimeout = e.set.Limits.BodyTimeout
	l.IdleTimeout = e.set.Limits.IdleTimeout
	l.Connections = int(e.set.Limits.Connections)
	return l
}

func (e *Entry) jobLimits() jobs.Limits {
	l := jobs.DefaultLimits()
	l.Retention = e.set.Limits.Retention
	l.AnswerBytes = e.set.Limits.AnswerBytes
	l.Records = int(e.set.Limits.Records)
	return l
}

// Addrs are the opened addresses for callers, guards and operators.
func (e *Entry) Addrs() (callers, inner, admin string) {
	return e.callers.Addr(), e.inner.Addr(), e.admin.Addr()
}

// Server gives the entry's server.
func (e *Entry) Server() *entry.Server { return e.server }

// Run serves until ctx ends and then stops gracefully. It returns an error if
// a listener failed or the stop cut off requests.
func (e *Entry) Run(ctx context.Context) error {
	running, end := context.WithCancel(context.Background())
	defer end()
	failed := make(chan error, 3)
	for _, s := range []*httpserve.Server{e.callers, e.inner, e.admin} {
		go func() { failed <- s.Serve() }()
	}
	go func() { _ = e.sync.Run(running) }()
	go e.router.Run(running)
	e.log.Info("entry serves", "callers", e.callers.Addr(), "inner", e.inner.Addr(), "admin", e.admin.Addr())
	select {
	case <-ctx.Done():
		return e.stop()
	case <-e.fenced:
		// Nothing may be started under this incarnation any more. Ending lets
		// the platform start a new one.
		e.server.Close()
		return errors.Join(errFenced, e.closeListeners())
	case err := <-failed:
		e.server.Close()
		return errors.Join(err, e.closeListeners())
	}
}

// stop is a planned stop. First the balancer and the roster send new work
// elsewhere while all requests are still served; then fresh jobs are refused
// and open ones finish; only then do connections close.
func (e *Entry) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), lameDuck+leavePatience+e.set.Limits.DrainTimeout)
	defer cancel()
	e.log.Info("entry leaves")
	e.server.Leave()
	if !e.Abrupt {
		left := make(chan struct{})
		go func() { e.leaveRoster(ctx); close(left) }()
		pause.For(ctx, lameDuck)
		<-left
	}
	err := e.server.Drain(ctx)
	if err != nil {
		err = fmt.Errorf("stop cut off open jobs: %w", err)
	}
	err = errors.Join(err, e.callers.Stop(ctx))
	e.server.Close()
	pause.For(ctx, flushTime)
	e.log.Info("entry stopped")
	return errors.Join(err, e.closeListeners())
}

// leavePatience is how long a stopping entry waits to be off the roster. It takes
// about six seconds, and does not come about while the store is down.
const leavePatience = 10 * time.Second

// leaveRoster takes this entry off the roster while it still takes fresh jobs.
// If it refused them before a roster without it has begun, the callers would be
// refused identities that no other entry may start.
func (e *Entry) leaveRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePatience)
	defer cancel()
	if err := e.router.Leave(ctx); err != nil {
		e.log.Warn("could not leave the roster; others will notice the end of links", "err", err)
	}
}

func (e *Entry) closeListeners() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	for _, s := range []*httpserve.Server{e.callers, e.inner, e.admin} {
		if s != nil {
			_ = s.Stop(ctx) // upgraded connections are not waited for
		}
	}
	return nil
}
