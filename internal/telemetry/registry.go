package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/errkind"
)

// Registry holds the metrics of one process. All methods may be called concurrently; those
// that count take no lock and do not allocate.
type Registry struct {
	metrics   metrics.Registry
	counters  [counterCount]metrics.Counter
	gauges    [gaugeCount]metrics.Gauge
	latencies [latencyCount]metrics.Histogram
	refusals  map[errkind.Kind]metrics.Counter // filled by New and read-only afterwards
	failures  map[errkind.Kind]metrics.Counter
	retries   [retryCount]metrics.Counter
	waits     map[string]metrics.Counter // by share; filled by New and read-only afterwards
	offers    map[string]metrics.Counter // by order; filled by New and read-only afterwards
}

// New returns a registry in which every metric is present with value zero, so that a
// scraper sees a counter before its first event.
func New() *Registry {
	r := &Registry{
		metrics:  metrics.NewRegistry(),
		refusals: make(map[errkind.Kind]metrics.Counter),
		failures: make(map[errkind.Kind]metrics.Counter),
		waits:    make(map[string]metrics.Counter),
		offers:   make(map[string]metrics.Counter),
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
	registerProcessMetrics(r.metrics)
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
	for _, share := range []string{ShareEqual, ShareByDemand} {
		r.waits[share] = metrics.NewRegisteredCounter(labelled(waitsName, "share", share), r.metrics)
	}
	for _, order := range []string{OfferAlone, OfferInTurn, OfferByArrival} {
		r.offers[order] = metrics.NewRegisteredCounter(labelled(offersName, "order", order), r.metrics)
	}
	metrics.NewRegisteredGauge(labelled(buildName, "version", Version), r.metrics).Update(1)
}

// GoMetrics returns the underlying registry, for packages that use go-metrics directly.
// Names with dots are written with underscores and the prefix "wigeontray_".
func (r *Registry) GoMetrics() metrics.Registry { return r.metrics }

// labelled returns the name under which a metric with a label is registered, which is also
// its form in the exposition.
func labelled(family, label, value string) string {
	return family + "{" + label + `="` + value + `"}`
}

// Inc adds one to c.
func (r *Registry) Inc(c Counter) { r.counters[c].Inc(1) }

// Add adds n, which must not be negative, to c.
func (r *Registry) Add(c Counter, n int64) { r.counters[c].Inc(n) }

// Set sets g to v.
func (r *Registry) Set(g Gauge, v int64) { r.gauges[g].Update(v) }

// Count returns the value of c.
func (r *Registry) Count(c Counter) int64 { return r.counters[c].Count() }

// Value returns the value of g.
func (r *Registry) Value(g Gauge) int64 { return r.gauges[g].Value() }

// Observe adds a duration to l.
func (r *Registry) Observe(l Latency, d time.Duration) { r.latencies[l].Update(int64(d)) }

// CountRefusal counts a request that was not admitted. A kind that this build does not
// define counts as Internal, which is also the response to it.
func (r *Registry) CountRefusal(k errkind.Kind) { counterFor(r.refusals, k).Inc(1) }

// CountFailure counts a task of an admitted job that ended without a result.
func (r *Registry) CountFailure(k errkind.Kind) { counterFor(r.failures, k).Inc(1) }

// CountRetry counts a retry.
func (r *Registry) CountRetry(reason RetryReason) { r.retries[reason].Inc(1) }

// CountWaitRefusal counts a request that was refused for its expected wait. share is one of the Share
// constants.
func (r *Registry) CountWaitRefusal(share string) { r.waits[share].Inc(1) }

// WaitRefusals returns the number of requests refused for their expected wait.
func (r *Registry) WaitRefusals(share string) int64 { return r.waits[share].Count() }

// CountOffers counts n offers of capacity. order is one of the Offer constants.
func (r *Registry) CountOffers(order string, n int64) { r.offers[order].Inc(n) }

// Offers returns the number of offers.
func (r *Registry) Offers(order string) int64 { return r.offers[order].Count() }

// Refusals returns the number of requests refused with k.
func (r *Registry) Refusals(k errkind.Kind) int64 { return counterFor(r.refusals, k).Count() }

// Failures returns the number of tasks that ended with k.
func (r *Registry) Failures(k errkind.Kind) int64 { return counterFor(r.failures, k).Count() }

// Retries returns the number of retries for the reason.
func (r *Registry) Retries(reason RetryReason) int64 { return r.retries[reason].Count() }

func counterFor(m map[errkind.Kind]metrics.Counter, k errkind.Kind) metrics.Counter {
	if c, ok := m[k]; ok {
		return c
	}
	return m[errkind.Internal]
}

// ReadGauge replaces g by a gauge whose value is read by calling read at each scrape. It
// must be called before the registry is used concurrently.
func (r *Registry) ReadGauge(g Gauge, read func() int64) {
	name := gaugeFamilies[g].Name
	r.metrics.Unregister(name)
	r.gauges[g] = metrics.NewRegisteredFunctionalGauge(name, r.metrics, read)
}

// ReadCounter replaces c by a counter whose value is read by calling read at each scrape,
// for values that another package counts, such as the traffic of links. The results of read
// must never decrease. ReadCounter must be called before the registry is used concurrently.
func (r *Registry) ReadCounter(c Counter, read func() int64) {
	name := counterFamilies[c].Name
	r.metrics.Unregister(name)
	r.counters[c] = funcCounter{read: read}
	_ = r.metrics.Register(name, r.counters[c]) // cannot fail, since the name was unregistered above
}

// funcCounter is a counter whose value is returned by a function.
type funcCounter struct {
	metrics.NilCounter
	read func() int64
}

// Count implements metrics.Counter.
func (c funcCounter) Count() int64 { return c.read() }
