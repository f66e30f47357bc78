package entry

import (
	"context"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/jobs"
	"wigeontray/internal/membudget"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// serveLocal answers a request whose key this entry owns.
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
		s.metrics.CountRefusal(err.Kind)
		return errorReply(q.key.Text, withRanUnknown(err))
	}
	// This refusal can be lifted later, so it is not recorded. A job that already
	// has a record was allowed before, and that permission is permanent.
	if !s.registry.Contains(q.member, q.key) {
		if err := s.router.MayStart(q.member, q.key); err != nil {
			s.metrics.CountRefusal(err.Kind)
			return errorReply(q.key.Text, err)
		}
	}
	memory := s.opts.Memory.NewJobAccount()
	if err := memory.Grow(sub.bytes()); err != nil {
		s.metrics.CountRefusal(errkind.TooManyJobs)
		return errorReply(q.key.Text, errOverMemory(err))
	}
	rec, isNew, err := s.registry.Admit(time.Now(), q.member, q.key, sub.fingerprint())
	if err != nil {
		memory.Clear()
		s.metrics.CountRefusal(err.Kind)
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	if isNew {
		s.startJob(q, sub, rec)
	} else {
		memory.Clear()
		s.metrics.Inc(telemetry.JobsResubmitted)
	}
	r := s.awaitAnswer(ctx, q, rec)
	s.clearWhenDone(memory, rec)
	return r
}

// clearWhenDone releases the memory of a job once it has ended, which may be after its request was answered.
func (s *Server) clearWhenDone(memory *membudget.Account, rec *jobs.Record) {
	select {
	case <-rec.Done():
		memory.Clear()
	default:
		go func() {
			select {
			case <-rec.Done():
			case <-s.ctx.Done():
			}
			memory.Clear()
		}()
	}
}

// startJob submits a new job to the dispatcher of its service. A refusal is
// recorded as the job's answer, so that it stays true: a delayed duplicate of the
// request gets the same refusal, and is not run after the caller was told that the
// job did not run.
func (s *Server) startJob(q *request, sub *submission, rec *jobs.Record) {
	service, spec, err := s.resolve(q, sub)
	if err == nil {
		err = s.dispatcher(service).submit(spec, rec)
	}
	if err != nil {
		s.metrics.CountRefusal(err.Kind)
		s.registry.Finish(time.Now(), rec, failedAnswer(q.key.Text, err, nil))
		return
	}
	s.metrics.Inc(telemetry.JobsAccepted)
}

// resolve returns the service and the dispatch.Spec of a submission under the
// current configuration.
func (s *Server) resolve(q *request, sub *submission) (service string, spec *dispatch.Spec, err *errkind.Error) {
	if s.draining.Load() {
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
		Deadline:   time.Now().Add(s.jobTimeout(sub, limits.Deadline)),
		Tasks:      sub.bodies(),
		DeclaredMs: declared,
		Need:       overrideNeed(limits.Need, sub.need()),
	}, nil
}

// awaitAnswer waits for a record's answer, for as long as the caller asked to wait.
func (s *Server) awaitAnswer(ctx context.Context, q *request, rec *jobs.Record) reply {
	select {
	case <-rec.Done():
	default:
		timer := time.NewTimer(q.wait)
		defer timer.Stop()
		select {
		case <-rec.Done():
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if a := rec.Answer(); a != nil {
		return replyFromAnswer(answerWithBody(q.key.Text, a))
	}
	return reply{status: statusRunning, body: runningBody(q.key.Text)}
}

func (s *Server) fetch(ctx context.Context, q *request) reply {
	rec, err := s.registry.Find(time.Now(), q.member, q.key)
	if err != nil {
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	return s.awaitAnswer(ctx, q, rec)
}

// cancel cancels a job and answers with its outcome, which is available at once.
func (s *Server) cancel(ctx context.Context, q *request) reply {
	rec, err := s.registry.Find(time.Now(), q.member, q.key)
	if err != nil {
		return errorReply(q.key.Text, err)
	}
	defer rec.Release()
	if rec.Answer() == nil {
		id := dispatch.JobID{Member: q.member, Key: q.key.Text}
		s.forEachDispatcher(func(d *dispatcher) { d.cancel(id) })
	}
	return s.awaitAnswer(ctx, q, rec)
}

// finishJob records the answer of a job, which wakes the waiting requests.
func (s *Server) finishJob(now time.Time, rec *jobs.Record, o *dispatch.Outcome) {
	s.countOutcome(o)
	s.registry.Finish(now, rec, outcomeAnswer(rec.Key.Text, o))
}

// countOutcome updates the metrics for an outcome.
func (s *Server) countOutcome(o *dispatch.Outcome) {
	switch {
	case o.Err == nil:
		s.metrics.Inc(telemetry.JobsAnswered)
		s.metrics.Observe(telemetry.TaskRunLatency, o.LongestRunTime)
	case o.Err.Kind == errkind.Cancelled:
		s.metrics.Inc(telemetry.JobsCancelled)
	default:
		s.metrics.Inc(telemetry.JobsFailed)
	}
	for _, f := range o.Failures {
		s.metrics.CountFailure(f.Kind)
	}
}
