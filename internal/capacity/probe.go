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

// figures are what the entry tells of itself.
type figures struct {
	CPU      float64 // seconds of processor time
	Resident float64 // bytes
	Heap     float64 // bytes reachable at the last collection
	Stacks   float64 // bytes of goroutines' stacks
	Guards   float64
	Held     float64 // job records
}

// sample is both sides' state at one moment.
type sample struct {
	at    time.Time
	entry figures
	fleet traffic
}

// entryProbe reads an entry's exposition.
type entryProbe struct {
	url    string
	client *http.Client
}

func (p *entryProbe) read(ctx context.Context) (*figures, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, fmt.Errorf("read figures: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read figures: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read figures: %s", resp.Status)
	}
	return parseFigures(resp.Body)
}

func parseFigures(r io.Reader) (*figures, error) {
	f := new(figures)
	want := map[string]*float64{
		"process_cpu_seconds_total":     &f.CPU,
		"process_resident_memory_bytes": &f.Resident,
		"go_heap_live_bytes":            &f.Heap,
		"go_stack_bytes":                &f.Stacks,
		"wigeontray_guards":             &f.Guards,
		"wigeontray_jobs_held":          &f.Held,
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		to, ok := want[name]
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("read figures: %s: %w", name, err)
		}
		*to = v
		delete(want, name)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read figures: %w", err)
	}
	for name := range want {
		return nil, fmt.Errorf("read figures: no %s", name)
	}
	return f, nil
}

// awaitGuards polls until the entry counts n guards.
func (p *entryProbe) awaitGuards(ctx context.Context, n int) error {
	const every = 50 * time.Millisecond
	for {
		f, err := p.read(ctx)
		if err != nil {
			return err
		}
		if int(f.Guards) == n {
			return nil
		}
		if err := pause(ctx, every); err != nil {
			return fmt.Errorf("the entry counts %v guards, want %d: %w", f.Guards, n, err)
		}
	}
}
