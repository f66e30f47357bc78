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
	// queryTime bounds the wait for the words of the other entries. Two round trips
	// take 2 to 10 ms within a region and 50 ms between two; a frozen entry or guard
	// does not answer at all.
	queryTime = 200 * time.Millisecond
	// queryTries is how many guards are asked in turn, as one may be frozen.
	queryTries = 2
	// heldUpTime bounds the wait before a job that may have been held up begins.
	heldUpTime = 50 * time.Millisecond
)

// queries are an entry's questions that are under way. The entry's lock covers it.
type queries struct {
	last uint64
	open map[uint64]*query
}

// query is one question to all other entries.
type query struct {
	wanted  int // words that make it certain
	asked   int // entries that the guard has asked; -1 until it tells
	heard   int
	state   batch.State   // Unknown until an entry knows the job
	settled chan struct{} // closed when there is nothing more to wait for
}

func (q *queries) begin(wanted int) (uint64, *query) {
	q.last++
	o := &query{wanted: wanted, asked: -1, settled: make(chan struct{})}
	q.open[q.last] = o
	return q.last, o
}

// take notes the word of a guard or an entry.
func (q *queries) take(r *wire.JobReport) {
	o := q.open[r.Seq]
	switch {
	case o == nil:
		return // it came too late
	case r.Asked != nil:
		o.asked = *r.Asked
	default:
		o.heard++
		if s := batch.State(r.State); s != batch.Unknown {
			o.state = s
		}
	}
	if o.heard == o.asked {
		close(o.settled)
		delete(q.open, r.Seq)
	}
}

// certain tells whether all other entries have answered.
func (o *query) certain() bool { return o.heard >= o.wanted && o.heard == o.asked }

// Query tells what is known of a job anywhere, and withdraws it where it is under
// way if cancel is set. If the answer is not certain, an entry that did not answer
// may run the job.
func (e *Entry) Query(ctx context.Context, id string, cancel bool) (s batch.State, certain bool) {
	if cancel && e.Cancel(id) {
		return batch.Cancelled, true
	}
	if s := e.State(id); s != batch.Unknown {
		return s, true
	}
	if e.alone() {
		return batch.Unknown, true
	}
	asked := make(map[identity.Incarnation]bool)
	for range queryTries {
		s, certain = e.queryOthers(ctx, id, cancel, asked)
		if certain || !cancel && s != batch.Unknown {
			return s, true
		}
	}
	return s, false
}

// runsElsewhere tells whether another entry says that a job is under way there.
func (e *Entry) runsElsewhere(ctx context.Context, id string) bool {
	if e.alone() {
		return false
	}
	ctx, end := context.WithTimeout(ctx, heldUpTime)
	defer end()
	s, _ := e.queryOthers(ctx, id, false, make(map[identity.Incarnation]bool))
	return s == batch.Queued || s == batch.Running
}

func (e *Entry) alone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known) == 1
}

// queryOthers asks over a guard that is not in asked yet.
func (e *Entry) queryOthers(ctx context.Context, id string, cancel bool, asked map[identity.Incarnation]bool) (batch.State, bool) {
	ctx, end := context.WithTimeout(ctx, queryTime)
	defer end()
	e.mu.Lock()
	seq, q := e.queries.begin(len(e.known) - 1)
	e.postQuery(&wire.JobQuery{Seq: seq, From: e.id, Job: id, Cancel: cancel}, asked)
	e.mu.Unlock()
	select {
	case <-q.settled:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queries.open, seq)
	return q.state, q.certain()
}

// postQuery needs mu.
func (e *Entry) postQuery(q *wire.JobQuery, asked map[identity.Incarnation]bool) {
	for guard := range e.links {
		if !asked[guard] {
			asked[guard] = true
			e.post(guard, &wire.Frame{JobQuery: q})
			return
		}
	}
}

// report answers another entry's query over the guard that relayed it. It needs mu.
func (e *Entry) report(guard identity.Incarnation, q *wire.JobQuery) {
	s := e.machine.State(q.Job)
	if q.Cancel && (s == batch.Queued || s == batch.Running) {
		e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Cancel(now, q.Job) })
		s = batch.Cancelled
	}
	e.post(guard, &wire.Frame{JobReport: &wire.JobReport{Seq: q.Seq, To: q.From, State: int(s)}})
}

// relayQuery passes an entry's query on to all others. It needs mu.
func (g *Guard) relayQuery(from *guardLink, q *wire.JobQuery) {
	asked := 0
	for name, l := range g.links {
		if name != from.entry && l.link.Send(&wire.Frame{JobQuery: q}) == nil {
			asked++
		}
	}
	g.relayReport(&wire.JobReport{Seq: q.Seq, To: q.From, Asked: &asked})
}

// relayReport passes an answer on to the entry that asked. It needs mu.
func (g *Guard) relayReport(r *wire.JobReport) {
	if l := g.links[r.To]; l != nil {
		_ = l.link.Send(&wire.Frame{JobReport: r}) // an entry that hears nothing asks another guard
	}
}
