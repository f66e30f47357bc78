// Package errkind defines the closed list of error kinds that wigeontray responds with, and
// the table that maps each kind to its HTTP status, its claim about the start of a task and
// its advice. It imports nothing of the project, so that every other package can use it.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind identifies the reason of a refusal or failure. The zero value is None.
type Kind uint8

// The error kinds. Their order is part of the inner protocol: append only.
const (
	None Kind = iota
	BadRequest
	Unauthenticated
	Forbidden
	NotFound
	UnknownService
	TooLarge
	TooManyTasks
	IdentityReused
	IdentityExpired
	WrongRegion
	DeadlineExpired
	CannotFinishInTime
	OverQuota
	NeverFits
	NoWorkers
	Draining
	HomeUnreachable
	OutcomeUnknown
	NotRun
	Busy
	Fenced
	Cancelled
	UpstreamFailed
	UpstreamPartial
	TimedOut
	WorkerLost
	AnswerGone
	RecordConflict
	RecordInvalid
	StoreUnavailable
	Overloaded
	Internal
	TooManyJobs
	MethodNotAllowed
	Stalled
	OverShare
	kindCount
)

// Ran states whether the task that an error concerns was started.
type Ran uint8

// Values of Ran. RanNo is a guarantee: the task has not run under this identity and never
// will. A refusal that leaves no record cannot give this guarantee, since a delayed copy of
// the request may still be accepted.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the name used in responses.
func (r Ran) String() string { return [...]string{"unknown", "no", "yes"}[r] }

// Advice states how a caller can proceed after an error.
type Advice uint8

// Values of Advice.
const (
	AdviceNone         Advice = iota // the request itself must be changed
	AdviceSameIdentity               // resubmit later under the same identity
	AdviceNewIdentity                // resubmit under a new identity
	AdviceQueryOutcome               // query the outcome; do not resubmit
)

// String returns the name used in responses.
func (a Advice) String() string { return [...]string{"none", "same", "new-identity", "ask"}[a] }

// Answer is the row of a kind in the table of responses.
type Answer struct {
	Name   string // name in JSON bodies and metrics
	Status int    // HTTP status
	Ran    Ran    // default claim, unless the error overrides it
	Advice Advice
	Text   string // one sentence for a human reader
}

var table = [kindCount]Answer{
	None:               {"none", http.StatusOK, RanYes, AdviceNone, "no error"},
	BadRequest:         {"bad_request", http.StatusBadRequest, RanNo, AdviceNone, "the request is malformed"},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, RanNo, AdviceNone, "the token is missing or unknown"},
	Forbidden:          {"forbidden", http.StatusForbidden, RanNo, AdviceNone, "the member may not do this"},
	NotFound:           {"not_found", http.StatusNotFound, RanUnknown, AdviceNone, "nothing is known under this name"},
	UnknownService:     {"unknown_service", http.StatusNotFound, RanNo, AdviceNone, "the member has no such service"},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, RanNo, AdviceNone, "the body exceeds the limit"},
	TooManyTasks:       {"too_many_tasks", http.StatusRequestEntityTooLarge, RanNo, AdviceNone, "the job has too many tasks"},
	IdentityReused:     {"identity_reused", http.StatusUnprocessableEntity, RanUnknown, AdviceNewIdentity, "the identity belongs to another request"},
	IdentityExpired:    {"identity_expired", http.StatusGone, RanUnknown, AdviceNewIdentity, "the identity's birth lies outside the time in which this system can vouch for it; nothing was started by this request"},
	WrongRegion:        {"wrong_region", http.StatusMisdirectedRequest, RanUnknown, AdviceSameIdentity, "the member's requests are served in another region; nothing was started by this request"},
	DeadlineExpired:    {"deadline_expired", http.StatusGatewayTimeout, RanNo, AdviceNewIdentity, "the deadline passed before the task could start"},
	CannotFinishInTime: {"cannot_finish_in_time", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the work cannot finish before its deadline"},
	OverQuota:          {"over_quota", http.StatusTooManyRequests, RanNo, AdviceNewIdentity, "the team's quota is used up"},
	NeverFits:          {"never_fits", http.StatusUnprocessableEntity, RanNo, AdviceNone, "no worker could ever run this"},
	NoWorkers:          {"no_workers", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "no worker for the service is connected"},
	Draining:           {"draining", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "this process is stopping"},
	HomeUnreachable:    {"home_unreachable", http.StatusServiceUnavailable, RanUnknown, AdviceSameIdentity, "the entry that owns the identity cannot be reached now; nothing was started by this request"},
	OutcomeUnknown:     {"outcome_unknown", http.StatusConflict, RanUnknown, AdviceQueryOutcome, "whether the request ran cannot be known; it will not be started again"},
	NotRun:             {"not_run", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the request provably never ran and never will under this identity"},
	Busy:               {"busy", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "every slot is taken"},
	Fenced:             {"fenced", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the entry was declared gone"},
	Cancelled:          {"cancelled", http.StatusConflict, RanNo, AdviceNewIdentity, "the caller cancelled the job"},
	UpstreamFailed:     {"upstream_failed", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the upstream answered with an error"},
	UpstreamPartial:    {"upstream_partial", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the upstream's answer was cut off"},
	TimedOut:           {"timed_out", http.StatusGatewayTimeout, RanUnknown, AdviceQueryOutcome, "no answer came before the deadline"},
	WorkerLost:         {"worker_lost", http.StatusBadGateway, RanUnknown, AdviceQueryOutcome, "the worker was lost while it held the task"},
	AnswerGone:         {"answer_gone", http.StatusGone, RanYes, AdviceNone, "the job was answered before and its answer is no longer held"},
	RecordConflict:     {"record_conflict", http.StatusPreconditionFailed, RanNo, AdviceNone, "the record was amended by somebody else"},
	RecordInvalid:      {"record_invalid", http.StatusUnprocessableEntity, RanNo, AdviceNone, "the record is not valid"},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, RanUnknown, AdviceSameIdentity, "the platform's store does not answer"},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "this process is at its limit"},
	Internal:           {"internal", http.StatusInternalServerError, RanUnknown, AdviceQueryOutcome, "an internal error"},
	TooManyJobs:        {"too_many_jobs", http.StatusServiceUnavailable, RanUnknown, AdviceSameIdentity, "the member has too many unfinished jobs or open requests; nothing was started by this request"},
	Stalled:            {"stalled", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the task made no progress on its worker and was stopped"},
	OverShare:          {"over_share", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the caller asks for more than its share of scarce capacity"},
	MethodNotAllowed:   {"method_not_allowed", http.StatusMethodNotAllowed, RanUnknown, AdviceNone, "the path does not take this method"},
}

// All returns every kind except None.
func All() []Kind {
	out := make([]Kind, 0, kindCount-1)
	for k := None + 1; k < kindCount; k++ {
		out = append(out, k)
	}
	return out
}

// Answer returns the row of k. A kind of a newer version is treated as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name in responses and metrics.
func (k Kind) String() string { return k.Answer().Name }

// Error is an error of a listed kind. After, if set, is the delay after which a retry can
// succeed. Ran overrides the default claim of the kind.
type Error struct {
	Kind   Kind
	Ran    Ran
	Detail string
	After  time.Duration
	cause  error
}

// New returns an error of kind k with the kind's default claim about the start. The format
// may wrap a cause with %w.
func New(k Kind, format string, args ...any) *Error {
	cause := fmt.Errorf(format, args...)
	return &Error{Kind: k, Ran: k.Answer().Ran, Detail: cause.Error(), cause: errors.Unwrap(cause)}
}

// WithRan returns a copy of e with the claim r.
func (e *Error) WithRan(r Ran) *Error { c := *e; c.Ran = r; return &c }

// WithAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithAfter(d time.Duration) *Error { c := *e; c.After = d; return &c }

// Error returns the name of the kind, followed by the detail if there is one.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err: None for nil, and Internal for an error that wraps no
// *Error.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Internal
}

// From returns the *Error that err wraps, or an Internal one that wraps err.
func From(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(Internal, "%w", err)
}
