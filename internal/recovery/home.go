package recovery

import (
	"math"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// entryState is the stored state of another entry, whether or not it has been
// declared gone. The comments call that entry the home, since it is the home of the
// jobs to recover; this entry is the one that runs the Machine.
type entryState struct {
	lastSeq       uint64                         // Seq of the last Witness received
	guards        map[identity.Incarnation]int64 // 0, or the birth from which on the guard was not used
	sinceMs       int64                          // start of the witness period; 0 if this entry is not its witness
	rosterVersion int64                          // roster version when this entry became its witness
	prunedMs      int64                          // greatest AfterMs of the dropped guards removed from the list
	lastSeen      time.Time                      // last contact with the entry

	gone         time.Time // when it was declared gone; zero if it was not
	hasAllGuards bool      // the list holds every guard used since sinceMs
	// reportFloors are the floors of the guards' fence reports: a report does not
	// cover births below its floor. The reports are final, since the guard starts
	// nothing more for this home.
	reportFloors map[identity.Incarnation]int64
	started      map[jobKey]startsByGuard
	startCount   int // number of stored starts

	// The remaining fields summarize guards and reportFloors, so that a job need not
	// examine each guard; see updateSummary.
	isSummaryStale   bool
	maxActiveFloorMs int64                  // greatest floor of the guards that were never dropped
	maxFloorMs       int64                  // greatest floor of all reports
	missingReports   []identity.Incarnation // guards in the list that have not reported
	dropped          []identity.Incarnation // guards in the list that were dropped
}

// startsByGuard holds the starts of one job by guard.
type startsByGuard map[identity.Incarnation][]wire.Started

// unknownFloorMs is the floor of a guard whose report was too large to be stored.
const unknownFloorMs = int64(math.MaxInt64)

type jobKey struct{ member, key string }

// applyWitness stores an announcement and reports whether to acknowledge it. After
// the home was declared gone, nothing is acknowledged, because the home would then
// use a guard that this entry has already omitted from a proof.
func (e *entryState) applyWitness(w *wire.Witness) bool {
	if !e.gone.IsZero() || w.Seq <= e.lastSeq {
		return false
	}
	e.lastSeq = w.Seq
	for _, g := range w.Guards {
		e.guards[g] = 0
	}
	for _, d := range w.Dropped {
		if _, known := e.guards[d.Guard]; known {
			e.guards[d.Guard] = d.AfterMs
		}
	}
	if w.SinceMs != 0 {
		e.sinceMs, e.rosterVersion = w.SinceMs, w.Version
	}
	return true
}

// pruneDropped removes guards that were dropped before cutoffMs, since an entry that
// runs for months sees thousands of guards come and go.
func (e *entryState) pruneDropped(cutoffMs int64) {
	for g, dropped := range e.guards {
		if dropped != 0 && dropped < cutoffMs {
			e.prunedMs = max(e.prunedMs, dropped)
			delete(e.guards, g)
		}
	}
}

// declareGone records that a roster declared the home gone. lastAbsentVersion is the
// last version that this entry was not a member of: the home may have stopped
// requiring this entry's acknowledgements by then, so an older witness grant proves
// nothing.
func (e *entryState) declareGone(now time.Time, lastAbsentVersion int64) {
	if !e.gone.IsZero() {
		return
	}
	e.gone = now
	e.hasAllGuards = e.sinceMs != 0 && e.rosterVersion > lastAbsentVersion
	e.reportFloors = make(map[identity.Incarnation]int64)
	e.started = make(map[jobKey]startsByGuard)
	e.isSummaryStale = true
}

// addReport stores a guard's report and indexes its starts by job.
func (e *entryState) addReport(g identity.Incarnation, r *wire.FenceReport) {
	if _, again := e.reportFloors[g]; again || e.gone.IsZero() {
		return
	}
	e.isSummaryStale = true
	if e.startCount+len(r.Started) > maxReportedStarts {
		e.reportFloors[g] = unknownFloorMs
		return
	}
	e.reportFloors[g] = r.FloorMs
	e.startCount += len(r.Started)
	for _, s := range r.Started {
		key := jobKey{s.Ref.Member, s.Ref.Key}
		if e.started[key] == nil {
			e.started[key] = make(startsByGuard)
		}
		e.started[key][g] = append(e.started[key][g], s)
	}
}

// updateSummary recomputes the summary if it is out of date.
func (e *entryState) updateSummary() {
	if !e.isSummaryStale {
		return
	}
	e.isSummaryStale, e.maxActiveFloorMs, e.maxFloorMs, e.missingReports, e.dropped = false, 0, 0, nil, nil
	for _, floor := range e.reportFloors {
		e.maxFloorMs = max(e.maxFloorMs, floor)
	}
	for g, dropped := range e.guards {
		floor, reported := e.reportFloors[g]
		if dropped != 0 {
			e.dropped = append(e.dropped, g)
		}
		if !reported {
			e.missingReports = append(e.missingReports, g)
		} else if dropped == 0 {
			e.maxActiveFloorMs = max(e.maxActiveFloorMs, floor)
		}
	}
}

// mayHaveUsed reports whether the home may have sent a job born at birthMs to g.
func (e *entryState) mayHaveUsed(g identity.Incarnation, birthMs int64) bool {
	dropped, known := e.guards[g]
	return known && (dropped == 0 || birthMs < dropped)
}

// isBelowFloor reports whether g has reported, but its report does not cover a job
// born at birthMs.
func (e *entryState) isBelowFloor(g identity.Incarnation, birthMs int64) bool {
	floor, reported := e.reportFloors[g]
	return reported && birthMs < floor
}

// evidence is the information that the reports provide about one job.
type evidence struct {
	coversJob      bool // the list of guards is complete for the job, and the reports received cover its birth
	missingReports bool // a guard that could have started it has not reported
	mayStillReport bool // such a guard may still report
	started        startsByGuard
}

// evidenceFor collects the evidence about a job. isLost reports whether a guard
// should not be waited for.
func (e *entryState) evidenceFor(j Job, isLost func(identity.Incarnation) bool) evidence {
	e.updateSummary()
	ev := evidence{
		coversJob: e.hasAllGuards && j.BirthMs >= max(e.sinceMs, e.prunedMs, e.maxActiveFloorMs),
		started:   e.started[jobKey{j.Member, j.Key}],
	}
	for _, g := range e.dropped {
		if e.mayHaveUsed(g, j.BirthMs) && e.isBelowFloor(g, j.BirthMs) {
			ev.coversJob = false
		}
	}
	for _, g := range e.missingReports {
		if !e.mayHaveUsed(g, j.BirthMs) {
			continue
		}
		ev.missingReports = true
		if !isLost(g) {
			ev.mayStillReport = true
			break
		}
	}
	return ev
}
