package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	contentType     = "text/plain; version=0.0.4; charset=utf-8"
	goMetricsPrefix = "wigeontray_"
)

// ServeHTTP serves the metrics in the Prometheus text format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	r.write(&b)
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(b.Bytes()) // fails only if the scraper has disconnected
}

// WriteText writes all metrics in the Prometheus text format, version 0.0.4.
func (r *Registry) WriteText(w io.Writer) error {
	var b bytes.Buffer
	r.write(&b)
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// write groups the registered metrics by family, as the format requires.
func (r *Registry) write(b *bytes.Buffer) {
	families := Families()
	lines := make(map[string][]string)
	r.metrics.Each(func(registeredName string, metric any) {
		name := exposedName(registeredName)
		if name != registeredName && isFamily(families, name) {
			return // a scraper rejects a response that contains a metric twice
		}
		family, _, _ := strings.Cut(name, "{")
		lines[family] = append(lines[family], metricLines(name, metric)...)
	})
	for _, f := range families {
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", f.Name, f.Help, f.Name, f.Type)
		if f.Type != TypeHistogram { // buckets must stay in order
			sort.Strings(lines[f.Name])
		}
		writeLines(b, lines[f.Name])
		delete(lines, f.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		writeLines(b, lines[name])
	}
}

func isFamily(families []Family, name string) bool {
	return slices.ContainsFunc(families, func(f Family) bool { return f.Name == name })
}

func writeLines(b *bytes.Buffer, lines []string) {
	for _, line := range lines {
		b.WriteString(line)
		b.WriteByte('\n')
	}
}

// exposedName returns the name under which a metric is written. Packages that use a plain
// go-metrics registry have dots in their names, which the format does not allow.
func exposedName(name string) string {
	if strings.Contains(name, "{") || !strings.Contains(name, ".") {
		return name
	}
	return goMetricsPrefix + strings.ReplaceAll(name, ".", "_")
}

// metricLines returns the lines of one registered metric.
func metricLines(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{name + " " + strconv.FormatInt(m.Count(), 10)}
	case metrics.Gauge:
		return []string{name + " " + strconv.FormatInt(m.Value(), 10)}
	case metrics.GaugeFloat64:
		return []string{name + " " + formatFloat(m.Value())}
	case metrics.Histogram:
		if s, ok := m.Sample().(*bucketSample); ok {
			return bucketLines(name, s)
		}
		return quantileLines(name, m.Snapshot())
	}
	return nil
}

func bucketLines(name string, s *bucketSample) []string {
	counts, total := s.cumulative()
	out := make([]string, 0, len(bucketBounds)+3)
	for i, bound := range bucketBounds {
		out = append(out, fmt.Sprintf("%s_bucket{le=%q} %d", name, formatFloat(bound.Seconds()), counts[i]))
	}
	return append(out,
		fmt.Sprintf("%s_bucket{le=\"+Inf\"} %d", name, total),
		fmt.Sprintf("%s_sum %s", name, formatFloat(float64(s.Sum())/1e9)),
		fmt.Sprintf("%s_count %d", name, total))
}

// quantileLines formats a histogram whose sample keeps individual values. The unit is that
// of the package that records them.
func quantileLines(name string, h metrics.Histogram) []string {
	quantiles := []float64{0.5, 0.9, 0.99}
	var out []string
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s{quantile=%q} %s", name, formatFloat(quantiles[i]), formatFloat(v)))
	}
	return append(out, name+"_count "+strconv.FormatInt(h.Count(), 10))
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
