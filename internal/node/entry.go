// Package node assembles a process: an entry from its settings, a guard from
// its settings, or a complete system in one process for the quickstart. It is
// responsible only for the order of startup and shutdown.
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
	"wigeontray/internal/limitwatch"
	"wigeontray/internal/membudget"
	"wigeontray/internal/pause"
	"wigeontray/internal/peers"
	"wigeontray/internal/proclimit"
	"wigeontray/internal/record"
	"wigeontray/internal/roster"
	"wigeontray/internal/settings"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// lameDuckDelay is how long a stopping entry still accepts requests after it
// reports not ready. Load balancers probe about once a second; a shorter delay
// would refuse requests that a balancer sent before it noticed.
const lameDuckDelay = 3 * time.Second

// flushDelay is the time at the end of a shutdown in which responses and stop
// notices are sent. It also limits the stop of the listeners.
const flushDelay = 200 * time.Millisecond

// errFenced is returned by Run when a roster has declared this entry gone.
var errFenced = errors.New("the roster declared this entry gone")

// Entry is an entry process.
type Entry struct {
	cfg     *settings.Entry
	log     *log.Logger
	metrics *telemetry.Registry
	sync    *confsync.Sync
	server  *entry.Server
	router  *entry.PeerRouter
	fenced  chan struct{} // closed when a roster declared this entry gone

	limits proclimit.Process
	budget *membudget.Budget // for the requests of all listeners

	callers, inner, admin *httpserve.Server
	// SkipLameDuck makes a shutdown skip the lame duck delay and the roster. It
	// is for the quickstart, which has no load balancer and whose store ends
	// with the process.
	SkipLameDuck bool
}

// NewEntry opens the listeners and builds an entry. transport replaces the
// network transport to the store; nil means the default.
func NewEntry(cfg *settings.Entry, transport http.RoundTripper, logs io.Writer) (*Entry, error) {
	logger, err := telemetry.NewLogger(cfg.Log.Format, cfg.Log.Level, logs)
	if err != nil {
		return nil, err
	}
	key, err := cfg.Fleet.Key()
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	setMemoryLimit(cfg.Limits.Memory)
	setGCPercent()
	limits, budget, err := newProcessLimits(cfg.Limits.Memory, cfg.Limits.Descriptors)
	if err != nil {
		return nil, err
	}
	e := &Entry{cfg: cfg, log: logger, metrics: telemetry.New(), fenced: make(chan struct{}), limits: limits, budget: budget}
	limitwatch.Start(budget, e.metrics, logger)
	registry := e.metrics.GoMetrics()
	kv := store.NewEtcd(store.Options{
		Endpoints: cfg.Store.Endpoints, Timeout: cfg.Store.Timeout,
		CallsPerSecond: float64(cfg.Store.CallsPerSecond), Registry: registry, Transport: transport,
	})
	sealer, err := newSealer(cfg)
	if err != nil {
		return nil, err
	}
	e.sync = confsync.New(confsync.Options{
		Store: kv, Registry: registry, Logger: logger, VerifyInterval: cfg.Store.VerifyEvery, Sealer: sealer,
	})
	if err := e.listen(kv, key, registry); err != nil {
		return nil, errors.Join(err, e.closeListeners())
	}
	return e, nil
}

// newSealer returns the Sealer for configuration that is relayed by guards, or
// nil without a key.
func newSealer(cfg *settings.Entry) (*record.Sealer, error) {
	key, err := cfg.ConfigKey()
	if err != nil || key == "" {
		return nil, err
	}
	return record.NewSealer(key)
}

// listen builds the server and opens its three listeners. The inner listener is
// opened first because its address is advertised to peers.
func (e *Entry) listen(kv store.Store, key string, registry metrics.Registry) error {
	inner := http.NewServeMux()
	innerTLS, err := e.cfg.TLS.Server(true)
	if err != nil {
		return err
	}
	if e.inner, err = httpserve.Listen(e.cfg.Inner, inner, innerTLS, e.limitsFor(proclimit.Links, httpserve.DefaultLimits())); err != nil {
		return err
	}
	self := wire.EntryAddr{
		Incarnation: identity.NewIncarnation(e.cfg.Name),
		Inner:       advertisedAddr(e.cfg, e.inner.Addr()),
		Domain:      e.cfg.FailureDomain,
	}
	if err := e.buildServer(self, kv, key, registry); err != nil {
		return err
	}
	inner.Handle(wire.GuardPath, e.server.InnerHandler())
	inner.Handle(wire.PeerPath, e.router.Handler())
	callersTLS, err := e.cfg.TLS.Server(false)
	if err != nil {
		return err
	}
	if e.callers, err = httpserve.Listen(e.cfg.Callers, e.server.Handler(), callersTLS, e.callerHTTPLimits()); err != nil {
		return err
	}
	e.metrics.ReadCounter(telemetry.HandshakesFailed, func() int64 {
		return e.inner.HandshakesFailed() + e.callers.HandshakesFailed()
	})
	e.admin, err = httpserve.Listen(e.cfg.Admin, e.server.AdminHandler(), nil, e.limitsFor(proclimit.Internal, httpserve.DefaultLimits()))
	return err
}

// buildServer creates the router and the server and connects them to each
// other.
func (e *Entry) buildServer(self wire.EntryAddr, kv store.Store, key string, registry metrics.Registry) error {
	dialTLS, err := e.cfg.TLS.Client()
	if err != nil {
		return err
	}
	config := entry.NewSyncedConfig(e.sync, e.cfg.Region)
	traffic := new(wire.Traffic)
	router, bind := entry.NewPeerRouter(peers.Options{
		Self: self, Region: e.cfg.Region, Key: key, Store: kv, Seeds: e.cfg.Peers,
		Roster:   e.rosterOptions(),
		Dial:     dialPeer(dialTLS, traffic),
		OnGone:   func(p identity.Incarnation) { e.log.Warn("entry declared gone", "entry", p) },
		OnFenced: func() { close(e.fenced) },
		Registry: registry, Log: e.log, Traffic: traffic,
	})
	e.router = router
	recordsHandler, err := e.recordsHandler()
	if err != nil {
		return err
	}
	e.server = entry.New(entry.Options{
		ID: self.Incarnation, Domain: self.Domain, FleetKey: key, Software: telemetry.Version,
		MaxBodyBytes: e.limits.MaxBody(e.cfg.Limits.MaxBodyBytes), MaxOpenRequests: e.maxOpenRequests(), MaxOpenBytes: e.cfg.Limits.MaxOpenBytes,
		Jobs: e.jobLimits(), Memory: e.budget, Seed: rand.Uint64(),
		Config: config, Router: router, Metrics: e.metrics, Log: e.log, Records: recordsHandler,
		OnConfigChange: router.ConfigChanged,
	})
	bind(e.server)
	return nil
}

// rosterOptions keeps roster versions for longer than any job is retained. An
// identity created under a discarded version could not be answered from the
// record.
func (e *Entry) rosterOptions() roster.Options {
	return roster.Options{
		CeilingLead: e.cfg.Roster.Ceiling,
		Retention:   max(roster.DefaultRetention, 2*e.cfg.Limits.Retention),
	}
}

// dialPeer returns a function that opens links to other entries, with TLS if it
// is configured.
func dialPeer(tlsConfig *tls.Config, traffic *wire.Traffic) func(context.Context, wire.EntryAddr) (wire.Link, error) {
	scheme := "ws"
	if tlsConfig != nil {
		scheme = "wss"
	}
	client := wire.NewClient(tlsConfig)
	return func(ctx context.Context, to wire.EntryAddr) (wire.Link, error) {
		return wire.Dial(ctx, scheme+"://"+to.Inner+wire.PeerPath, client, traffic)
	}
}

// advertisedAddr returns the address at which other processes reach the inner
// listener: AdvertiseInner, or the listener's own address if AdvertiseInner is
// empty or equal to Inner, whose port may be 0.
func advertisedAddr(cfg *settings.Entry, listenAddr string) string {
	if cfg.AdvertiseInner != "" && cfg.AdvertiseInner != cfg.Inner {
		return cfg.AdvertiseInner
	}
	return listenAddr
}

func (e *Entry) callerHTTPLimits() httpserve.Limits {
	l := httpserve.DefaultLimits()
	l.HeaderTimeout = e.cfg.Limits.HeaderTimeout
	l.BodyTimeout = e.cfg.Limits.BodyTimeout
	l.IdleTimeout = e.cfg.Limits.IdleTimeout
	l.ResponseTimeout = e.cfg.Limits.ResponseTimeout
	l.MaxConnections = int(e.cfg.Limits.MaxConnections)
	return e.limitsFor(proclimit.Callers, l)
}

// limitsFor lowers limits to what the process's memory and descriptors allow for a listener.
func (e *Entry) limitsFor(use proclimit.Use, l httpserve.Limits) httpserve.Limits {
	return l.Within(e.limits.Listener(use, l.MaxConnections), e.budget)
}

// memberConnectionPercent is how much of the callers' connections the requests of one member may occupy.
const memberConnectionPercent = 40

// maxOpenRequests returns the limit on one member's open requests, which leaves connections to the other members.
func (e *Entry) maxOpenRequests() int {
	connections := e.callerHTTPLimits().MaxConnections
	return max(1, min(int(e.cfg.Limits.MaxOpenRequests), connections*memberConnectionPercent/100))
}

func (e *Entry) jobLimits() jobs.Limits {
	l := jobs.DefaultLimits()
	l.Retention = e.cfg.Limits.Retention
	l.MaxAnswerBytes = min(e.cfg.Limits.MaxAnswerBytes, e.limits.Memory/answersDivisor)
	l.MaxRecords = int(min(e.cfg.Limits.MaxRecords, e.limits.Memory/recordsDivisor/jobRecordBytes))
	return l
}

// Parts of the memory for the finished jobs of one member.
const (
	answersDivisor = 16
	recordsDivisor = 8
	jobRecordBytes = 512
)

// Addrs returns the listen addresses for callers, guards and operators.
func (e *Entry) Addrs() (callers, inner, admin string) {
	return e.callers.Addr(), e.inner.Addr(), e.admin.Addr()
}

// Server returns the entry's server.
func (e *Entry) Server() *entry.Server { return e.server }

// Run serves until ctx ends and then stops gracefully. It returns an error if a
// listener failed, if the entry was fenced, or if the stop aborted requests.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serveErrs := make(chan error, 3)
	for _, s := range []*httpserve.Server{e.callers, e.inner, e.admin} {
		go func() { serveErrs <- s.Serve() }()
	}
	go func() { _ = e.sync.Run(runCtx) }()
	go e.router.Run(runCtx)
	e.log.Info("limits", "connections", e.callerHTTPLimits().MaxConnections, "content_bytes", e.budget.Stats().Capacity)
	e.log.Info("entry serves", "callers", e.callers.Addr(), "inner", e.inner.Addr(), "admin", e.admin.Addr())
	select {
	case <-ctx.Done():
		return e.shutdown()
	case <-e.fenced:
		// This incarnation must not start anything any more. Run returns so
		// that the platform starts a new incarnation.
		e.server.Close()
		return errors.Join(errFenced, e.closeListeners())
	case err := <-serveErrs:
		e.server.Close()
		return errors.Join(err, e.closeListeners())
	}
}

// shutdown stops the entry gracefully. While all requests are still served, the
// load balancer and the roster move new work to other entries. Then new jobs
// are refused and open ones finish. Connections close last.
func (e *Entry) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), lameDuckDelay+rosterLeaveTimeout+e.cfg.Limits.DrainTimeout)
	defer cancel()
	e.log.Info("entry is shutting down")
	e.server.SetNotReady()
	if !e.SkipLameDuck {
		rosterDone := make(chan struct{})
		go func() { e.leaveRoster(ctx); close(rosterDone) }()
		pause.For(ctx, lameDuckDelay)
		<-rosterDone
	}
	err := e.server.Drain(ctx)
	if err != nil {
		err = fmt.Errorf("shutdown aborted open jobs: %w", err)
	}
	err = errors.Join(err, e.callers.Stop(ctx))
	e.server.Close()
	pause.For(ctx, flushDelay)
	e.log.Info("entry stopped")
	return errors.Join(err, e.closeListeners())
}

// rosterLeaveTimeout bounds how long a stopping entry waits to be removed from
// the roster. Removal takes about six seconds and does not happen while the
// store is down.
const rosterLeaveTimeout = 10 * time.Second

// leaveRoster removes this entry from the roster while it still accepts new
// jobs. If it refused them before a roster without it is in force, callers
// would be refused identities that no other entry may start.
func (e *Entry) leaveRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterLeaveTimeout)
	defer cancel()
	if err := e.router.Leave(ctx); err != nil {
		e.log.Warn("could not leave the roster; other entries will detect the closed links", "err", err)
	}
}

func (e *Entry) closeListeners() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushDelay)
	defer cancel()
	for _, s := range []*httpserve.Server{e.callers, e.inner, e.admin} {
		if s != nil {
			_ = s.Stop(ctx) // does not wait for upgraded connections
		}
	}
	return nil
}
