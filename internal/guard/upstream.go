package guard

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// Headers of a request to the upstream.
const (
	TaskHeader     = "Wigeontray-Task"        // member/key/task
	DeadlineHeader = "Wigeontray-Deadline-Ms" // time until the deadline, in milliseconds
)

// Size limits of error details and response headers.
const (
	maxDetailBytes         = 512 // of an error response's body, and of a result's Detail
	maxResponseHeaderBytes = 64 << 10
)

// TaskName returns the value of TaskHeader for a Ref.
func TaskName(ref wire.Ref) string {
	return ref.Member + "/" + ref.Key + "/" + strconv.Itoa(ref.Task)
}

// upstream is the HTTP client that posts tasks to the guard's upstream.
type upstream struct {
	baseURL          string
	path             atomic.Pointer[string] // read for each task, replaced by configuration
	maxResponseBytes int64
	transport        *http.Transport
}

// newUpstream returns a client of the upstream in opt. One of opt.Connections is
// left to the health check. Tasks use the transport directly, because an
// http.Client follows redirects and a 307 would post the task a second time.
func newUpstream(opt Options) *upstream {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	u := &upstream{
		baseURL:          strings.TrimSuffix(opt.Upstream, "/"),
		maxResponseBytes: int64(opt.MaxResponseBytes),
		transport: &http.Transport{
			DialContext:            trackedDialer(opt.DialUpstream),
			MaxConnsPerHost:        opt.Connections - 1,
			MaxIdleConnsPerHost:    opt.Connections - 1,
			IdleConnTimeout:        opt.UpstreamIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			Protocols:              protocols,
		},
	}
	path := cmp.Or(opt.Path, "/")
	u.path.Store(&path)
	return u
}

// taskURL returns the URL to which tasks are currently posted.
func (u *upstream) taskURL() string { return u.baseURL + *u.path.Load() }

func (u *upstream) close() { u.transport.CloseIdleConnections() }

// taskResult is the Result of a task and the reachability of the upstream.
type taskResult struct {
	wire.Result
	isUnreachable bool // dialing the upstream failed
}

// run posts one task and waits until its deadline for the complete response.
func (u *upstream) run(ctx context.Context, task ledger.Run) taskResult {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, task.Deadline)
	defer cancel()
	res := u.post(ctx, task)
	res.Ref = task.Ref
	res.RunMs = time.Since(startedAt).Milliseconds()
	res.Detail = truncateDetail(res.Detail)
	return res
}

func (u *upstream) post(ctx context.Context, task ledger.Run) taskResult {
	var attempts connAttempts
	req, err := u.newRequest(httptrace.WithClientTrace(ctx, attempts.trace()), task)
	if err != nil {
		return failedResult(errkind.BadRequest, errkind.RanNo, err)
	}
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		return attempts.classifyError(ctx, err)
	}
	defer resp.Body.Close()
	return u.readResponse(ctx, resp)
}

// newRequest builds a request that net/http cannot resend automatically. When a
// reused connection is closed, Transport retries a request on a new connection
// if the request is "replayable": its method is safe or it has an
// Idempotency-Key header, and GetBody can return its body again. If the upstream
// had read the request before it closed the connection, the task would run
// twice. Therefore the method is POST, no such header is set, and the type of
// the body is one for which http.NewRequest sets no GetBody.
func (u *upstream) newRequest(ctx context.Context, task ledger.Run) (*http.Request, error) {
	body := struct{ io.Reader }{bytes.NewReader(task.Body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.taskURL(), body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.ContentLength = int64(len(task.Body))
	if len(task.Body) == 0 {
		req.Body = http.NoBody // with length 0, any other body is sent chunked
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(TaskHeader, TaskName(task.Ref))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(max(0, time.Until(task.Deadline).Milliseconds()), 10))
	return req, nil
}

// readResponse reads a complete response, or returns a result that explains why
// it is incomplete or rejected.
func (u *upstream) readResponse(ctx context.Context, resp *http.Response) taskResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, u.maxResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return failedResult(errkind.TimedOut, errkind.RanYes, fmt.Errorf("read answer: %w", err))
	case err != nil:
		return failedResult(errkind.UpstreamPartial, errkind.RanYes, fmt.Errorf("read answer: %w", err))
	case int64(len(body)) > u.maxResponseBytes:
		return failedResult(errkind.UpstreamFailed, errkind.RanYes, fmt.Errorf("answer exceeds %d bytes", u.maxResponseBytes))
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		res := failedResult(errkind.UpstreamFailed, errkind.RanYes, errors.New(string(body[:min(len(body), maxDetailBytes)])))
		res.Status = resp.StatusCode
		return res
	case isCloseDelimited(resp):
		return failedResult(errkind.UpstreamPartial, errkind.RanYes, errors.New("answer has neither a length nor chunks"))
	}
	return taskResult{Result: wire.Result{Ran: errkind.RanYes, Status: resp.StatusCode, Body: body}}
}

// isCloseDelimited reports whether the end of the body is marked only by the
// close of the connection. If the upstream crashes while it sends such a body,
// the truncated response cannot be distinguished from a complete one.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func failedResult(kind errkind.Kind, ran errkind.Ran, err error) taskResult {
	return taskResult{Result: wire.Result{Kind: kind, Ran: ran, Detail: err.Error()}}
}

// truncateDetail limits detail to maxDetailBytes and replaces invalid UTF-8: the
// decoder of the entry rejects invalid text strings, which would close the link.
func truncateDetail(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return strings.ToValidUTF8(detail, "?")
}
