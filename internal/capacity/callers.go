package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// callers submit jobs one after the other, each as soon as its last one is
// answered, for the time of a load.
type callers struct {
	client  *http.Client
	opts    *Options
	tasks   int // per job
	body    []byte
	jobs    atomic.Int64 // answered in full
	failed  atomic.Int64 // answered with an error
	mu      sync.Mutex
	latency []time.Duration // of answered jobs
	last    string          // last error answer, for the report
}

func newCallers(client *http.Client, o *Options, tasks int) *callers {
	return &callers{client: client, opts: o, tasks: tasks, body: submission(o.Target.Service, tasks)}
}

// submission is a job of n small tasks.
func submission(service string, n int) []byte {
	task := json.RawMessage(`{"kind":"capacity"}`)
	body := struct {
		Service    string            `json:"service"`
		DeadlineMs int64             `json:"deadline_ms"`
		Tasks      []json.RawMessage `json:"tasks"`
	}{service, 10_000, slices.Repeat([]json.RawMessage{task}, n)}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the type above always encodes
	}
	return b
}

func (c *callers) run(ctx context.Context) error {
	end := time.Now().Add(c.opts.Load)
	errs := make(chan error, c.opts.Callers)
	for range c.opts.Callers {
		go func() { errs <- c.loop(ctx, end) }()
	}
	var all error
	for range c.opts.Callers {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (c *callers) loop(ctx context.Context, end time.Time) error {
	var latency []time.Duration
	for time.Now().Before(end) {
		start := time.Now()
		ok, err := c.submit(ctx)
		if err != nil {
			return err
		}
		if ok {
			latency = append(latency, time.Since(start))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = append(c.latency, latency...)
	return nil
}

// submit sends one job and tells whether it was answered in full.
func (c *callers) submit(ctx context.Context) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.opts.Target.Callers+"/v1/jobs", bytes.NewReader(c.body))
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	key, err := uuid.NewV7()
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Target.Token)
	req.Header.Set("Idempotency-Key", key.String())
	resp, err := c.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	if resp.StatusCode == http.StatusOK {
		c.jobs.Add(1)
		return true, nil
	}
	c.fail(resp.Status, body)
	return false, nil
}

func (c *callers) fail(status string, body []byte) {
	c.failed.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = status + " " + string(body[:min(len(body), maxFailures)])
}

// percentile gives the p-th part (0.5, 0.99) of the answered jobs' latencies.
func (c *callers) percentile(p float64) time.Duration {
	if len(c.latency) == 0 {
		return 0
	}
	slices.Sort(c.latency)
	return c.latency[int(p*float64(len(c.latency)-1))]
}
