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

// request is a caller's request about one job, after authentication.
type request struct {
	op     string // a wire.Op constant
	member string
	key    identity.Key
	wait   time.Duration
	body   []byte // of a submission
}

// Router tells which entry owns an identity and reaches the others.
type Router interface {
	// Owner gives the entry that alone may start key. The error is final for
	// this request and says why nothing was started.
	Owner(member string, key identity.Key) (identity.Incarnation, *errkind.Error)
	// MayStart tells whether this entry may start key: nil for good, or a
	// refusal that may be lifted later. It is asked before a job is admitted.
	MayStart(member string, key identity.Key) *errkind.Error
	// Forward passes a request to its owner. It fails with HomeUnreachable
	// when no answer came.
	Forward(ctx context.Context, to identity.Incarnation, f *wire.Forward) (*wire.Forwarded, error)
	// Recover answers for an owner that cannot be reached: what guards can prove.
	Recover(ctx context.Context, home identity.Incarnation, member string, key identity.Key) *Recovered
	// Entries lists the entries that guards should link to.
	Entries() []wire.EntryAddr
	// GuardUp notes a linked guard; Server.GuardReady follows once it may be
	// used. GuardDown notes a lost link, and GuardLost that this entry will
	// send nothing more to a guard unless it becomes ready anew.
	GuardUp(g identity.Incarnation)
	GuardDown(g identity.Incarnation)
	GuardLost(g identity.Incarnation)
	// FromGuard takes a FenceReport or Collected.
	FromGuard(g identity.Incarnation, f *wire.Frame)
	// Roster tells what is in force, for operators.
	Roster() RosterStatus
}

// RosterStatus is the roster as an entry knows it.
type RosterStatus struct {
	Version int64                  `json:"version"`
	Members []identity.Incarnation `json:"members"`
	// HorizonMs is the birth below which plain identities may start now, in
	// milliseconds of the Unix epoch.
	HorizonMs int64 `json:"horizon_ms"`
	// Linked are the entries with a link to this one.
	Linked []identity.Incarnation `json:"linked"`
}

// Recovered is what could be proved about a job of an entry that is gone.
type Recovered struct {
	Results []dispatch.TaskResult // all of them, or nil
	Err     *errkind.Error        // set when Results is nil
}

// reply is what a caller gets.
type reply struct {
	status int
	body   []byte
	after  time.Duration
	kind   errkind.Kind
}

func answerReply(a *jobs.Answer) reply {
	return reply{status: a.Kind.Answer().Status, body: a.Body, after: a.After, kind: a.Kind}
}

func errorReply(key string, err *errkind.Error) reply {
	return answerReply(failedAnswer(key, err, nil))
}

// route answers a request here or at the entry that owns its identity.
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

// Bounds on waiting for another entry.
const (
	forwardMargin  = 500 * time.Millisecond // beyond the job's own deadline
	recoverTimeout = 2 * time.Second
)

// forward passes the request on. The job's deadline bounds the wait: an owner
// that is frozen answers nothing, and its link looks alive for a while. After a
// failure nothing is known of the outcome, unless the owner is gone for good
// and guards can tell.
func (s *Server) forward(ctx context.Context, owner identity.Incarnation, q *request) reply {
	bound, refusal := s.forwardBound(q)
	if refusal != nil {
		return errorReply(q.key.Text, refusal)
	}
	s.metrics.Inc(telemetry.JobsForwarded)
	f := &wire.Forward{Op: q.op, Member: q.member, Key: q.key.Text, LeftMs: bound.Milliseconds(), WaitMs: q.wait.Milliseconds(), Body: q.body}
	sent, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	got, err := s.router.Forward(sent, owner, f)
	if err == nil {
		return reply{status: got.Status, body: got.Body, after: time.Duration(got.AfterMs) * time.Millisecond, kind: got.Kind}
	}
	s.metrics.Retried(telemetry.RetryForward)
	return s.recover(ctx, owner, q)
}

// forwardBound is how long the owner may take to answer.
func (s *Server) forwardBound(q *request) (time.Duration, *errkind.Error) {
	if q.op != wire.OpSubmit {
		return min(q.wait, s.opts.MaxDeadline) + forwardMargin, nil
	}
	sub, err := parseSubmission(q.body)
	if err != nil {
		return 0, unrecorded(err)
	}
	return s.deadline(sub, s.opts.MaxDeadline) + forwardMargin, nil
}

// deadline is the time that a submission leaves for its answer. It is compared
// in milliseconds, as a great number of them does not fit a Duration: the sum
// would wrap and the job would seem to have expired long ago.
func (s *Server) deadline(sub *submission, standard time.Duration) time.Duration {
	if sub.DeadlineMs == 0 {
		return standard
	}
	return time.Duration(min(sub.DeadlineMs, s.opts.MaxDeadline.Milliseconds())) * time.Millisecond
}

// recover answers for an owner that did not.
func (s *Server) recover(ctx context.Context, owner identity.Incarnation, q *request) reply {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	found := s.router.Recover(ctx, owner, q.member, q.key)
	if found.Results == nil {
		return errorReply(q.key.Text, found.Err)
	}
	o := &dispatch.Outcome{ID: dispatch.JobID{Member: q.member, Key: q.key.Text}, Results: found.Results}
	return answerReply(outcomeAnswer(q.key.Text, o))
}

// ServeForward answers a request that another entry passed on.
func (s *Server) ServeForward(ctx context.Context, f *wire.Forward) *wire.Forwarded {
	key, err := identity.Parse(f.Key)
	if err != nil {
		return forwarded(f.ID, errorReply(f.Key, errkind.New(errkind.BadRequest, "%w", err)))
	}
	q := &request{op: f.Op, member: f.Member, key: key, wait: time.Duration(f.WaitMs) * time.Millisecond, body: f.Body}
	owner, refusal := s.router.Owner(q.member, key)
	switch {
	case refusal != nil:
		return forwarded(f.ID, errorReply(f.Key, refusal))
	case owner != s.id:
		// The two entries hold different rosters for a moment. Passing the
		// request on once more could go in a circle.
		return forwarded(f.ID, errorReply(f.Key, errkind.New(errkind.HomeUnreachable, "the roster is changing").WithAfter(time.Second)))
	}
	return forwarded(f.ID, s.serveLocal(ctx, q))
}

func forwarded(id uint64, r reply) *wire.Forwarded {
	return &wire.Forwarded{ID: id, Status: r.status, Body: r.body, Kind: r.kind, AfterMs: r.after.Milliseconds()}
}

// serveLocal answers a request whose identity this entry owns.
func (s *Server) serveLocal(ctx context.Context, q *request) reply {
	switch q.op {
	case wire.OpSubmit:
		return s.submit(ctx, q)
	case wire.OpFetch:
		return s.fetch(ctx, q)
	case wire.OpCancel:
		return s.cancel(ctx, q)
	}
	return errorReply(q.key.Text, errkind.New(errkind.BadRequest, "unknown operation %q", q.op))
}

func (s *Server) submit(ctx context.Context, q *request) reply {
	sub, err := parseSubmission(q.body)
	if err != nil {
		s.metrics.Refused(err.Kind)
		return errorReply(q.key.Text, unrecorded(err))
	}
	// A refusal here can be lifted later, so it leaves no record. A job that has
	// a record was allowed before, and for good.
	if !s.registry.Known(q.member, q.key) {
		if err := s.router.MayStart(q.member, q.key); err != nil {
			s.metrics.Refused(err.Kind)
			return errorReply(q.key.Text, err)
		}
	}
	rec, fresh, err := s.registry.Admit(time.Now(), q.member, q.key, sub.fingerprint())
	if err != nil {
		s.metrics.Refused(err.Kind)
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	if fresh {
		s.begin(q, sub, rec)
	} else {
		s.metrics.Inc(telemetry.JobsResubmitted)
	}
	return s.await(ctx, q, rec)
}

// begin hands a fresh job to its lane. A refusal becomes the record's answer,
// so that it stays true: a copy of the request that was delayed on its way
// gets the same refusal and is not run after the caller was told "not run".
func (s *Server) begin(q *request, sub *submission, rec *jobs.Record) {
	service, spec, err := s.resolve(q, sub)
	if err == nil {
		err = s.lane(service).submit(spec, rec)
	}
	if err != nil {
		s.metrics.Refused(err.Kind)
		s.registry.Finish(time.Now(), rec, failedAnswer(q.key.Text, err, nil))
		return
	}
	s.metrics.Inc(telemetry.JobsAccepted)
}

// resolve turns a submission into a dispatch spec by the configuration in force.
func (s *Server) resolve(q *request, sub *submission) (service string, spec *dispatch.Spec, err *errkind.Error) {
	if s.stopping.Load() {
		return "", nil, errkind.New(errkind.Draining, "this entry stops").WithAfter(time.Second)
	}
	service, limits, err := s.config.Resolve(q.member, sub)
	if err != nil {
		return "", nil, err
	}
	if len(sub.Tasks) > limits.MaxTasks {
		return "", nil, errkind.New(errkind.TooManyTasks, "%d tasks, at most %d", len(sub.Tasks), limits.MaxTasks)
	}
	declared := min(sub.DeclaredMs, maxDeclaredMs)
	if declared == 0 {
		declared = limits.DeclaredMs
	}
	return service, &dispatch.Spec{
		ID:         dispatch.JobID{Member: q.member, Key: q.key.Text},
		Team:       sub.Team,
		Deadline:   time.Now().Add(s.deadline(sub, limits.Deadline)),
		Tasks:      sub.bodies(),
		DeclaredMs: declared,
		Need:       overrideNeed(limits.Need, sub.need()),
	}, nil
}

// await waits for a record's answer as long as the caller wants to.
func (s *Server) await(ctx context.Context, q *request, rec *jobs.Record) reply {
	select {
	case <-rec.Done():
	default:
		patience := time.NewTimer(q.wait)
		defer patience.Stop()
		select {
		case <-rec.Done():
		case <-patience.C:
		case <-ctx.Done():
		}
	}
	if a := rec.Answer(); a != nil {
		return answerReply(heldAnswer(q.key.Text, a))
	}
	return reply{status: statusRunning, body: runningBody(q.key.Text)}
}

func (s *Server) fetch(ctx context.Context, q *request) reply {
	rec, err := s.registry.Find(time.Now(), q.member, q.key)
	if err != nil {
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	return s.await(ctx, q, rec)
}

// cancel withdraws a job and answers with its outcome, which comes at once.
func (s *Server) cancel(ctx context.Context, q *request) reply {
	rec, err := s.registry.Find(time.Now(), q.member, q.key)
	if err != nil {
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	if rec.Answer() == nil {
		id := dispatch.JobID{Member: q.member, Key: q.key.Text}
		s.eachLane(func(l *lane) { l.cancel(id) })
	}
	return s.await(ctx, q, rec)
}

// finish renders an outcome and wakes its callers.
func (s *Server) finish(now time.Time, rec *jobs.Record, o *dispatch.Outcome) {
	s.count(o)
	s.registry.Finish(now, rec, outcomeAnswer(rec.Key.Text, o))
}

// count adds an outcome to the counters.
func (s *Server) count(o *dispatch.Outcome) {
	switch {
	case o.Err == nil:
		s.metrics.Inc(telemetry.JobsAnswered)
		s.metrics.Observe(telemetry.TaskRunLatency, o.Slowest)
	case o.Err.Kind == errkind.Cancelled:
		s.metrics.Inc(telemetry.JobsCancelled)
	default:
		s.metrics.Inc(telemetry.JobsFailed)
	}
	for _, f := range o.Failures {
		s.metrics.Failed(f.Kind)
	}
}
