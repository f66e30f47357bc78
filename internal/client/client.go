// Package client implements a caller of the HTTP API. It submits a job under
// one identity, resubmits it under the same identity if the response is lost,
// and honours Retry-After. The commands of package cli use it, and it serves
// integrators as a reference implementation.
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

// Client submits jobs to one or more entries.
type Client struct {
	// Entries are base URLs. Attempts go to each of them in turn.
	Entries []string
	Token   string
	HTTP    *http.Client

	homeEntry atomic.Pointer[string] // incarnation of the entry that responded last
}

// Limits of the exponential backoff between resubmissions, and of a response.
const (
	minBackoffDelay = 50 * time.Millisecond
	maxBackoffDelay = 2 * time.Second
	maxResponseSize = 64 << 20 // bytes read of a response
)

// Job is a submission. Its fields are those of POST /v1/jobs.
type Job struct {
	Service    string            `json:"service,omitempty"`
	Job        string            `json:"job,omitempty"`
	Team       string            `json:"team,omitempty"`
	DeadlineMs int64             `json:"deadline_ms,omitempty"`
	DeclaredMs int64             `json:"declared_ms,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// Response is the response of an entry.
type Response struct {
	Status     int             // HTTP status code
	Body       json.RawMessage // complete response body
	RetryAfter time.Duration   // from the Retry-After header; 0 if there is none
	Parsed     Body
}

// Body holds the fields of a response that callers act on.
type Body struct {
	Job     string `json:"job"`
	State   string `json:"state"`
	Ticket  string `json:"ticket"`
	Results []struct {
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"results"`
	Error *struct {
		Kind         string `json:"kind"`
		Message      string `json:"message"`
		Detail       string `json:"detail"`
		Ran          string `json:"ran"`
		Advice       string `json:"advice"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// homeHeader is the response header that names the responding entry.
const homeHeader = "Wigeontray-Home"

// adviceSameIdentity is the advice to resubmit under the same identity.
const adviceSameIdentity = "same"

// isFinal reports whether resubmitting under the same identity is pointless.
func (r *Response) isFinal() bool {
	return r.Parsed.Error == nil || r.Parsed.Error.Advice != adviceSameIdentity
}

// NewIdentity returns a new identity whose home is the entry that responded last.
// Behind a load balancer with connection affinity the next submission reaches that
// entry, which then need not forward it. Forwarding costs two messages for each
// job. Before the first response NewIdentity fetches a ticket instead.
func (c *Client) NewIdentity(ctx context.Context) (string, error) {
	homeEntry := c.homeEntry.Load()
	if homeEntry == nil {
		return c.FetchTicket(ctx)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("generate identity: %w", err)
	}
	return *homeEntry + "." + id.String(), nil
}

// FetchTicket fetches a new identity whose creation time is taken from the clock of
// the responding entry.
func (c *Client) FetchTicket(ctx context.Context) (string, error) {
	resp, err := c.sendUntilFinal(ctx, func(base string) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/ticket", nil)
	})
	if err != nil {
		return "", err
	}
	if resp.Parsed.Ticket == "" {
		return "", fmt.Errorf("response has no ticket: status %d: %s", resp.Status, resp.Body)
	}
	return resp.Parsed.Ticket, nil
}

// Submit sends job under the identity key until it gets a final response or ctx
// ends. The job runs at most once, however often it is sent. When ctx ends, Submit
// returns its error together with the response of the last attempt, if it got one.
func (c *Client) Submit(ctx context.Context, key string, job *Job) (*Response, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return c.sendUntilFinal(ctx, func(base string) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/jobs", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Idempotency-Key", key)
		return r, nil
	})
}

// sendUntilFinal sends a request to the entries in turn until one of them
// returns a final response. It waits with exponential backoff between attempts.
func (c *Client) sendUntilFinal(ctx context.Context, newRequest func(base string) (*http.Request, error)) (*Response, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("no entry is configured")
	}
	backoff := minBackoffDelay
	for i := 0; ; i++ {
		resp, err := c.send(newRequest, c.Entries[i%len(c.Entries)])
		if err == nil && resp.isFinal() {
			return resp, nil
		}
		delay := backoff
		if err == nil {
			delay = max(delay, resp.RetryAfter)
		}
		select {
		case <-ctx.Done():
			return resp, errors.Join(ctx.Err(), err)
		case <-time.After(delay):
		}
		backoff = min(2*backoff, maxBackoffDelay)
	}
}

// send makes one attempt at the entry with the given base URL.
func (c *Client) send(newRequest func(base string) (*http.Request, error), base string) (*Response, error) {
	req, err := newRequest(base)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	httpResp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseSize))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if homeEntry := httpResp.Header.Get(homeHeader); homeEntry != "" {
		c.homeEntry.Store(&homeEntry)
	}
	resp := &Response{Status: httpResp.StatusCode, Body: body, RetryAfter: retryAfter(httpResp)}
	if err := json.Unmarshal(body, &resp.Parsed); err != nil {
		return nil, fmt.Errorf("status %d: response is not JSON: %w", httpResp.StatusCode, err)
	}
	return resp, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
