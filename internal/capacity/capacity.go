// Package capacity measures the cost of guards and tasks at an entry. It connects
// many simulated guards to a running entry over loopback, measures them idle and
// then under load, and reports the cost of a guard and of a task on the network
// and at the entry, with a line fitted over the number of guards.
//
// A simulated guard is one goroutine. It implements the internal protocol, makes
// its decisions with the ledger of a real guard, and has an upstream that answers
// immediately. The entry is a real one, whose values are read from its metrics. If
// it runs in the same process, its CPU time and memory include those of the guards
// and callers, which the report states.
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

// Target is the entry to measure.
type Target struct {
	Inner    string      // host:port of the internal protocol
	InnerTLS *tls.Config // nil for connections without TLS
	Callers  string      // base URL of the API for callers
	Admin    string      // base URL of /metrics
	Token    string      // a member's bearer token
	Member   string      // name of the member that owns Service
	Service  string      // a service of the member that no other guards serve
	FleetKey string      // key that the guards present to the entry in their Hello
	// InProcess reports whether the entry runs in this process.
	InProcess bool
}

// Options configures Run. Fields that are zero get default values.
type Options struct {
	Target Target
	Guards []int         // fleet sizes to measure
	Idle   time.Duration // duration of the idle measurement at each size
	Load   time.Duration // duration of each load
	Jobs   []int         // loads at each size, as numbers of tasks per job
	// Callers is the number of concurrent callers.
	Callers int
	// JSON selects a JSON report instead of tables.
	JSON bool
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer

	settleDelay time.Duration // from the connection of all guards to the start of a measurement
}

// Defaults and limits. The default idle window is one ping interval, in which each
// end of each link sends exactly one ping, whenever the link was opened. A shorter
// window would include the pings of some links only.
const (
	DefaultIdle    = wire.PingInterval
	DefaultLoad    = 1500 * time.Millisecond
	DefaultCallers = 32
	MaxGuards      = 1000 // largest fleet size; a link uses two file descriptors and about 50 KB in this process

	defaultSettleDelay = time.Second
	linkTimeout        = 20 * time.Second
	slotsPerWorker     = 8 // as in the requirements
)

// DefaultGuards and DefaultJobs are the fleet sizes and loads to measure if Options
// contains none.
var (
	DefaultGuards = []int{10, 50, 200, 820}
	DefaultJobs   = []int{1, 100}
)

// setDefaults replaces zero values and checks the fleet sizes.
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

// Run measures the entry and writes the report to w. For each fleet size, it takes
// the idle window, the loads, and a settle delay before each of the two: at least
// 140 s in total with the defaults, of which the idle windows are 120 s. It returns
// an error if a fleet size is outside 1 to MaxGuards, or if the entry cannot be
// reached or lacks a metric. Jobs that fail are counted in the report.
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

// measurement is the state of a Run.
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

// run first measures the idle cost while the fleet grows, before any task, so that
// the resident memory of the entry is that of its links. It then runs the loads
// while the fleet shrinks.
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

// idleCost measures n guards without load.
func (m *measurement) idleCost(ctx context.Context, n int) (*Idle, error) {
	m.printProgress("%d guards: connecting, then idle for %v", n, m.opts.Idle)
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

// loadCosts runs each load with n guards.
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

// loadCost runs one load with the present guards.
func (m *measurement) loadCost(ctx context.Context, tasks int) (*Load, error) {
	before, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	g := newLoadGenerator(m.client, &m.opts, tasks)
	if err := g.run(ctx); err != nil {
		return nil, err
	}
	after, err := m.sample(ctx)
	if err != nil {
		return nil, err
	}
	return newLoad(g, before, after), nil
}

// resize changes the fleet to n guards, and waits until the entry reports n guards
// and for the settle delay.
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

// sample reads the metrics of the entry and the traffic of the fleet at nearly the
// same time.
func (m *measurement) sample(ctx context.Context) (*sample, error) {
	metrics, err := m.entry.read(ctx)
	if err != nil {
		return nil, err
	}
	return &sample{at: time.Now(), entry: *metrics, fleet: m.fleet.traffic()}, nil
}

func (m *measurement) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(m.opts.Progress, format+"\n", args...) // progress output is optional
}

// sleep waits for d or until ctx is done.
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
