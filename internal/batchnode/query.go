package batchnode

import (
	"context"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Entries have no links to each other. A caller may send a query or a cancellation for its job
// to any of them; an entry that does not run the job asks the others through guards, which
// relay the query and the reports.
//
// A cancellation goes to all entries even if the first one has the job, and each of them records it: a
// copy of the job's request may arrive later at any of them. A guard that has relayed it tells the
// entries that link to it afterwards, as they may have started or been unreachable meanwhile.

// Timing of queries.
const (
	// queryTimeout is how long an entry waits for the reports of the other entries. Two
	// round trips take 2 to 10 ms within a region and 50 ms between two regions; a frozen
	// entry or guard does not answer at all.
	queryTimeout = 200 * time.Millisecond
	// maxQueryAttempts is how often a query is sent, each time through other guards, as one may be
	// frozen.
	maxQueryAttempts = 2
	// heldUpQueryTimeout is the maximum delay that the query adds to a job whose request may
	// have been delayed by a network partition.
	heldUpQueryTimeout = 50 * time.Millisecond
)

// queries holds the queries of an entry that wait for reports. It is guarded by Entry.mu.
type queries struct {
	lastSeq uint64
	pending map[uint64]*query
}

// query is one query to all other entries.
type query struct {
	request           wire.JobQuery                 // without targets
	triedGuards       map[identity.Incarnation]bool // relays of all attempts, which the next attempt avoids
	excludedGuards    map[identity.Incarnation]bool // relays of earlier attempts, and those of this one that did not reach a target
	repeats           int                           // how often it was sent again to entries that a guard does not reach
	hasEntryList      bool                          // awaited was computed from a list of all entries
	awaited           map[string]bool               // addresses of the entries that have not reported
	unnamedReports    int                           // reports of entries of an earlier release, which do not state their address
	confirmedRelays   int                           // guards that have reported to how many entries they have relayed the query
	unconfirmedRelays int                           // guards that have not reported to how many entries they have relayed the query
	relayedTo         int                           // entries to which the other guards have relayed it
	receivedReports   int
	state             batch.State   // Unknown until an entry reports the job
	done              chan struct{} // closed when all reports have arrived
}

// begin adds a query to the entries with the given addresses.
func (q *queries) begin(request wire.JobQuery, others []string, triedGuards map[identity.Incarnation]bool) *query {
	q.lastSeq++
	request.Seq = q.lastSeq
	added := &query{request: request, triedGuards: triedGuards, excludedGuards: maps.Clone(triedGuards), awaited: make(map[string]bool, len(others)), done: make(chan struct{})}
	for _, address := range others {
		added.awaited[address] = true
	}
	q.pending[request.Seq] = added
	return added
}

func (q *query) addReport(r *wire.JobReport) {
	if r.QueriedEntries != nil {
		q.unconfirmedRelays--
		q.confirmedRelays++
		q.relayedTo += *r.QueriedEntries
		return
	}
	q.receivedReports++
	delete(q.awaited, r.Address)
	if r.Address == "" {
		q.unnamedReports++
	}
	if s := batch.State(r.State); s != batch.Unknown {
		q.state = s
	}
}

// hasAllReports reports whether every entry has reported to which a guard has relayed the query.
func (q *query) hasAllReports() bool {
	return q.unconfirmedRelays == 0 && q.receivedReports == q.relayedTo
}

// isCertain reports whether all other entries have answered. A list of entries that is complete is no proof
// on its own: an entry that the store turns away is not in it. At least one guard must therefore have relayed
// the query to all entries that link to it.
func (q *query) isCertain() bool {
	return q.hasEntryList && q.confirmedRelays > 0 && len(q.awaited) <= q.unnamedReports && q.hasAllReports()
}

// queryResult is the result of one query to all other entries.
type queryResult struct {
	state     batch.State // Unknown unless an entry has reported the job
	isRelayed bool        // a guard has relayed the query to the entries that it links to
	isCertain bool        // all other entries have reported
}

// Query returns the state of a job at this entry or at any other. If the result is not certain, an
// entry that did not answer may run the job.
func (e *Entry) Query(ctx context.Context, id string) (s batch.State, certain bool) {
	if s := e.State(id); s != batch.Unknown {
		return s, true
	}
	triedGuards := make(map[identity.Incarnation]bool)
	for range maxQueryAttempts {
		result := e.queryOthers(ctx, &wire.JobQuery{Job: id}, triedGuards)
		if result.isCertain || result.state != batch.Unknown {
			return result.state, true
		}
	}
	return batch.Unknown, false
}

// Cancel cancels a job at this entry and at all others, and returns its state. No entry starts a
// request for it that arrives later. If the result is not certain, the cancellation must not be
// acknowledged: an entry that did not answer may run the job.
//
// If this entry has received the job itself, it is enough that a guard has relayed the cancellation:
// entries that did not answer learn it from that guard when they link to it again.
func (e *Entry) Cancel(ctx context.Context, id string) (s batch.State, certain bool) {
	var stateHere batch.State
	var isRecorded bool
	e.step(func(now time.Duration, m *batch.Machine) { stateHere, isRecorded = m.Cancel(now, id) })
	if !isRecorded {
		e.opt.Log.Warn("cancellation not recorded", "job", id)
	}
	isRelayed := false
	triedGuards := make(map[identity.Incarnation]bool)
	for range maxQueryAttempts {
		result := e.queryOthers(ctx, &wire.JobQuery{Job: id, Cancel: true}, triedGuards)
		isRelayed = isRelayed || result.isRelayed
		s, certain = max(s, result.state), result.isCertain
		if certain {
			break
		}
	}
	if stateHere != batch.Unknown {
		return stateHere, isRecorded && isRelayed
	}
	return s, isRecorded && certain
}

// cancelJobs records cancellations that a guard has relayed to other entries before it linked to this
// one. mu must be held.
func (e *Entry) cancelJobs(ids []string) {
	e.stepLocked(func(now time.Duration, m *batch.Machine) {
		for _, id := range ids {
			m.Cancel(now, id)
		}
	})
}

// runsElsewhere reports whether another entry answers that a job is queued or running there.
func (e *Entry) runsElsewhere(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, heldUpQueryTimeout)
	defer cancel()
	s := e.queryOthers(ctx, &wire.JobQuery{Job: id}, make(map[identity.Incarnation]bool)).state
	return s == batch.Queued || s == batch.Running
}

// queryOthers sends a request to all other entries through guards that are not in triedGuards, and adds
// these there.
func (e *Entry) queryOthers(ctx context.Context, request *wire.JobQuery, triedGuards map[identity.Incarnation]bool) queryResult {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	e.mu.Lock()
	others := withoutKnown(e.known.addresses, []string{e.opt.Address})
	request.From = e.id
	q := e.queries.begin(*request, others, triedGuards)
	q.hasEntryList = e.hasEntryList
	e.sendQuery(q, others)
	isSent := q.unconfirmedRelays > 0
	e.mu.Unlock()
	if isSent {
		select {
		case <-q.done:
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queries.pending, q.request.Seq)
	return queryResult{state: q.state, isRelayed: q.confirmedRelays > 0, isCertain: q.isCertain()}
}

// sendQuery sends a query to the entries with the given addresses. mu must be held.
func (e *Entry) sendQuery(q *query, addresses []string) {
	for _, relay := range e.relaysTo(addresses, q.excludedGuards) {
		q.triedGuards[relay.guard] = true
		q.unconfirmedRelays++
		request := q.request
		request.Targets = relay.targets
		e.sendToGuard(relay.guard, &wire.Frame{JobQuery: &request})
	}
}

// maxQueryRepeats is how often a query is sent through other guards to entries that a guard does not
// reach. The subset that an entry computes for a guard differs from the guard's own while their lists of
// entries differ.
const maxQueryRepeats = 16

// handleReport handles the report of a guard (with QueriedEntries), or of an entry through a guard. mu
// must be held.
func (e *Entry) handleReport(guard identity.Incarnation, r *wire.JobReport) {
	q := e.queries.pending[r.Seq]
	if q == nil {
		return // the query has timed out or is complete
	}
	q.addReport(r)
	if len(r.Unreached) > 0 && q.repeats < maxQueryRepeats {
		q.repeats++
		q.excludedGuards[guard] = true
		e.sendQuery(q, r.Unreached)
	}
	if q.hasAllReports() {
		close(q.done)
		delete(e.queries.pending, r.Seq)
	}
}

// answerQuery answers the query of another entry through the guard that relayed it. mu must be
// held.
func (e *Entry) answerQuery(guard identity.Incarnation, q *wire.JobQuery) {
	s, isRecorded := e.machine.State(q.Job), true
	if q.Cancel {
		e.stepLocked(func(now time.Duration, m *batch.Machine) { s, isRecorded = m.Cancel(now, q.Job) })
	}
	if !isRecorded {
		return // without the report, the cancellation is not acknowledged
	}
	e.sendToGuard(guard, &wire.Frame{JobReport: &wire.JobReport{Seq: q.Seq, To: q.From, State: int(s), Address: e.opt.Address}})
}

// relayQuery relays the query of an entry to its targets, or to all other entries, and reports their
// number and the targets without a link to it. mu must be held.
func (g *Guard) relayQuery(from *guardLink, q *wire.JobQuery) {
	if q.Cancel && !g.cancelledJobs.Add(g.opt.Clock(), q.Job) {
		return // without the report, the cancellation is not acknowledged
	}
	relayed, targets, unreached := 0, q.Targets, slices.Clone(q.Targets)
	q.Targets = nil
	for name, l := range g.links {
		if name != from.entry && (len(targets) == 0 || slices.Contains(targets, l.address)) && l.link.Send(&wire.Frame{JobQuery: q}) == nil {
			relayed++
			unreached = withoutKnown(unreached, []string{l.address})
		}
	}
	g.relayReport(&wire.JobReport{Seq: q.Seq, To: q.From, QueriedEntries: &relayed, Unreached: unreached})
}

// relayReport relays a report to the entry that sent the query. mu must be held.
func (g *Guard) relayReport(r *wire.JobReport) {
	if l := g.links[r.To]; l != nil {
		_ = l.link.Send(&wire.Frame{JobReport: r}) // an entry without a response tries another guard
	}
}
