// Package errkind owns the closed list of error kinds that wigeontray answers
// with, and the table from a kind to its answer. It imports nothing of the
// project, so that every other package may name a kind.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind names one reason for a refusal or a failure. The zero value is None.
type Kind uint8

// The closed list. The order is part of the inner protocol: append only.
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
	kindCount
)

// Ran says what is known of the start of a task that a kind speaks about.
type Ran uint8

// What an answer claims about a start. RanNo is a promise: the task never ran
// under this identity and never will. A refusal that leaves no record cannot
// promise that, as a delayed copy of the request may still be accepted.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String gives the word used in answers.
func (r Ran) String() string { return [...]string{"unknown", "no", "yes"}[r] }

// Advice tells a caller what may be done after an error.
type Advice uint8

// Advice values, as written in answers.
const (
	AdviceNone        Advice = iota // the request itself must change
	AdviceSame                      // resubmit later under the same identity
	AdviceNewIdentity               // resubmit under a new identity
	AdviceAsk                       // ask for the outcome; do not resubmit
)

// String gives the word used in answers.
func (a Advice) String() string { return [...]string{"none", "same", "new-identity", "ask"}[a] }

// Answer is one row of the table from kind to answer.
type Answer struct {
	Name   string // the word in JSON bodies and counters
	Status int    // HTTP status
	Ran    Ran    // what the kind claims unless the error says more
	Advice Advice
	Text   string // one sentence for people
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
	WrongRegion:        {"wrong_region", http.StatusMisdirectedRequest, RanUnknown, AdviceSame, "the member's requests are served in another region; nothing was started by this request"},
	DeadlineExpired:    {"deadline_expired", http.StatusGatewayTimeout, RanNo, AdviceNewIdentity, "the deadline passed before the task could start"},
	CannotFinishInTime: {"cannot_finish_in_time", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the work cannot finish before its deadline"},
	OverQuota:          {"over_quota", http.StatusTooManyRequests, RanNo, AdviceNewIdentity, "the team's quota is used up"},
	NeverFits:          {"never_fits", http.StatusUnprocessableEntity, RanNo, AdviceNone, "no worker could ever run this"},
	NoWorkers:          {"no_workers", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "no worker for the service is connected"},
	Draining:           {"draining", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "this process is stopping"},
	HomeUnreachable:    {"home_unreachable", http.StatusServiceUnavailable, RanUnknown, AdviceSame, "the entry that owns the identity cannot be reached now; nothing was started by this request"},
	OutcomeUnknown:     {"outcome_unknown", http.StatusConflict, RanUnknown, AdviceAsk, "whether the request ran cannot be known; it will not be started again"},
	NotRun:             {"not_run", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the request provably never ran and never will under this identity"},
	Busy:               {"busy", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "every slot is taken"},
	Fenced:             {"fenced", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "the entry was declared gone"},
	Cancelled:          {"cancelled", http.StatusConflict, RanNo, AdviceNewIdentity, "the caller cancelled the job"},
	UpstreamFailed:     {"upstream_failed", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the upstream answered with an error"},
	UpstreamPartial:    {"upstream_partial", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the upstream's answer was cut off"},
	TimedOut:           {"timed_out", http.StatusGatewayTimeout, RanUnknown, AdviceAsk, "no answer came before the deadline"},
	WorkerLost:         {"worker_lost", http.StatusBadGateway, RanUnknown, AdviceAsk, "the worker was lost while it held the task"},
	AnswerGone:         {"answer_gone", http.StatusGone, RanYes, AdviceNone, "the job was answered before and its answer is no longer held"},
	RecordConflict:     {"record_conflict", http.StatusPreconditionFailed, RanNo, AdviceNone, "the record was amended by somebody else"},
	RecordInvalid:      {"record_invalid", http.StatusUnprocessableEntity, RanNo, AdviceNone, "the record is not valid"},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, RanUnknown, AdviceSame, "the platform's store does not answer"},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, RanNo, AdviceNewIdentity, "this process is at its limit"},
	Internal:           {"internal", http.StatusInternalServerError, RanUnknown, AdviceAsk, "an internal error"},
	TooManyJobs:        {"too_many_jobs", http.StatusServiceUnavailable, RanUnknown, AdviceSame, "the member has too many unfinished jobs or open requests; nothing was started by this request"},
	Stalled:            {"stalled", http.StatusBadGateway, RanYes, AdviceNewIdentity, "the task made no progress on its worker and was stopped"},
	MethodNotAllowed:   {"method_not_allowed", http.StatusMethodNotAllowed, RanUnknown, AdviceNone, "the path does not take this method"},
}

// All lists every kind but None.
func All() []Kind {
	out := make([]Kind, 0, kindCount-1)
	for k := None + 1; k < kindCount; k++ {
		out = append(out, k)
	}
	return out
}

// Answer gives the row of k; a kind of a newer version answers as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String gives the kind's word in answers and counters.
func (k Kind) String() string { return k.Answer().Name }

// Error is an error of the closed list. After, when set, is the time after
// which a retry can succeed. Ran overrides the table's claim.
type Error struct {
	Kind   Kind
	Ran    Ran
	Detail string
	After  time.Duration
	cause  error
}

// New returns an error of kind k with the table's claim about the start. The
// format may wrap a cause with %w.
func New(k Kind, format string, args ...any) *Error {
	cause := fmt.Errorf(format, args...)
	return &Error{Kind: k, Ran: k.Answer().Ran, Detail: cause.Error(), cause: errors.Unwrap(cause)}
}

// WithRan returns a copy of e that claims r.
func (e *Error) WithRan(r Ran) *Error { c := *e; c.Ran = r; return &c }

// WithAfter returns a copy of e that tells the caller to come back after d.
func (e *Error) WithAfter(d time.Duration) *Error { c := *e; c.After = d; return &c }

// Error joins the kind's word and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Unwrap gives the wrapped cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Of finds the kind of err; errors from outside the list are Internal.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Internal
}

// From turns any error into an *Error.
func From(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(Internal, "%w", err)
}
