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

// loadGenerator generates a closed-loop load: each of its concurrent callers
// submits its next job as soon as the last one is answered, for the duration of a
// load.
type loadGenerator struct {
	client       *http.Client
	opts         *Options
	tasks        int // number of tasks per job
	body         []byte
	answeredJobs atomic.Int64    // answered completely
	failedJobs   atomic.Int64    // answered with an error
	mu           sync.Mutex      // protects the fields below
	latencies    []time.Duration // of answered jobs
	lastFailure  string          // latest error answer, for the report
}

func newLoadGenerator(client *http.Client, o *Options, tasks int) *loadGenerator {
	return &loadGenerator{client: client, opts: o, tasks: tasks, body: jobBody(o.Target.Service, tasks)}
}

// jobBody returns the request body of a job with n small tasks.
func jobBody(service string, n int) []byte {
	task := json.RawMessage(`{"kind":"capacity"}`)
	body := struct {
		Service    string            `json:"service"`
		DeadlineMs int64             `json:"deadline_ms"`
		Tasks      []json.RawMessage `json:"tasks"`
	}{service, 10_000, slices.Repeat([]json.RawMessage{task}, n)}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // encoding this type never fails
	}
	return b
}

// run submits jobs with all callers and waits until they finish.
func (g *loadGenerator) run(ctx context.Context) error {
	end := time.Now().Add(g.opts.Load)
	errs := make(chan error, g.opts.Callers)
	for range g.opts.Callers {
		go func() { errs <- g.submitUntil(ctx, end) }()
	}
	var joined error
	for range g.opts.Callers {
		joined = errors.Join(joined, <-errs)
	}
	return joined
}

// submitUntil submits jobs as one caller until end.
func (g *loadGenerator) submitUntil(ctx context.Context, end time.Time) error {
	var latencies []time.Duration
	for time.Now().Before(end) {
		start := time.Now()
		ok, err := g.submit(ctx)
		if err != nil {
			return err
		}
		if ok {
			latencies = append(latencies, time.Since(start))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latencies = append(g.latencies, latencies...)
	return nil
}

// submit submits one job and reports whether it was answered completely.
func (g *loadGenerator) submit(ctx context.Context) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.opts.Target.Callers+"/v1/jobs", bytes.NewReader(g.body))
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	key, err := uuid.NewV7()
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+g.opts.Target.Token)
	req.Header.Set("Idempotency-Key", key.String())
	resp, err := g.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, fmt.Errorf("submit: %w", err)
	}
	if resp.StatusCode == http.StatusOK {
		g.answeredJobs.Add(1)
		return true, nil
	}
	g.recordFailure(resp.Status, body)
	return false, nil
}

// recordFailure counts an error answer and stores its beginning.
func (g *loadGenerator) recordFailure(status string, body []byte) {
	g.failedJobs.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFailure = status + " " + string(body[:min(len(body), maxFailureBytes)])
}

// percentile returns the p-quantile (such as 0.5 or 0.99) of the latencies of
// answered jobs.
func (g *loadGenerator) percentile(p float64) time.Duration {
	if len(g.latencies) == 0 {
		return 0
	}
	slices.Sort(g.latencies)
	return g.latencies[int(p*float64(len(g.latencies)-1))]
}
