// Package entry implements the entry process: the HTTP API for callers and
// operators, the links to guards and to other entries, and the application of
// configuration changes. Package dispatch places tasks and assembles results,
// package jobs keeps the job records, and the Router decides which entry may start
// a job.
//
// The package may import every other package but guard, ledger and replay.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/jobs"
	"wigeontray/internal/membudget"
	"wigeontray/internal/meter"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// ServiceLimits holds the limits that the configuration sets for the jobs of one
// service.
type ServiceLimits struct {
	Deadline   time.Duration // for submissions without a deadline
	MaxTasks   int           // max. tasks in a job
	DeclaredMs int64         // estimated run time of a task in ms, for submissions without one
	Need       dispatch.Need // for tasks that declare no need of their own
}

// Config provides the current configuration to the entry.
type Config interface {
	// Revision returns the revision of the current snapshot, or 0 before the first
	// one.
	Revision() int64
	// SnapshotForPeers returns the current snapshot to send to other entries, or
	// nil before the first one.
	SnapshotForPeers() *wire.Config
	// SnapshotForGuard returns the snapshot to send to guards of a service, and the
	// encoded record of that service, which is the only part that the guard itself
	// reads. Both are nil before the first snapshot.
	SnapshotForGuard(service string) (c *wire.Config, serviceRecord []byte)
	// ReceiveFromPeer and ReceiveFromGuard handle a configuration sent by another
	// process. A snapshot that is not newer is ignored. One that is malformed or
	// cannot be authenticated is rejected and counted.
	ReceiveFromPeer(c *wire.Config)
	ReceiveFromGuard(c *wire.Config)
	// GuardKeys returns the hashes of a member's guard keys; known is false if the
	// current configuration has no record of the member.
	GuardKeys(member string) (keys []record.TokenHash, known bool)
	// MemberForToken returns the member that a bearer token belongs to.
	MemberForToken(token string) (name string, ok bool)
	// CheckRegion returns a WrongRegion error if the member is served in another
	// region.
	CheckRegion(member string) *errkind.Error
	// Resolve returns the service that a submission is for, and its limits.
	Resolve(member string, s *submission) (service string, limits ServiceLimits, err *errkind.Error)
	// Policy returns the dispatch policy of a service.
	Policy(service string) dispatch.Policy
	// Watch calls f after each change of the snapshot, one call at a time, until
	// ctx ends.
	Watch(ctx context.Context, f func())
}

// Options configures a Server. Limits that are zero take their defaults.
type Options struct {
	ID           identity.Incarnation
	Domain       string
	FleetKey     string // accepted from guards whose member has no guard keys of its own
	Software     string
	MaxBodyBytes int64 // max. size of a submission, in bytes
	// MaxOpenRequests and MaxOpenBytes limit the open requests of one member and the
	// total size of their bodies.
	MaxOpenRequests int
	MaxOpenBytes    int64
	MaxGuardSlots   int           // max. slots that one guard may report
	MaxDeadline     time.Duration // longest deadline of a job
	Jobs            jobs.Limits
	Memory          *membudget.Budget // for unfinished jobs; nil for no limit
	Seed            uint64
	Config          Config
	Router          Router
	Metrics         *telemetry.Registry
	Log             *log.Logger
	// Records serves the record API for operators, if set.
	Records http.Handler
	// OnConfigChange is called after a new snapshot has been applied, if set.
	OnConfigChange func()
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes    = 4 << 20
	DefaultMaxOpenRequests = 4000
	DefaultMaxOpenBytes    = 64 << 20
	DefaultMaxGuardSlots   = 1024
	DefaultMaxDeadline     = time.Minute
)

func (o *Options) setDefaults() {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxOpenRequests == 0 {
		o.MaxOpenRequests = DefaultMaxOpenRequests
	}
	if o.MaxOpenBytes == 0 {
		o.MaxOpenBytes = DefaultMaxOpenBytes
	}
	if o.MaxGuardSlots == 0 {
		o.MaxGuardSlots = DefaultMaxGuardSlots
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = DefaultMaxDeadline
	}
	if o.Jobs == (jobs.Limits{}) {
		o.Jobs = jobs.DefaultLimits()
	}
}

// Server is one entry. Its handlers are safe for concurrent use.
type Server struct {
	opts          Options
	id            identity.Incarnation
	config        Config
	router        Router
	registry      *jobs.Registry
	links         *linkTable // links of verified guards
	openLinks     openLinkSet
	dispatchers   sync.Map // service name to *dispatcher; each key is written once
	dispatchersMu sync.Mutex
	// announceMu serialises the return of a guard with the decision to stop waiting
	// for it. Lock order: announceMu, then the router's lock, then those of links
	// and dispatchers.
	announceMu sync.Mutex
	// configSendMu serialises the sending of configurations to guards, so that a
	// guard that links during a change still receives it. Lock order: configSendMu,
	// then links.
	configSendMu     sync.Mutex
	metrics          *telemetry.Registry
	log              *log.Logger
	traffic          *wire.Traffic
	draining         atomic.Bool  // new jobs are refused
	notReady         atomic.Bool  // reports not ready, but still serves requests
	waiters          atomic.Int64 // requests of callers in progress
	requestUsage     usageTable   // open requests of callers
	recordWriteUsage usageTable   // writes to the record API in progress

	ctx       context.Context // cancelled by Close
	cancelCtx context.CancelFunc
}

// New returns a server that is ready to accept links and requests.
func New(o Options) *Server {
	o.setDefaults()
	s := &Server{
		opts: o, id: o.ID, config: o.Config, router: o.Router,
		registry: jobs.New(o.Jobs), links: newLinkTable(),
		openLinks: openLinkSet{links: make(map[*guardLink]struct{})},
		metrics:   o.Metrics, log: o.Log, traffic: new(wire.Traffic),
	}
	s.ctx, s.cancelCtx = context.WithCancel(context.Background())
	s.registerMetrics()
	go s.config.Watch(s.ctx, s.configChanged)
	go s.watchEntries(s.ctx)
	return s
}

// registerMetrics registers the gauges and counters whose values are read from
// other components.
func (s *Server) registerMetrics() {
	m := s.metrics
	m.ReadCounter(telemetry.FramesOut, s.traffic.FramesOut.Load)
	m.ReadCounter(telemetry.FramesIn, s.traffic.FramesIn.Load)
	m.ReadCounter(telemetry.BytesOut, s.traffic.BytesOut.Load)
	m.ReadCounter(telemetry.BytesIn, s.traffic.BytesIn.Load)
	m.ReadGauge(telemetry.Waiters, s.waiters.Load)
	m.ReadGauge(telemetry.ConfigRevision, func() int64 { return s.config.Revision() })
	m.ReadGauge(telemetry.Peers, func() int64 { return int64(len(s.router.Roster().Linked)) })
	m.ReadGauge(telemetry.RosterVersion, func() int64 { return s.router.Roster().Version })
	m.ReadGauge(telemetry.Guards, func() int64 { return int64(len(s.links.guardHellos())) })
	m.ReadGauge(telemetry.JobsHeld, func() int64 { held, _ := s.registry.Count(); return int64(held) })
	m.ReadGauge(telemetry.JobsOpen, func() int64 { _, open := s.registry.Count(); return int64(open) })
	m.ReadGauge(telemetry.Ready, func() int64 {
		if s.Ready() {
			return 1
		}
		return 0
	})
}

// dispatcher returns the dispatcher of a service, and creates it on first use.
func (s *Server) dispatcher(service string) *dispatcher {
	if d, ok := s.dispatchers.Load(service); ok {
		return d.(*dispatcher)
	}
	s.dispatchersMu.Lock()
	defer s.dispatchersMu.Unlock()
	if d, ok := s.dispatchers.Load(service); ok {
		return d.(*dispatcher)
	}
	d := newDispatcher(service, s.id, meter.Wrap(dispatch.New(service, s.policy(service), s.opts.Seed), s.metrics), s.finishJob)
	s.dispatchers.Store(service, d)
	return d
}

func (s *Server) forEachDispatcher(visit func(d *dispatcher)) {
	s.dispatchers.Range(func(_, v any) bool {
		visit(v.(*dispatcher))
		return true
	})
}

// policy returns the configured policy of a service, completed with the number of
// entries and this entry's failure domain.
func (s *Server) policy(service string) dispatch.Policy {
	p := s.config.Policy(service)
	p.Entries = max(len(s.router.Entries()), 1)
	p.Domain = s.opts.Domain
	return p
}

// configChanged applies a new snapshot and sends it to the guards. Links are
// verified first, because a guard whose key was removed must not receive anything
// more.
func (s *Server) configChanged() {
	s.reverifyLinks()
	s.Reconfigure()
	s.metrics.Inc(telemetry.ConfigsApplied)
	s.sendChangedConfig()
	if s.opts.OnConfigChange != nil {
		s.opts.OnConfigChange()
	}
}

// Reconfigure applies the dispatch policies again after a change of the
// configuration or of the number of entries.
func (s *Server) Reconfigure() {
	s.forEachDispatcher(func(d *dispatcher) { d.configure(s.policy(d.service)) })
}

// Ready reports whether the load balancer should send requests here: a
// configuration has been applied and shutdown has not begun.
func (s *Server) Ready() bool { return !s.notReady.Load() && s.config.Revision() > 0 }

// SetNotReady makes the entry report not ready. It continues to serve all requests,
// so that none is refused before the load balancer has noticed.
func (s *Server) SetNotReady() { s.notReady.Store(true) }

// Drain refuses new jobs and waits until all open jobs are answered or ctx ends.
// Resubmissions and fetches are still answered.
func (s *Server) Drain(ctx context.Context) error {
	s.notReady.Store(true)
	s.draining.Store(true)
	const pollInterval = 20 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if _, open := s.registry.Count(); open == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes all links. Jobs that are still open are not answered by this entry.
func (s *Server) Close() {
	s.cancelCtx()
	s.links.broadcast(&wire.Frame{StopNotice: &wire.StopNotice{Reason: "entry stops"}})
	s.links.close()
	s.forEachDispatcher((*dispatcher).close)
}

// Guards returns the Hello messages of the linked guards.
func (s *Server) Guards() []*wire.Hello { return s.links.guardHellos() }

// InnerHandler accepts links from guards.
func (s *Server) InnerHandler() http.Handler { return http.HandlerFunc(s.serveGuard) }

// UsableGuards returns the number of guards that tasks can be sent to.
func (s *Server) UsableGuards() int {
	n := 0
	s.forEachDispatcher(func(d *dispatcher) { n += len(d.guardHellos()) })
	return n
}
