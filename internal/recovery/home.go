package recovery

import (
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
	reports  map[identity.Incarnation]*report
	kept     int // starts kept in reports
}

// report is a guard's answer to a fence. It is final: the guard starts nothing
// more for this home.
type report struct {
	floorMs int64
	started map[jobName][]wire.Started
}

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
	h.reports = make(map[identity.Incarnation]*report)
}

// take keeps a guard's report.
func (h *home) take(g identity.Incarnation, r *wire.FenceReport) {
	if _, again := h.reports[g]; again || h.gone.IsZero() {
		return
	}
	kept := &report{floorMs: r.FloorMs, started: make(map[jobName][]wire.Started)}
	if h.kept+len(r.Started) > maxStarted {
		kept = nil // known to have answered, but nothing can be proved from it
	} else {
		h.kept += len(r.Started)
		for _, s := range r.Started {
			n := jobName{s.Ref.Member, s.Ref.Key}
			kept.started[n] = append(kept.started[n], s)
		}
	}
	h.reports[g] = kept
}

// couldHaveUsed tells whether the home may have sent a job born at birthMs to g.
func (h *home) couldHaveUsed(g identity.Incarnation, birthMs int64) bool {
	dropped, known := h.guards[g]
	return known && (dropped == 0 || birthMs < dropped)
}

// falls tells whether g's report falls short of a job born at birthMs.
func (h *home) falls(g identity.Incarnation, birthMs int64) bool {
	r, reported := h.reports[g]
	return reported && (r == nil || birthMs < r.floorMs)
}

// proof sorts the guards that could have started a job.
type proof struct {
	possible bool // the list of guards is complete for the job
	silent   []identity.Incarnation
	started  map[identity.Incarnation][]wire.Started
}

// evidence collects what the reports say about a job.
func (h *home) evidence(j Job) proof {
	p := proof{
		possible: h.complete && j.BirthMs >= max(h.sinceMs, h.pruned),
		started:  make(map[identity.Incarnation][]wire.Started),
	}
	for g, r := range h.reports {
		if r == nil {
			continue
		}
		if s := r.started[jobName{j.Member, j.Key}]; len(s) > 0 {
			p.started[g] = s
		}
	}
	for g := range h.guards {
		if !h.couldHaveUsed(g, j.BirthMs) {
			continue
		}
		_, answered := h.reports[g]
		switch {
		case !answered:
			p.silent = append(p.silent, g)
		case h.falls(g, j.BirthMs):
			p.possible = false
		}
	}
	return p
}
