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
	contentType   = "text/plain; version=0.0.4; charset=utf-8"
	foreignPrefix = "wigeontray_"
)

// ServeHTTP writes the exposition.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	r.write(&b)
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(b.Bytes()) // a scraper that hangs up has nothing to be told
}

// WriteText writes every figure in the Prometheus text format, version 0.0.4.
func (r *Registry) WriteText(w io.Writer) error {
	var b bytes.Buffer
	r.write(&b)
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// write groups the registered figures by family, as the format demands.
func (r *Registry) write(b *bytes.Buffer) {
	families := Families()
	lines := make(map[string][]string)
	r.metrics.Each(func(registered string, metric any) {
		name := exposed(registered)
		if name != registered && isFamily(families, name) {
			return // a scraper refuses a page on which a figure stands twice
		}
		family, _, _ := strings.Cut(name, "{")
		lines[family] = append(lines[family], figure(name, metric)...)
	})
	for _, f := range families {
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", f.Name, f.Help, f.Name, f.Type)
		if f.Type != TypeHistogram { // buckets keep their order
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

// exposed gives the name under which a figure is written. Packages that count
// on a plain go-metrics registry use dots, which the format does not allow.
func exposed(name string) string {
	if strings.Contains(name, "{") || !strings.Contains(name, ".") {
		return name
	}
	return foreignPrefix + strings.ReplaceAll(name, ".", "_")
}

// figure gives the lines of one registered metric.
func figure(name string, metric any) []string {
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
	below, total := s.cumulative()
	out := make([]string, 0, len(bounds)+3)
	for i, bound := range bounds {
		out = append(out, fmt.Sprintf("%s_bucket{le=%q} %d", name, formatFloat(bound.Seconds()), below[i]))
	}
	return append(out,
		fmt.Sprintf("%s_bucket{le=\"+Inf\"} %d", name, total),
		fmt.Sprintf("%s_sum %s", name, formatFloat(float64(s.Sum())/1e9)),
		fmt.Sprintf("%s_count %d", name, total))
}

// quantileLines writes a histogram whose sample keeps single values. Its unit
// is that of the package that counts.
func quantileLines(name string, h metrics.Histogram) []string {
	quantiles := []float64{0.5, 0.9, 0.99}
	var out []string
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s{quantile=%q} %s", name, formatFloat(quantiles[i]), formatFloat(v)))
	}
	return append(out, name+"_count "+strconv.FormatInt(h.Count(), 10))
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
