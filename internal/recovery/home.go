package recovery

import (
	"math"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// home is what is known of another entry, alive or gone.
type home struct {
	seq     uint64                         // last Witness taken
	guards  map[identity.Incarnation]int64 // 0, or the birth from which it was not used
	sinceMs int64                          // 0: this entry is no witness
	version int64                          // roster version of the grant
	pruned  int64                          // greatest AfterMs among dropped guards that were forgotten
	seen    time.Time                      // last sign of life

	gone     time.Time // zero while not declared gone
	complete bool      // the guards are all there ever were, from sinceMs on
	// reports are the guards' answers to the fence: the birth below which each of
	// them says nothing. They are final: the guard starts nothing more for this
	// home.
	reports map[identity.Incarnation]int64
	started map[jobName]starts
	kept    int // starts kept

	// What follows sums up guards and reports, so that a job need not look at
	// each guard; see summarise.
	stale   bool
	floorMs int64                  // greatest floor of the guards that were never dropped
	topMs   int64                  // greatest floor of all that reported
	silent  []identity.Incarnation // guards on the list that have not reported
	dropped []identity.Incarnation // guards on the list that were dropped
}

// starts are those of one job, by guard.
type starts map[identity.Incarnation][]wire.Started

// nothingKnown is the floor of a guard whose report could not be kept.
const nothingKnown = int64(math.MaxInt64)

type jobName struct{ member, key string }

// witnessed takes an announcement; it tells whether to acknowledge. After the
// home was declared gone nothing is acknowledged: the home would use a guard
// that this entry has already left out of a proof.
func (h *home) witnessed(w *wire.Witness) bool {
	if !h.gone.IsZero() || w.Seq <= h.seq {
		return false
	}
	h.seq = w.Seq
	for _, g := range w.Guards {
		h.guards[g] = 0
	}
	for _, d := range w.Dropped {
		if _, known := h.guards[d.Guard]; known {
			h.guards[d.Guard] = d.AfterMs
		}
	}
	if w.SinceMs != 0 {
		h.sinceMs, h.version = w.SinceMs, w.Version
	}
	return true
}

// prune forgets guards that were dropped before floorMs, as an entry that lives
// for months sees thousands come and go.
func (h *home) prune(floorMs int64) {
	for g, dropped := range h.guards {
		if dropped != 0 && dropped < floorMs {
			h.pruned = max(h.pruned, dropped)
			delete(h.guards, g)
		}
	}
}

// declare notes that a roster declared the home gone. absent is the last version
// that left this entry out: the home may have stopped waiting for this entry's
// acknowledgements by then, so an older grant proves nothing.
func (h *home) declare(now time.Time, absent int64) {
	if !h.gone.IsZero() {
		return
	}
	h.gone = now
	h.complete = h.sinceMs != 0 && h.version > absent
	h.reports = make(map[identity.Incarnation]int64)
	h.started = make(map[jobName]starts)
	h.stale = true
}

// take keeps a guard's report and names the jobs that it speaks of.
func (h *home) take(g identity.Incarnation, r *wire.FenceReport) {
	if _, again := h.reports[g]; again || h.gone.IsZero() {
		return
	}
	h.stale = true
	if h.kept+len(r.Started) > maxStarted {
		h.reports[g] = nothingKnown
		return
	}
	h.reports[g] = r.FloorMs
	h.kept += len(r.Started)
	for _, s := range r.Started {
		n := jobName{s.Ref.Member, s.Ref.Key}
		if h.started[n] == nil {
			h.started[n] = make(starts)
		}
		h.started[n][g] = append(h.started[n][g], s)
	}
}

// summarise brings the sums up to date.
func (h *home) summarise() {
	if !h.stale {
		return
	}
	h.stale, h.floorMs, h.topMs, h.silent, h.dropped = false, 0, 0, nil, nil
	for _, floor := range h.reports {
		h.topMs = max(h.topMs, floor)
	}
	for g, dropped := range h.guards {
		floor, reported := h.reports[g]
		if dropped != 0 {
			h.dropped = append(h.dropped, g)
		}
		if !reported {
			h.silent = append(h.silent, g)
		} else if dropped == 0 {
			h.floorMs = max(h.floorMs, floor)
		}
	}
}

// couldHaveUsed tells whether the home may have sent a job born at birthMs to g.
func (h *home) couldHaveUsed(g identity.Incarnation, birthMs int64) bool {
	dropped, known := h.guards[g]
	return known && (dropped == 0 || birthMs < dropped)
}

// falls tells whether g's report falls short of a job born at birthMs.
func (h *home) falls(g identity.Incarnation, birthMs int64) bool {
	floor, reported := h.reports[g]
	return reported && birthMs < floor
}

// proof is what the reports say about one job.
type proof struct {
	possible bool // the list of guards is complete for the job, and those that reported remember its time
	silent   bool // a guard that could have started it has not reported
	awaited  bool // such a guard may still report
	started  starts
}

// evidence collects what is known about a job. lost tells which guards need not
// be waited for.
func (h *home) evidence(j Job, lost func(identity.Incarnation) bool) proof {
	h.summarise()
	p := proof{
		possible: h.complete && j.BirthMs >= max(h.sinceMs, h.pruned, h.floorMs),
		started:  h.started[jobName{j.Member, j.Key}],
	}
	for _, g := range h.dropped {
		if h.couldHaveUsed(g, j.BirthMs) && h.falls(g, j.BirthMs) {
			p.possible = false
		}
	}
	for _, g := range h.silent {
		if !h.couldHaveUsed(g, j.BirthMs) {
			continue
		}
		p.silent = true
		if !lost(g) {
			p.awaited = true
			break
		}
	}
	return p
}
