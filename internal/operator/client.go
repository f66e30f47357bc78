// Package operator backs the commands `wigeontray record` and `wigeontray
// check`: a client of the operators' API of an entry, the check of files, JSON
// output and exit codes.
//
// The package may import errkind, record, recordapi and settings.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"wigeontray/internal/record"
	"wigeontray/internal/recordapi"
)

// Timing of the client.
const (
	// DefaultTimeout bounds a call; it exceeds the time in which an entry looks
	// for the outcome of an amendment.
	DefaultTimeout = 20 * time.Second
	// recoverWithin bounds the search for an amendment whose answer was lost.
	recoverWithin = 5 * time.Second
	recoverPause  = 250 * time.Millisecond
	maxAnswer     = 64 << 20 // bytes
)

// Options of a Client.
type Options struct {
	// Address is the base URL of an entry's operators' API.
	Address string
	// Token is the member's or the consortium operator's.
	Token string
	// Transport replaces the standard one, for TLS settings or tests.
	Transport http.RoundTripper
	// Timeout bounds each call; 0 is DefaultTimeout.
	Timeout time.Duration
}

// Client talks to one entry.
type Client struct {
	base, token string
	http        *http.Client
}

// New makes a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{base: strings.TrimRight(o.Address, "/"), token: o.Token, http: &http.Client{
		Transport: o.Transport, Timeout: o.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// APIError is a refusal of the entry.
type APIError struct {
	Status int
	Detail recordapi.ErrorDetail
}

// Error gives kind and detail, and the current revision on a conflict.
func (e *APIError) Error() string {
	text := fmt.Sprintf("%s (status %d): %s", e.Detail.Kind, e.Status, e.Detail.Detail)
	if e.Detail.Current > 0 {
		text += fmt.Sprintf("; amend revision %d", e.Detail.Current)
	}
	return text
}

// ErrUnreachable means that no connection could be made: nothing was sent.
var ErrUnreachable = errors.New("the entry cannot be reached")

// ErrOutcomeUnknown means that an amendment was sent, its answer was lost, and
// the record does not show it yet. Read the record before amending it again.
var ErrOutcomeUnknown = errors.New("the outcome of the amendment is not known")

// List reads all records that the token may see; kind "" is every kind.
func (c *Client) List(ctx context.Context, kind record.Kind) (*recordapi.List, error) {
	path := recordapi.PathList
	if kind != "" {
		path += "?kind=" + url.QueryEscape(string(kind))
	}
	out := new(recordapi.List)
	return out, c.call(ctx, http.MethodGet, path, nil, nil, out)
}

// Get reads one record.
func (c *Client) Get(ctx context.Context, kind record.Kind, name string) (*recordapi.Record, error) {
	out := new(recordapi.Record)
	return out, c.call(ctx, http.MethodGet, recordPath(kind, name), nil, nil, out)
}

func recordPath(kind record.Kind, name string) string {
	return recordapi.PathList + "/" + url.PathEscape(string(kind)) + "/" + (&url.URL{Path: name}).EscapedPath()
}

// Put writes the record in value if its revision is still expect (0: it must
// not exist). Kind and name are the record's own.
//
// If the answer is lost the record is read back until it shows the write, for
// recoverWithin; then the error is ErrOutcomeUnknown.
func (c *Client) Put(ctx context.Context, value []byte, expect int64) (*recordapi.Record, error) {
	p, err := record.Parse(value)
	if err != nil {
		return nil, err
	}
	id := uuid.NewString()
	header := expectHeader(expect)
	header.Set("Idempotency-Key", id)
	out := new(recordapi.Record)
	err = c.call(ctx, http.MethodPut, recordPath(p.Kind, p.Name), header, value, out)
	if !answerLost(err) {
		return out, err
	}
	return c.recover(ctx, p, id, err)
}

// recover looks for a write whose answer was lost.
func (c *Client) recover(ctx context.Context, p *record.Parsed, id string, cause error) (*recordapi.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for ctx.Err() == nil {
		got, err := c.Get(ctx, p.Kind, p.Name)
		if err == nil && record.WriteID(got.Value) == id {
			got.Value = nil
			return got, nil
		}
		select {
		case <-time.After(recoverPause):
		case <-ctx.Done():
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// Delete removes a record if its revision is still expect.
func (c *Client) Delete(ctx context.Context, kind record.Kind, name string, expect int64) (*recordapi.Record, error) {
	out := new(recordapi.Record)
	err := c.call(ctx, http.MethodDelete, recordPath(kind, name), expectHeader(expect), nil, out)
	if answerLost(err) {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return out, err
}

// answerLost tells whether a call may have had an effect although it failed.
func answerLost(err error) bool {
	if err == nil || errors.Is(err, ErrUnreachable) {
		return false
	}
	_, refused := errors.AsType[*APIError](err)
	return !refused
}

func expectHeader(expect int64) http.Header {
	h := http.Header{}
	if expect == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(expect, 10)))
	return h
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	// An Idempotency-Key makes net/http repeat a request by itself when it can
	// rewind the body; the second copy would conflict with the first.
	req.GetBody = nil
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return connectError(err)
	}
	defer resp.Body.Close()
	return readAnswer(resp, out)
}

func readAnswer(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode < 300 {
		if err := json.Unmarshal(b, out); err != nil {
			return fmt.Errorf("answer: %w", err)
		}
		return nil
	}
	var e recordapi.ErrorBody
	if json.Unmarshal(b, &e) != nil || e.Error.Kind == "" {
		return fmt.Errorf("answer: status %d without an error of the API", resp.StatusCode)
	}
	return &APIError{Status: resp.StatusCode, Detail: e.Error}
}
