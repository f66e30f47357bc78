package batchnode

import (
	"context"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Entries have no links to each other. A caller may ask any of them for its job;
// one that does not run it asks the others over a guard.

// Timing of queries.
const (
	// queryTimeout bounds the wait for the words of the other entries. Two round trips
	// take 2 to 10 ms within a region and 50 ms between two; a frozen entry or guard
	// does not answer at all.
	queryTimeout = 200 * time.Millisecond
	// maxQueryAttempts is how many guards are asked in turn, as one may be frozen.
	maxQueryAttempts = 2
	// heldUpQueryTimeout bounds the wait before a job that may have been held up begins.
	heldUpQueryTimeout = 50 * time.Millisecond
)

// queries are an entry's questions that are under way. The entry's lock covers it.
type queries struct {
	lastSeq uint64
	pending map[uint64]*query
}

// query is one question to all other entries.
type query struct {
	expectedReports int // words that make it certain
	relayedTo       int // entries that the guard has asked; -1 until it tells
	receivedReports int
	state           batch.State   // Unknown until an entry knows the job
	done            chan struct{} // closed when there is nothing more to wait for
}

func (q *queries) begin(expectedReports int) (uint64, *query) {
	q.lastSeq++
	opened := &query{expectedReports: expectedReports, relayedTo: -1, done: make(chan struct{})}
	q.pending[q.lastSeq] = opened
	return q.lastSeq, opened
}

// handleReport notes the word of a guard or an entry.
func (q *queries) handleReport(r *wire.JobReport) {
	pendingQuery := q.pending[r.Seq]
	switch {
	case pendingQuery == nil:
		return // it came too late
	case r.Asked != nil:
		pendingQuery.relayedTo = *r.Asked
	default:
		pendingQuery.receivedReports++
		if s := batch.State(r.State); s != batch.Unknown {
			pendingQuery.state = s
		}
	}
	if pendingQuery.receivedReports == pendingQuery.relayedTo {
		close(pendingQuery.done)
		delete(q.pending, r.Seq)
	}
}

// isCertain tells whether all other entries have answered.
func (q *query) isCertain() bool {
	return q.receivedReports >= q.expectedReports && q.receivedReports == q.relayedTo
}

// Query tells what is known of a job anywhere, and withdraws it where it is under
// way if cancel is set. If the answer is not certain, an entry that did not answer
// may run the job.
func (e *Entry) Query(ctx context.Context, id string, cancelJob bool) (s batch.State, certain bool) {
	if cancelJob && e.Cancel(id) {
		return batch.Cancelled, true
	}
	if s := e.State(id); s != batch.Unknown {
		return s, true
	}
	if e.isOnlyEntry() {
		return batch.Unknown, true
	}
	triedGuards := make(map[identity.Incarnation]bool)
	for range maxQueryAttempts {
		s, certain = e.queryOthers(ctx, id, cancelJob, triedGuards)
		if certain || !cancelJob && s != batch.Unknown {
			return s, true
		}
	}
	return s, false
}

// runsElsewhere tells whether another entry says that a job is under way there.
func (e *Entry) runsElsewhere(ctx context.Context, id string) bool {
	if e.isOnlyEntry() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, heldUpQueryTimeout)
	defer cancel()
	s, _ := e.queryOthers(ctx, id, false, make(map[identity.Incarnation]bool))
	return s == batch.Queued || s == batch.Running
}

func (e *Entry) isOnlyEntry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known) == 1
}

// queryOthers asks over a guard that is not in asked yet.
func (e *Entry) queryOthers(ctx context.Context, id string, cancelJob bool, triedGuards map[identity.Incarnation]bool) (batch.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	e.mu.Lock()
	seq, q := e.queries.begin(len(e.known) - 1)
	e.sendQuery(&wire.JobQuery{Seq: seq, From: e.id, Job: id, Cancel: cancelJob}, triedGuards)
	e.mu.Unlock()
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queries.pending, seq)
	return q.state, q.isCertain()
}

// sendQuery needs mu.
func (e *Entry) sendQuery(q *wire.JobQuery, triedGuards map[identity.Incarnation]bool) {
	for guard := range e.links {
		if !triedGuards[guard] {
			triedGuards[guard] = true
			e.sendToGuard(guard, &wire.Frame{JobQuery: q})
			return
		}
	}
}

// answerQuery answers another entry's query over the guard that relayed it. It needs mu.
func (e *Entry) answerQuery(guard identity.Incarnation, q *wire.JobQuery) {
	s := e.machine.State(q.Job)
	if q.Cancel && (s == batch.Queued || s == batch.Running) {
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Cancel(now, q.Job) })
		s = batch.Cancelled
	}
	e.sendToGuard(guard, &wire.Frame{JobReport: &wire.JobReport{Seq: q.Seq, To: q.From, State: int(s)}})
}

// relayQuery passes an entry's query on to all others. It needs mu.
func (g *Guard) relayQuery(from *guardLink, q *wire.JobQuery) {
	relayed := 0
	for name, l := range g.links {
		if name != from.entry && l.link.Send(&wire.Frame{JobQuery: q}) == nil {
			relayed++
		}
	}
	g.relayReport(&wire.JobReport{Seq: q.Seq, To: q.From, Asked: &relayed})
}

// relayReport passes an answer on to the entry that asked. It needs mu.
func (g *Guard) relayReport(r *wire.JobReport) {
	if l := g.links[r.To]; l != nil {
		_ = l.link.Send(&wire.Frame{JobReport: r}) // an entry that hears nothing asks another guard
	}
}
