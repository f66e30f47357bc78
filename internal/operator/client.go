// Package operator implements the commands `wigeontray record` and `wigeontray
// check`: a client of an entry's operator API, the validation of files, JSON
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

// Timeouts and limits of the client.
const (
	// DefaultTimeout bounds a call. It exceeds the time that an entry spends on
	// finding the outcome of an amendment.
	DefaultTimeout = 20 * time.Second
	// recoveryTimeout bounds the search for the outcome of an amendment whose
	// response was lost; recoveryInterval is the delay between its reads.
	recoveryTimeout  = 5 * time.Second
	recoveryInterval = 250 * time.Millisecond
	maxResponseSize  = 64 << 20 // bytes
)

// Options configures a Client.
type Options struct {
	// Address is the base URL of an entry's operator API.
	Address string
	// Token is the token of a member or of the consortium's operator.
	Token string
	// Transport replaces http.DefaultTransport, for TLS settings or tests.
	Transport http.RoundTripper
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client calls the operator API of one entry.
type Client struct {
	baseURL, token string
	http           *http.Client
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{baseURL: strings.TrimRight(o.Address, "/"), token: o.Token, http: &http.Client{
		Transport: o.Transport, Timeout: o.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// APIError is an error response of the entry.
type APIError struct {
	Status int
	Detail recordapi.ErrorDetail
}

// Error returns the kind and detail and, for a conflict, the current revision.
func (e *APIError) Error() string {
	text := fmt.Sprintf("%s (status %d): %s", e.Detail.Kind, e.Status, e.Detail.Detail)
	if e.Detail.Current > 0 {
		text += fmt.Sprintf("; amend revision %d", e.Detail.Current)
	}
	return text
}

// ErrUnreachable means that no connection could be made: nothing was sent.
var ErrUnreachable = errors.New("the entry cannot be reached")

// ErrOutcomeUnknown means that an amendment was sent, its response was lost,
// and the record does not show the amendment yet. Read the record before
// amending it again.
var ErrOutcomeUnknown = errors.New("the outcome of the amendment is not known")

// List returns all records that the token may read. An empty kind selects every
// kind.
func (c *Client) List(ctx context.Context, kind record.Kind) (*recordapi.List, error) {
	path := recordapi.PathList
	if kind != "" {
		path += "?kind=" + url.QueryEscape(string(kind))
	}
	out := new(recordapi.List)
	return out, c.call(ctx, http.MethodGet, path, nil, nil, out)
}

// Get returns one record.
func (c *Client) Get(ctx context.Context, kind record.Kind, name string) (*recordapi.Record, error) {
	out := new(recordapi.Record)
	return out, c.call(ctx, http.MethodGet, recordPath(kind, name), nil, nil, out)
}

func recordPath(kind record.Kind, name string) string {
	return recordapi.PathList + "/" + url.PathEscape(string(kind)) + "/" + (&url.URL{Path: name}).EscapedPath()
}

// Put writes the record in value if the stored revision equals expectedRevision
// (0: the record must not exist). It takes kind and name from value.
//
// If the response is lost, Put reads the record back until it shows the write,
// for up to recoveryTimeout. After that it returns ErrOutcomeUnknown.
func (c *Client) Put(ctx context.Context, value []byte, expectedRevision int64) (*recordapi.Record, error) {
	parsed, err := record.Parse(value)
	if err != nil {
		return nil, err
	}
	writeID := uuid.NewString()
	header := preconditionHeader(expectedRevision)
	header.Set("Idempotency-Key", writeID)
	out := new(recordapi.Record)
	err = c.call(ctx, http.MethodPut, recordPath(parsed.Kind, parsed.Name), header, value, out)
	if !isOutcomeUnknown(err) {
		return out, err
	}
	return c.readBack(ctx, parsed, writeID, err)
}

// readBack reads the record until it shows the write writeID, whose response
// was lost.
func (c *Client) readBack(ctx context.Context, parsed *record.Parsed, writeID string, cause error) (*recordapi.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		got, err := c.Get(ctx, parsed.Kind, parsed.Name)
		if err == nil && record.WriteID(got.Value) == writeID {
			got.Value = nil
			return got, nil
		}
		select {
		case <-time.After(recoveryInterval):
		case <-ctx.Done():
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// Delete removes a record if its revision equals expectedRevision.
func (c *Client) Delete(ctx context.Context, kind record.Kind, name string, expectedRevision int64) (*recordapi.Record, error) {
	out := new(recordapi.Record)
	err := c.call(ctx, http.MethodDelete, recordPath(kind, name), preconditionHeader(expectedRevision), nil, out)
	if isOutcomeUnknown(err) {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return out, err
}

// isOutcomeUnknown reports whether a failed call may still have taken effect.
func isOutcomeUnknown(err error) bool {
	if err == nil || errors.Is(err, ErrUnreachable) {
		return false
	}
	_, isAPIError := errors.AsType[*APIError](err)
	return !isAPIError
}

func preconditionHeader(expectedRevision int64) http.Header {
	h := http.Header{}
	if expectedRevision == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(expectedRevision, 10)))
	return h
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	// A request with an Idempotency-Key is resent by net/http on its own if the
	// body can be rewound. The second copy would conflict with the first.
	req.GetBody = nil
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return wrapConnectError(err)
	}
	defer resp.Body.Close()
	return decodeResponse(resp, out)
}

func decodeResponse(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode < 300 {
		if err := json.Unmarshal(b, out); err != nil {
			return fmt.Errorf("decode response: %w", err)
		}
		return nil
	}
	var e recordapi.ErrorBody
	if json.Unmarshal(b, &e) != nil || e.Error.Kind == "" {
		return fmt.Errorf("response: status %d without an API error body", resp.StatusCode)
	}
	return &APIError{Status: resp.StatusCode, Detail: e.Error}
}
