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

// The response bodies of the callers' API, as documented in docs/http.md.

// jobBody is the response body for one job.
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

// resultBody is the result of one task. The upstream's body is embedded as JSON if
// it is valid JSON, else it is encoded in base64.
type resultBody struct {
	Status int             `json:"status"`
	JSON   json.RawMessage `json:"body,omitempty"`
	Base64 []byte          `json:"body_base64,omitempty"`
}

type errorBody struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	Detail       string `json:"detail,omitempty"`
	Ran          string `json:"ran"`
	Advice       string `json:"advice"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
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
		Kind: row.Name, Message: row.Text, Detail: truncateDetail(e.Detail),
		Ran: e.Ran.String(), Advice: row.Advice.String(), RetryAfterMs: e.After.Milliseconds(),
	}
}

// maxDetailBytes limits the detail of an answer. Some details repeat input of the
// caller, which would otherwise be returned in full and kept in memory for
// resubmissions.
const maxDetailBytes = 1 << 10

func truncateDetail(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "") + "..."
}

// outcomeAnswer returns the final answer of a job.
func outcomeAnswer(key string, o *dispatch.Outcome) *jobs.Answer {
	if o.Err != nil {
		return failedAnswer(key, o.Err, o.Failures)
	}
	body := jobBody{Job: key, State: stateComplete, Results: make([]resultBody, len(o.Results))}
	for i, r := range o.Results {
		body.Results[i] = newResultBody(r)
	}
	return &jobs.Answer{Ran: errkind.RanYes, Body: mustMarshal(body)}
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
		body.Failures = append(body.Failures, failureBody{Task: f.Task, Kind: f.Kind.String(), Ran: f.Ran.String(), Detail: truncateDetail(f.Detail)})
	}
	return &jobs.Answer{Kind: e.Kind, Ran: e.Ran, Body: mustMarshal(body), After: e.After}
}

// answerWithBody returns a, or an error answer that says that the body of a has
// been dropped from memory.
func answerWithBody(key string, a *jobs.Answer) *jobs.Answer {
	if a.Body != nil {
		return a
	}
	if a.Kind == errkind.None {
		return failedAnswer(key, errkind.New(errkind.AnswerGone, "the answer was complete"), nil)
	}
	return failedAnswer(key, errkind.New(a.Kind, "the list of failures is no longer held").WithRan(a.Ran), nil)
}

func runningBody(key string) []byte { return mustMarshal(jobBody{Job: key, State: stateRunning}) }

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types above can always be encoded, and raw JSON was validated
	}
	return b
}

// writeAnswer sends an answer with its status code and Retry-After header.
func writeAnswer(w http.ResponseWriter, a *jobs.Answer) {
	writeBody(w, a.Kind.Answer().Status, a.Body, a.After)
}

func writeError(w http.ResponseWriter, key string, err error) {
	writeAnswer(w, failedAnswer(key, errkind.From(err), nil))
}

// writeBody sends a JSON body. A positive retryAfter is sent as Retry-After in
// whole seconds, rounded up so that a caller that respects it does not retry too
// early.
func writeBody(w http.ResponseWriter, status int, body []byte, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has disconnected can resubmit to get the recorded answer
}
