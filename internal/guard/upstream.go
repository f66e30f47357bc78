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
	DeadlineHeader = "Wigeontray-Deadline-Ms" // time left, in milliseconds
)

// Bounds on what is read of an answer besides its body.
const (
	maxDetailBytes         = 512 // bytes of an error's body that are kept
	maxResponseHeaderBytes = 64 << 10
)

// TaskName is the value of TaskHeader for a Ref.
func TaskName(ref wire.Ref) string {
	return ref.Member + "/" + ref.Key + "/" + strconv.Itoa(ref.Task)
}

// upstream posts tasks to the service beside the guard.
type upstream struct {
	baseURL          string
	path             atomic.Pointer[string] // read for each task, replaced by configuration
	maxResponseBytes int64
	transport        *http.Transport
}

// newUpstream leaves one of the connections to the health check. Redirects are
// not followed, since they are handled above the transport: a 307 would post
// the task a second time.
func newUpstream(opt Options) *upstream {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	u := &upstream{
		baseURL:          strings.TrimSuffix(opt.Upstream, "/"),
		maxResponseBytes: int64(opt.MaxAnswer),
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

// taskURL is where tasks are posted now.
func (u *upstream) taskURL() string { return u.baseURL + *u.path.Load() }

func (u *upstream) close() { u.transport.CloseIdleConnections() }

// taskResult is a Result and what it says about the upstream.
type taskResult struct {
	wire.Result
	isUnreachable bool // no connection could be made
}

// run posts one task and waits for the whole answer, until the deadline.
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

// newRequest makes a request that net/http cannot send again by itself. Transport
// repeats a request on a fresh connection when a reused one was closed and the
// request is "replayable": its method is safe, or it has an Idempotency-Key
// header, and its body can be had again by GetBody. For an upstream that read
// the request and then closed, the task would run twice. So the method is POST,
// no such header is set, and the body's type gives http.NewRequest no GetBody.
func (u *upstream) newRequest(ctx context.Context, task ledger.Run) (*http.Request, error) {
	body := struct{ io.Reader }{bytes.NewReader(task.Body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.taskURL(), body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.ContentLength = int64(len(task.Body))
	if len(task.Body) == 0 {
		req.Body = http.NoBody // a body of unknown length would be sent in chunks
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(TaskHeader, TaskName(task.Ref))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(max(0, time.Until(task.Deadline).Milliseconds()), 10))
	return req, nil
}

// readResponse takes in an answer whole, or tells why it is not.
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

// isCloseDelimited tells whether the end of the body was only told by the end of the
// connection. An upstream that dies in the middle of such a body looks as if it
// had finished, and half an answer would be passed on as a whole one.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func failedResult(kind errkind.Kind, ran errkind.Ran, err error) taskResult {
	return taskResult{Result: wire.Result{Kind: kind, Ran: ran, Detail: err.Error()}}
}

// truncateDetail bounds a detail and keeps it valid UTF-8: a text string that is not is
// refused by the decoder at the entry, which would end the link.
func truncateDetail(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return strings.ToValidUTF8(detail, "?")
}
