package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/jobs"
)

// The bodies of the callers' API. docs/http.md is their reference.

// jobBody answers for one job.
type jobBody struct {
	Job      string        `json:"job,omitempty"`
	State    string        `json:"state"`
	Results  []resultBody  `json:"results,omitempty"`
	Error    *errorBody    `json:"error,omitempty"`
	Failures []failureBody `json:"failures,omitempty"`
}

// States of a job.
const (
	stateRunning  = "running"
	stateComplete = "complete"
	stateFailed   = "failed"
)

// resultBody is one task's result: the upstream's body as JSON where it is
// JSON, else in base64.
type resultBody struct {
	Status int             `json:"status"`
	JSON   json.RawMessage `json:"body,omitempty"`
	Base64 []byte          `json:"body_base64,omitempty"`
}

type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
	Ran     string `json:"ran"`
	Advice  string `json:"advice"`
	AfterMs int64  `json:"retry_after_ms,omitempty"`
}

type failureBody struct {
	Task   int    `json:"task"`
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Detail string `json:"detail,omitempty"`
}

func newErrorBody(e *errkind.Error) *errorBody {
	row := e.Kind.Answer()
	return &errorBody{
		Kind: row.Name, Message: row.Text, Detail: clip(e.Detail),
		Ran: e.Ran.String(), Advice: row.Advice.String(), AfterMs: e.After.Milliseconds(),
	}
}

// maxDetail bounds the detail of an answer, in bytes. Some repeat what the caller
// sent, which would come back in full and be held for resubmissions.
const maxDetail = 1 << 10

func clip(detail string) string {
	if len(detail) <= maxDetail {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetail], "") + "..."
}

// outcomeAnswer renders the final answer of a job.
func outcomeAnswer(key string, o *dispatch.Outcome) *jobs.Answer {
	if o.Err != nil {
		return failedAnswer(key, o.Err, o.Failures)
	}
	body := jobBody{Job: key, State: stateComplete, Results: make([]resultBody, len(o.Results))}
	for i, r := range o.Results {
		body.Results[i] = newResultBody(r)
	}
	return &jobs.Answer{Ran: errkind.RanYes, Body: marshal(body)}
}

func newResultBody(r dispatch.TaskResult) resultBody {
	if json.Valid(r.Body) {
		return resultBody{Status: r.Status, JSON: r.Body}
	}
	return resultBody{Status: r.Status, Base64: r.Body}
}

func failedAnswer(key string, e *errkind.Error, failures []dispatch.TaskFailure) *jobs.Answer {
	body := jobBody{Job: key, State: stateFailed, Error: newErrorBody(e)}
	for _, f := range failures {
		body.Failures = append(body.Failures, failureBody{Task: f.Task, Kind: f.Kind.String(), Ran: f.Ran.String(), Detail: clip(f.Detail)})
	}
	return &jobs.Answer{Kind: e.Kind, Ran: e.Ran, Body: marshal(body), After: e.After}
}

// heldAnswer gives the body of a, or tells that it was dropped.
func heldAnswer(key string, a *jobs.Answer) *jobs.Answer {
	if a.Body != nil {
		return a
	}
	if a.Kind == errkind.None {
		return failedAnswer(key, errkind.New(errkind.AnswerGone, "the answer was complete"), nil)
	}
	return failedAnswer(key, errkind.New(a.Kind, "the list of failures is no longer held").WithRan(a.Ran), nil)
}

func runningBody(key string) []byte { return marshal(jobBody{Job: key, State: stateRunning}) }

func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types above always encode; raw JSON was checked
	}
	return b
}

// writeAnswer sends an answer with its status and Retry-After.
func writeAnswer(w http.ResponseWriter, a *jobs.Answer) {
	writeBody(w, a.Kind.Answer().Status, a.Body, a.After)
}

func writeError(w http.ResponseWriter, key string, err error) {
	writeAnswer(w, failedAnswer(key, errkind.From(err), nil))
}

// writeBody sends JSON. after becomes a Retry-After of whole seconds, rounded
// up, so that a caller that obeys it does not come back too early.
func writeBody(w http.ResponseWriter, status int, body []byte, after time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if after > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has gone resubmits and joins the record
}
