// Package entry owns the entry process: callers' and operators' HTTP, links to
// guards and to other entries, and the configuration in force. Decisions are
// made elsewhere: dispatch places and assembles, jobs remembers identities, and
// the Router owns who may start what.
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
	"wigeontray/internal/meter"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// ServiceLimits are what the configuration says of one service's jobs.
type ServiceLimits struct {
	Deadline   time.Duration
	MaxTasks   int
	DeclaredMs int64
	Need       dispatch.Need // of a task that names none
}

// Config is the configuration in force, as the entry needs it.
type Config interface {
	// Revision is that of the snapshot in force; 0 before the first.
	Revision() int64
	// ForPeers is the snapshot in force for other entries; nil before the first.
	ForPeers() *wire.Config
	// ForGuard is what a guard of a service gets, and the part of it that the
	// guard reads, its service's record; nil before the first.
	ForGuard(service string) (c *wire.Config, own []byte)
	// FromPeer and FromGuard take what another process holds; what is not newer
	// or not trustworthy is passed over and counted.
	FromPeer(c *wire.Config)
	FromGuard(c *wire.Config)
	// GuardKeys gives the hashes of a member's guard keys; known is false if the
	// member has no record in force.
	GuardKeys(member string) (keys []record.TokenHash, known bool)
	// Member authenticates a bearer token.
	Member(token string) (name string, ok bool)
	// CheckRegion refuses, with WrongRegion, a member that is served elsewhere.
	CheckRegion(member string) *errkind.Error
	// Resolve finds the service that a submission is for.
	Resolve(member string, s *submission) (service string, limits ServiceLimits, err *errkind.Error)
	// Policy gives the policy of a service.
	Policy(service string) dispatch.Policy
	// Watch calls f after each change of the snapshot, one call at a time, until
	// ctx ends.
	Watch(ctx context.Context, f func())
}

// Options configures a Server. Zero limits take defaults.
type Options struct {
	ID       identity.Incarnation
	Domain   string
	FleetKey string // accepted of guards whose member lists no key of its own
	Software string
	MaxBody  int64 // bytes in a submission
	// OpenRequests and OpenBytes bound one member's open requests and their bodies.
	OpenRequests int
	OpenBytes    int64
	MaxSlots     int           // slots that one guard may claim
	MaxDeadline  time.Duration // longest deadline of a job
	Jobs         jobs.Limits
	Seed         uint64
	Config       Config
	Router       Router
	Metrics      *telemetry.Registry
	Log          *log.Logger
	// Records serves the operators' record API, if set.
	Records http.Handler
	// OnConfig is called after a new snapshot is in force here, if set.
	OnConfig func()
}

// Defaults of Options.
const (
	DefaultMaxBody      = 4 << 20
	DefaultOpenRequests = 4000
	DefaultOpenBytes    = 64 << 20
	DefaultMaxSlots     = 1024
	DefaultMaxDeadline  = time.Minute
)

func (o *Options) setDefaults() {
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.OpenRequests == 0 {
		o.OpenRequests = DefaultOpenRequests
	}
	if o.OpenBytes == 0 {
		o.OpenBytes = DefaultOpenBytes
	}
	if o.MaxSlots == 0 {
		o.MaxSlots = DefaultMaxSlots
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = DefaultMaxDeadline
	}
	if o.Jobs == (jobs.Limits{}) {
		o.Jobs = jobs.DefaultLimits()
	}
}

// Server is one entry. Its handlers may be called from many goroutines.
type Server struct {
	opts     Options
	id       identity.Incarnation
	config   Config
	router   Router
	registry *jobs.Registry
	links    *linkTable // verified guards
	greeted  greetedTable
	lanes    sync.Map // service to *lane; written once a service
	laneMu   sync.Mutex
	// announceMu keeps a guard's return and the decision to give up on it apart.
	// Lock order: announceMu, then the router's own, then those of links and lanes.
	announceMu sync.Mutex
	// shareMu orders what guards are sent of the configuration, so that none is
	// left out that links during a change. Lock order: shareMu, then links.
	shareMu  sync.Mutex
	metrics  *telemetry.Registry
	log      *log.Logger
	traffic  *wire.Traffic
	stopping atomic.Bool // fresh jobs are refused
	leaving  atomic.Bool // not ready, but still serving
	waiters  atomic.Int64
	open     shares // of callers' requests
	amending shares // of amendments of records

	ctx context.Context // ends with Close
	end context.CancelFunc
}

// New returns a server that is ready to take links and requests.
func New(o Options) *Server {
	o.setDefaults()
	s := &Server{
		opts: o, id: o.ID, config: o.Config, router: o.Router,
		registry: jobs.New(o.Jobs), links: newLinkTable(),
		greeted: greetedTable{links: make(map[*guardLink]struct{})},
		metrics: o.Metrics, log: o.Log, traffic: new(wire.Traffic),
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.readFigures()
	go s.config.Watch(s.ctx, s.configChanged)
	go s.followEntries(s.ctx)
	return s
}

// readFigures ties the gauges and counters that live elsewhere to the metrics.
func (s *Server) readFigures() {
	m := s.metrics
	m.ReadCounter(telemetry.FramesOut, s.traffic.FramesOut.Load)
	m.ReadCounter(telemetry.FramesIn, s.traffic.FramesIn.Load)
	m.ReadCounter(telemetry.BytesOut, s.traffic.BytesOut.Load)
	m.ReadCounter(telemetry.BytesIn, s.traffic.BytesIn.Load)
	m.ReadGauge(telemetry.Waiters, s.waiters.Load)
	m.ReadGauge(telemetry.ConfigRevision, func() int64 { return s.config.Revision() })
	m.ReadGauge(telemetry.Peers, func() int64 { return int64(len(s.router.Roster().Linked)) })
	m.ReadGauge(telemetry.RosterVersion, func() int64 { return s.router.Roster().Version })
	m.ReadGauge(telemetry.Guards, func() int64 { return int64(len(s.links.all())) })
	m.ReadGauge(telemetry.JobsHeld, func() int64 { held, _ := s.registry.Count(); return int64(held) })
	m.ReadGauge(telemetry.JobsOpen, func() int64 { _, open := s.registry.Count(); return int64(open) })
	m.ReadGauge(telemetry.Ready, func() int64 {
		if s.Ready() {
			return 1
		}
		return 0
	})
}

// lane finds or makes the lane of a service.
func (s *Server) lane(service string) *lane {
	if l, ok := s.lanes.Load(service); ok {
		return l.(*lane)
	}
	s.laneMu.Lock()
	defer s.laneMu.Unlock()
	if l, ok := s.lanes.Load(service); ok {
		return l.(*lane)
	}
	l := newLane(service, s.id, meter.Wrap(dispatch.New(service, s.policy(service), s.opts.Seed), s.metrics), s.finish)
	s.lanes.Store(service, l)
	return l
}

func (s *Server) eachLane(f func(l *lane)) {
	s.lanes.Range(func(_, v any) bool {
		f(v.(*lane))
		return true
	})
}

// policy completes the configured policy with what only this entry knows.
func (s *Server) policy(service string) dispatch.Policy {
	p := s.config.Policy(service)
	p.Entries = max(len(s.router.Entries()), 1)
	p.Domain = s.opts.Domain
	return p
}

// configChanged puts a new snapshot in force here and passes it to the guards.
// Links are judged first: one whose key was removed must get nothing more.
func (s *Server) configChanged() {
	s.verifyAll()
	s.Reconfigure()
	s.metrics.Inc(telemetry.ConfigsApplied)
	s.shareChange()
	if s.opts.OnConfig != nil {
		s.opts.OnConfig()
	}
}

// Reconfigure applies the policies again, after the configuration or the number
// of entries has changed.
func (s *Server) Reconfigure() {
	s.eachLane(func(l *lane) { l.configure(s.policy(l.service)) })
}

// Ready tells whether the balancer should send requests here: a configuration
// is in force and no stop has begun.
func (s *Server) Ready() bool { return !s.leaving.Load() && s.config.Revision() > 0 }

// Leave makes the entry not ready. It goes on serving all requests, so that
// none is refused before the balancer has taken notice.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain refuses fresh jobs and waits until every open one is answered, or ctx
// ends. Resubmissions and fetches are still answered.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.stopping.Store(true)
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for {
		if _, open := s.registry.Count(); open == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends all links. Jobs that are still open get no answer from here.
func (s *Server) Close() {
	s.end()
	s.links.broadcast(&wire.Frame{Goodbye: &wire.Goodbye{Reason: "entry stops"}})
	s.links.close()
	s.eachLane((*lane).close)
}

// Guards lists the linked guards.
func (s *Server) Guards() []*wire.Hello { return s.links.all() }

// InnerHandler serves the guards' end of the inner protocol.
func (s *Server) InnerHandler() http.Handler { return http.HandlerFunc(s.serveGuard) }

// Usable counts the guards that tasks may be sent to.
func (s *Server) Usable() int {
	n := 0
	s.eachLane(func(l *lane) { n += len(l.guards()) })
	return n
}
