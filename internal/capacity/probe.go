package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// entryMetrics are metrics of the entry.
type entryMetrics struct {
	CPU      float64 // seconds of CPU time
	Resident float64 // bytes
	Heap     float64 // bytes reachable at the last garbage collection
	Stacks   float64 // bytes of goroutine stacks
	Guards   float64
	HeldJobs float64 // number of job records
}

// sample is the state of the entry and of the fleet at a point in time.
type sample struct {
	at    time.Time
	entry entryMetrics
	fleet traffic
}

// entryProbe reads the metrics of an entry.
type entryProbe struct {
	url    string
	client *http.Client
}

func (p *entryProbe) read(ctx context.Context) (*entryMetrics, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read metrics: %s", resp.Status)
	}
	return parseMetrics(resp.Body)
}

// parseMetrics reads metrics in the Prometheus text format. It returns an error if
// one of entryMetrics is missing.
func parseMetrics(r io.Reader) (*entryMetrics, error) {
	metrics := new(entryMetrics)
	destinations := map[string]*float64{
		"process_cpu_seconds_total":     &metrics.CPU,
		"process_resident_memory_bytes": &metrics.Resident,
		"go_heap_live_bytes":            &metrics.Heap,
		"go_stack_bytes":                &metrics.Stacks,
		"wigeontray_guards":             &metrics.Guards,
		"wigeontray_jobs_held":          &metrics.HeldJobs,
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		destination, ok := destinations[name]
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("read metrics: %s: %w", name, err)
		}
		*destination = v
		delete(destinations, name)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	for name := range destinations {
		return nil, fmt.Errorf("read metrics: no %s", name)
	}
	return metrics, nil
}

// waitForGuards polls until the entry reports n connected guards.
func (p *entryProbe) waitForGuards(ctx context.Context, n int) error {
	const pollInterval = 50 * time.Millisecond
	for {
		metrics, err := p.read(ctx)
		if err != nil {
			return err
		}
		if int(metrics.Guards) == n {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("entry reports %v guards, want %d: %w", metrics.Guards, n, err)
		}
	}
}
