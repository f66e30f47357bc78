// Package client is a caller of the HTTP API: it submits a job under one
// identity, resubmits it under the same identity when an answer is lost, and
// obeys Retry-After. The operators' commands use it, and it shows integrators
// how a caller should behave.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Client calls one or more entries.
type Client struct {
	// Entries are base URLs, tried in turn.
	Entries []string
	Token   string
	HTTP    *http.Client

	home atomic.Pointer[string] // the entry that answered last
}

// Pauses between resubmissions of the same identity.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	maxAnswer  = 64 << 20 // bytes read of an answer
)

// Job is a submission; its fields are those of POST /v1/jobs.
type Job struct {
	Service    string            `json:"service,omitempty"`
	Job        string            `json:"job,omitempty"`
	Team       string            `json:"team,omitempty"`
	DeadlineMs int64             `json:"deadline_ms,omitempty"`
	DeclaredMs int64             `json:"declared_ms,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// Answer is what an entry said. Status is the HTTP status.
type Answer struct {
	Status int
	Body   json.RawMessage
	After  time.Duration
	Parsed Body
}

// Body is the part of an answer that callers act on.
type Body struct {
	Job     string `json:"job"`
	State   string `json:"state"`
	Ticket  string `json:"ticket"`
	Results []struct {
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"results"`
	Error *struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
		Detail  string `json:"detail"`
		Ran     string `json:"ran"`
		Advice  string `json:"advice"`
		AfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// homeHeader names the entry that answers.
const homeHeader = "Wigeontray-Home"

// adviceSame is the advice to resubmit under the same identity.
const adviceSame = "same"

// final tells whether resubmitting the same identity can bring nothing new.
func (a *Answer) final() bool {
	return a.Parsed.Error == nil || a.Parsed.Error.Advice != adviceSame
}

// Key gives a fresh identity whose home is the entry that answered last. Behind
// a balancer that keeps connections together this is the entry that the next
// submission reaches, and it need not be passed on to another one: that would
// cost two messages a job. Before the first answer a ticket is fetched.
func (c *Client) Key(ctx context.Context) (string, error) {
	home := c.home.Load()
	if home == nil {
		return c.Ticket(ctx)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("draw an identity: %w", err)
	}
	return *home + "." + id.String(), nil
}

// Ticket asks for a fresh identity, born by the clock of the entry that answers.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	a, err := c.persist(ctx, func(base string) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/ticket", nil)
	})
	if err != nil {
		return "", err
	}
	if a.Parsed.Ticket == "" {
		return "", fmt.Errorf("no ticket: status %d: %s", a.Status, a.Body)
	}
	return a.Parsed.Ticket, nil
}

// Submit sends job under key until a final answer comes or ctx ends. The job
// runs at most once, however often it is sent.
func (c *Client) Submit(ctx context.Context, key string, job *Job) (*Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return c.persist(ctx, func(base string) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/jobs", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Idempotency-Key", key)
		return r, nil
	})
}

// persist sends a request to the entries in turn until one gives a final answer.
func (c *Client) persist(ctx context.Context, build func(base string) (*http.Request, error)) (*Answer, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("no entry to call")
	}
	pause := firstPause
	for i := 0; ; i++ {
		a, err := c.once(build, c.Entries[i%len(c.Entries)])
		if err == nil && a.final() {
			return a, nil
		}
		wait := pause
		if err == nil {
			wait = max(wait, a.After)
		}
		select {
		case <-ctx.Done():
			return a, errors.Join(ctx.Err(), err)
		case <-time.After(wait):
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *Client) once(build func(base string) (*http.Request, error), base string) (*Answer, error) {
	r, err := build(base)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if home := resp.Header.Get(homeHeader); home != "" {
		c.home.Store(&home)
	}
	a := &Answer{Status: resp.StatusCode, Body: body, After: retryAfter(resp)}
	if err := json.Unmarshal(body, &a.Parsed); err != nil {
		return nil, fmt.Errorf("status %d: answer is no JSON: %w", resp.StatusCode, err)
	}
	return a, nil
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}
