package entry

import (
	"context"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/jobs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// request is an authenticated caller's request about one job.
type request struct {
	op     string // one of the wire.Op constants
	member string
	key    identity.Key
	wait   time.Duration
	body   []byte // body of a submission
}

// Router finds the entry that owns a job key, and forwards requests to other
// entries.
type Router interface {
	// Owner returns the only entry that may start key. An error is final for this
	// request and says why nothing was started.
	Owner(member string, key identity.Key) (identity.Incarnation, *errkind.Error)
	// MayStart returns nil if this entry may start key, or a refusal. A refusal may
	// be lifted later, but a permission is permanent. MayStart must be called
	// before a job is admitted.
	MayStart(member string, key identity.Key) *errkind.Error
	// Forward sends a request to the owner of its key. It fails with
	// HomeUnreachable if there is no answer.
	Forward(ctx context.Context, to identity.Incarnation, f *wire.Forward) (*wire.Forwarded, error)
	// Recover reconstructs the outcome of a job from the guards when the owner
	// cannot be reached.
	Recover(ctx context.Context, home identity.Incarnation, member string, key identity.Key) *RecoveryResult
	// Entries returns the entries that guards should link to.
	Entries() []wire.EntryAddr
	// GuardUp reports that a guard has linked; Server.GuardReady is called once it
	// may be used. GuardDown reports a lost link. GuardLost reports that this entry
	// will send nothing more to a guard until GuardReady is called for it again.
	GuardUp(g identity.Incarnation)
	GuardDown(g identity.Incarnation)
	GuardLost(g identity.Incarnation)
	// ReceiveFromGuard handles a FenceReport or Collected frame.
	ReceiveFromGuard(g identity.Incarnation, f *wire.Frame)
	// Roster returns the current roster, for operators.
	Roster() RosterStatus
}

// RosterStatus is the roster as last seen by an entry.
type RosterStatus struct {
	Version int64                  `json:"version"`
	Members []identity.Incarnation `json:"members"`
	// HorizonMs is the creation time below which keys without a home may be started
	// now, in milliseconds since the Unix epoch.
	HorizonMs int64 `json:"horizon_ms"`
	// Linked lists the entries that have a link to this one.
	Linked []identity.Incarnation `json:"linked"`
}

// RecoveryResult is the outcome of a job of a lost entry, as far as guards can
// prove it.
type RecoveryResult struct {
	Results []dispatch.TaskResult // of all tasks, or nil
	Err     *errkind.Error        // set if Results is nil
}

// reply is the response to a caller.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration
	kind       errkind.Kind
}

func replyFromAnswer(a *jobs.Answer) reply {
	return reply{status: a.Kind.Answer().Status, body: a.Body, retryAfter: a.After, kind: a.Kind}
}

func errorReply(key string, err *errkind.Error) reply {
	return replyFromAnswer(failedAnswer(key, err, nil))
}

// route answers a request locally or forwards it to the entry that owns its key.
func (s *Server) route(ctx context.Context, q *request) reply {
	owner, err := s.router.Owner(q.member, q.key)
	if err != nil {
		return errorReply(q.key.Text, err)
	}
	if owner == s.id {
		return s.serveLocal(ctx, q)
	}
	return s.forward(ctx, owner, q)
}

// Timeouts for requests to other entries.
const (
	forwardMargin  = 500 * time.Millisecond // added to the job's own deadline
	recoverTimeout = 2 * time.Second
)

// forward sends the request to its owner. The wait is limited by the job's
// deadline: an owner that hangs does not answer, but its link stays up for a while.
// After a failure the outcome is unknown, unless the owner has been declared gone and
// the guards can report it.
func (s *Server) forward(ctx context.Context, owner identity.Incarnation, q *request) reply {
	timeout, refusal := s.forwardTimeout(q)
	if refusal != nil {
		return errorReply(q.key.Text, refusal)
	}
	s.metrics.Inc(telemetry.JobsForwarded)
	f := &wire.Forward{Op: q.op, Member: q.member, Key: q.key.Text, LeftMs: timeout.Milliseconds(), WaitMs: q.wait.Milliseconds(), Body: q.body}
	forwardCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := s.router.Forward(forwardCtx, owner, f)
	if err == nil {
		return reply{status: resp.Status, body: resp.Body, retryAfter: time.Duration(resp.RetryAfterMs) * time.Millisecond, kind: resp.Kind}
	}
	s.metrics.CountRetry(telemetry.RetryForward)
	return s.recoverFromGuards(ctx, owner, q)
}

// forwardTimeout returns how long the owner may take to answer.
func (s *Server) forwardTimeout(q *request) (time.Duration, *errkind.Error) {
	if q.op != wire.OpSubmit {
		return min(q.wait, s.opts.MaxDeadline) + forwardMargin, nil
	}
	sub, err := parseSubmission(q.body)
	if err != nil {
		return 0, withRanUnknown(err)
	}
	return s.jobTimeout(sub, s.opts.MaxDeadline) + forwardMargin, nil
}

// jobTimeout returns the time that a submission allows for its answer. The limit is
// applied in milliseconds, because a very large number of milliseconds overflows a
// time.Duration, and the job would appear to have expired long ago.
func (s *Server) jobTimeout(sub *submission, defaultTimeout time.Duration) time.Duration {
	if sub.DeadlineMs == 0 {
		return defaultTimeout
	}
	return time.Duration(min(sub.DeadlineMs, s.opts.MaxDeadline.Milliseconds())) * time.Millisecond
}

// recoverFromGuards answers a request whose owner did not answer.
func (s *Server) recoverFromGuards(ctx context.Context, owner identity.Incarnation, q *request) reply {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	recovered := s.router.Recover(ctx, owner, q.member, q.key)
	if recovered.Results == nil {
		return errorReply(q.key.Text, recovered.Err)
	}
	o := &dispatch.Outcome{ID: dispatch.JobID{Member: q.member, Key: q.key.Text}, Results: recovered.Results}
	return replyFromAnswer(outcomeAnswer(q.key.Text, o))
}

// ServeForward answers a request that was forwarded by another entry.
func (s *Server) ServeForward(ctx context.Context, f *wire.Forward) *wire.Forwarded {
	key, err := identity.Parse(f.Key)
	if err != nil {
		return newForwarded(f.ID, errorReply(f.Key, errkind.New(errkind.BadRequest, "%w", err)))
	}
	q := &request{op: f.Op, member: f.Member, key: key, wait: time.Duration(f.WaitMs) * time.Millisecond, body: f.Body}
	owner, refusal := s.router.Owner(q.member, key)
	switch {
	case refusal != nil:
		return newForwarded(f.ID, errorReply(f.Key, refusal))
	case owner != s.id:
		// The two entries briefly have different roster versions. Forwarding the
		// request again could create a loop.
		return newForwarded(f.ID, errorReply(f.Key, errkind.New(errkind.HomeUnreachable, "the roster is changing").WithAfter(time.Second)))
	}
	return newForwarded(f.ID, s.serveLocal(ctx, q))
}

func newForwarded(id uint64, r reply) *wire.Forwarded {
	return &wire.Forwarded{ID: id, Status: r.status, Body: r.body, Kind: r.kind, RetryAfterMs: r.retryAfter.Milliseconds()}
}
