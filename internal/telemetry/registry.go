package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/errkind"
)

// Registry holds the figures of one process. All methods may be called from
// many goroutines; those that count take no lock and allocate nothing.
type Registry struct {
	metrics   metrics.Registry
	counters  [counterCount]metrics.Counter
	gauges    [gaugeCount]metrics.Gauge
	latencies [latencyCount]metrics.Histogram
	refusals  map[errkind.Kind]metrics.Counter // filled once, then only read
	failures  map[errkind.Kind]metrics.Counter
	retries   [retryCount]metrics.Counter
}

// New returns a registry in which every figure is present and zero, so that a
// scraper sees a counter before its first event.
func New() *Registry {
	r := &Registry{
		metrics:  metrics.NewRegistry(),
		refusals: make(map[errkind.Kind]metrics.Counter),
		failures: make(map[errkind.Kind]metrics.Counter),
	}
	for i, f := range counterFamilies {
		r.counters[i] = metrics.NewRegisteredCounter(f.Name, r.metrics)
	}
	for i, f := range gaugeFamilies {
		r.gauges[i] = metrics.NewRegisteredGauge(f.Name, r.metrics)
	}
	for i, f := range latencyFamilies {
		r.latencies[i] = metrics.NewRegisteredHistogram(f.Name, r.metrics, new(bucketSample))
	}
	r.registerLabelled()
	registerProcess(r.metrics)
	return r
}

func (r *Registry) registerLabelled() {
	for _, k := range errkind.All() {
		r.refusals[k] = metrics.NewRegisteredCounter(labelled(refusalsName, "kind", k.String()), r.metrics)
		r.failures[k] = metrics.NewRegisteredCounter(labelled(failuresName, "kind", k.String()), r.metrics)
	}
	for _, reason := range RetryReasons() {
		r.retries[reason] = metrics.NewRegisteredCounter(labelled(retriesName, "reason", reason.String()), r.metrics)
	}
	metrics.NewRegisteredGauge(labelled(buildName, "version", Version), r.metrics).Update(1)
}

// GoMetrics is the registry underneath, for packages that count on go-metrics
// alone. A name with dots is written with underscores and the prefix
// "wigeontray_".
func (r *Registry) GoMetrics() metrics.Registry { return r.metrics }

// labelled gives the name under which a figure with a label is registered; it
// is also the form in which the exposition writes it.
func labelled(family, label, value string) string {
	return family + "{" + label + `="` + value + `"}`
}

// Inc adds one to c.
func (r *Registry) Inc(c Counter) { r.counters[c].Inc(1) }

// Add adds n, which must not be negative, to c.
func (r *Registry) Add(c Counter, n int64) { r.counters[c].Inc(n) }

// Set gives g the value v.
func (r *Registry) Set(g Gauge, v int64) { r.gauges[g].Update(v) }

// Count reads c.
func (r *Registry) Count(c Counter) int64 { return r.counters[c].Count() }

// Value reads g.
func (r *Registry) Value(g Gauge) int64 { return r.gauges[g].Value() }

// Observe adds one duration to l.
func (r *Registry) Observe(l Latency, d time.Duration) { r.latencies[l].Update(int64(d)) }

// Refused counts a request that was not admitted. A kind that this build does
// not know counts as Internal, as it is answered.
func (r *Registry) Refused(k errkind.Kind) { byKind(r.refusals, k).Inc(1) }

// Failed counts a task of an admitted job that ended without a result.
func (r *Registry) Failed(k errkind.Kind) { byKind(r.failures, k).Inc(1) }

// Retried counts one retry.
func (r *Registry) Retried(reason RetryReason) { r.retries[reason].Inc(1) }

// Refusals reads how many requests were refused with k.
func (r *Registry) Refusals(k errkind.Kind) int64 { return byKind(r.refusals, k).Count() }

// Failures reads how many tasks ended with k.
func (r *Registry) Failures(k errkind.Kind) int64 { return byKind(r.failures, k).Count() }

// Retries reads how many retries had the reason.
func (r *Registry) Retries(reason RetryReason) int64 { return r.retries[reason].Count() }

func byKind(m map[errkind.Kind]metrics.Counter, k errkind.Kind) metrics.Counter {
	if c, ok := m[k]; ok {
		return c
	}
	return m[errkind.Internal]
}

// ReadGauge makes g give what read returns at each scrape, in place of a value
// that is set. It is called before the registry is shared.
func (r *Registry) ReadGauge(g Gauge, read func() int64) {
	name := gaugeFamilies[g].Name
	r.metrics.Unregister(name)
	r.gauges[g] = metrics.NewRegisteredFunctionalGauge(name, r.metrics, read)
}

// ReadCounter makes c give what read returns at each scrape, for figures that
// another package counts by itself, such as the traffic of links. read must
// never run backwards. It is called before the registry is shared.
func (r *Registry) ReadCounter(c Counter, read func() int64) {
	name := counterFamilies[c].Name
	r.metrics.Unregister(name)
	r.counters[c] = readCounter{read: read}
	_ = r.metrics.Register(name, r.counters[c]) // the name was freed above
}

// readCounter is a counter whose value lives elsewhere.
type readCounter struct {
	metrics.NilCounter
	read func() int64
}

// Count implements metrics.Counter.
func (c readCounter) Count() int64 { return c.read() }
