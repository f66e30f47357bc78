// Package capacity owns the measuring command: it links many lightweight
// guards to a running entry over loopback, first idle and then under load, and
// prints what one guard and one task cost on the wire and at the entry, with
// the slopes of its own interface.
//
// A lightweight guard is one goroutine that speaks the inner protocol, decides
// as a real guard does, and has an upstream that answers in no time. The entry is a real one; its figures are read
// from its exposition. When it runs in this process, its processor time and
// memory include those of the guards and callers, and the report says so.
//
// The package may import errkind, identity, ledger, telemetry and wire.
package capacity

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// Target is the entry under measurement.
type Target struct {
	Inner    string      // host:port of the inner protocol
	InnerTLS *tls.Config // nil for plain connections
	Callers  string      // base URL for callers
	Admin    string      // base URL of /metrics
	Token    string      // a member's bearer token
	Member   string
	Service  string // one of the member's services, with no other guards
	FleetKey string
	// Shared tells that the entry runs in this process.
	Shared bool
}

// Options configures Run. Zero values take defaults.
type Options struct {
	Target Target
	Guards []int         // sizes to measure
	Idle   time.Duration // idle window at each size
	Load   time.Duration // window of each load
	Jobs   []int         // loads to run at each size, as tasks per job
	// Callers is how many callers submit at once.
	Callers int
	JSON    bool
	// Progress gets a line per step; nil for none.
	Progress io.Writer

	settleDelay time.Duration // after the guards' arrival, before a window
}

// Defaults and bounds. The idle window is one ping period: each end of each
// link pings exactly once in it, whenever the link was opened. A shorter window
// would count pings of some links only.
const (
	DefaultIdle    = wire.PingEvery
	DefaultLoad    = 1500 * time.Millisecond
	DefaultCallers = 32
	MaxGuards      = 1000 // a link takes two descriptors and about 50 KB here

	defaultSettleDelay = time.Second
	linkTimeout        = 20 * time.Second
	slotsPerWorker     = 8 // of each worker, as in the brief
)

// DefaultGuards and DefaultJobs are measured when nothing else is asked for.
var (
	DefaultGuards = []int{10, 50, 200, 820}
	DefaultJobs   = []int{1, 100}
)

func (o *Options) setDefaults() error {
	if len(o.Guards) == 0 {
		o.Guards = DefaultGuards
	}
	if len(o.Jobs) == 0 {
		o.Jobs = DefaultJobs
	}
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	if o.Load <= 0 {
		o.Load = DefaultLoad
	}
	if o.Callers <= 0 {
		o.Callers = DefaultCallers
	}
	if o.settleDelay <= 0 {
		o.settleDelay = defaultSettleDelay
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	o.Guards = slices.Clone(o.Guards)
	slices.Sort(o.Guards)
	if o.Guards[0] < 1 || o.Guards[len(o.Guards)-1] > MaxGuards {
		return fmt.Errorf("capacity: want 1 to %d guards, got %v", MaxGuards, o.Guards)
	}
	return nil
}

// Run measures and writes the report to w. It takes about the idle window plus
// the loads for each size: 75 s with the defaults.
func Run(ctx context.Context, o Options, w io.Writer) error {
	if err := o.setDefaults(); err != nil {
		return err
	}
	m := newMeasurement(o)
	defer m.fleet.close()
	report, err := m.run(ctx)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if o.JSON {
		return report.writeJSON(w)
	}
	return report.writeTable(w)
}

// measurement is one Run.
type measurement struct {
	opts   Options
	fleet  *fleet
	entry  *entryProbe
	client *http.Client
	report *Report
}

func newMeasurement(o Options) *measurement {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Callers}}
	return &measurement{
		opts:   o,
		fleet:  newFleet(&o.Target),
		entry:  &entryProbe{url: o.Target.Admin + "/metrics", client: client},
		client: client,
		report: newReport(&o),
	}
}

// run measures idle while the fleet grows, before any task, so that the entry's
// resident memory is that of its links; then loads while the fleet shrinks.
func (m *measurement) run(ctx context.Context) (*Report, error) {
	for _, n := range m.opts.Guards {
		idleCost, err := m.idleCost(ctx, n)
		if err != nil {
			return nil, err
		}
		m.report.Sizes = append(m.report.Sizes, Size{Guards: n, Idle: *idleCost})
	}
	for i := len(m.opts.Guards) - 1; i >= 0; i-- {
		loadCosts, err := m.loadCosts(ctx, m.opts.Guards[i])
		if err != nil {
			return nil, err
		}
		m.report.Sizes[i].Loads = loadCosts
	}
	m.report.fitSlopes()
	return m.report, nil
}

func (m *measurement) idleCost(ctx context.Context, n int) (*Idle, error) {
	m.printProgress("%d guards: linking, then idle for %v", n, m.opts.Idle)
	if err := m.resize(ctx, n); err != nil {
		return nil, err
	}
	before, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, m.opts.Idle); err != nil {
		return nil, err
	}
	after, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	return newIdle(n, before, after), nil
}

func (m *measurement) loadCosts(ctx context.Context, n int) ([]Load, error) {
	if err := m.resize(ctx, n); err != nil {
		return nil, err
	}
	var out []Load
	for _, tasks := range m.opts.Jobs {
		m.printProgress("%d guards: jobs of %d tasks for %v", n, tasks, m.opts.Load)
		l, err := m.loadCost(ctx, tasks)
		if err != nil {
			return nil, err
		}
		out = append(out, *l)
	}
	return out, nil
}

func (m *measurement) loadCost(ctx context.Context, tasks int) (*Load, error) {
	before, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	c := newLoadGenerator(m.client, &m.opts, tasks)
	if err := c.run(ctx); err != nil {
		return nil, err
	}
	after, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	return newLoad(c, before, after), nil
}

// resize brings the fleet to n guards and waits until the entry counts as many.
func (m *measurement) resize(ctx context.Context, n int) error {
	if err := m.fleet.resize(ctx, n); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	if err := m.entry.waitForGuards(ctx, n); err != nil {
		return err
	}
	return sleep(ctx, m.opts.settleDelay)
}

// sample reads both sides at about one moment.
func (m *measurement) sample(ctx context.Context) (*sample, error) {
	f, err := m.entry.read(ctx)
	if err != nil {
		return nil, err
	}
	return &sample{at: time.Now(), entry: *f, fleet: m.fleet.traffic()}, nil
}

func (m *measurement) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(m.opts.Progress, format+"\n", args...) // only a convenience
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
