package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// noteHealth learns from a guard's word how its worker does.
func (c *Core) noteHealth(now time.Time, f *flight, r *wire.Result) {
	g := f.guard
	switch {
	case r.Kind == errkind.None:
		c.noteRun(g, time.Duration(r.RunMs)*time.Millisecond)
	case blamesWorker(r.Kind):
		g.health.Failed(f.ref.Key)
	default:
		return
	}
	if !g.sick && g.health.Sick() && c.pool.FleetStats.CanExclude() {
		c.quarantine(now, g)
	}
}

// blamesWorker tells which failures may be the worker's own.
func blamesWorker(k errkind.Kind) bool {
	return k == errkind.UpstreamFailed || k == errkind.UpstreamPartial || k == errkind.TimedOut
}

func (c *Core) noteRun(g *guard, took time.Duration) {
	slow := c.runs.HasEstimate() && took > c.runs.P90
	g.health.Ran(slow)
	c.runs.Observe(took)
	if w := c.pool.Workers[g.place]; w.MaxOwnTasks > 0 && !g.sick {
		w.MaxOwnTasks = g.health.Probed(w.MaxOwnTasks, w.Slots, slow)
		c.pool.Set(g.place, w)
	}
}

func (c *Core) quarantine(now time.Time, g *guard) {
	g.sick = true
	c.setState(g)
	c.timers.add(g.health.Quarantine(now), timer{guard: g, probe: true})
}

// probe lets a quarantined worker have one task at a time, and more as they
// succeed.
func (c *Core) probe(g *guard) {
	if !g.sick {
		return // it was needed before its time
	}
	g.sick = false
	w := c.pool.Workers[g.place]
	w.MaxOwnTasks = 1
	c.pool.Set(g.place, w)
	c.setState(g)
}

// Watch over silent guards.
const (
	watchEvery    = 250 * time.Millisecond
	silentLeast   = 2 * time.Second
	silentRuns    = 4 // times the 99th percentile of run times
	silentUnknown = 10 * time.Second
)

// watch stops new work to guards that have been silent for long while they hold
// tasks. A frozen worker keeps its link until the link's own check fails, much
// later, and looks idle to other entries; until then each task sent to it would
// be lost.
func (c *Core) watch(now time.Time) {
	c.watching = false
	if len(c.flights) == 0 {
		return
	}
	c.watching = true
	c.timers.add(now.Add(watchEvery), timer{watch: true})
	limit := now.Add(-c.silentAfter())
	for _, f := range c.flights {
		f.guard.owes = f.guard.owes || f.sent.Before(limit)
	}
	for _, g := range c.guards {
		if g == nil {
			continue
		}
		owes := g.owes
		g.owes = false
		if owes && g.up && !g.silent && g.heard.Before(limit) && c.pool.FleetStats.CanExclude() {
			g.silent = true
			c.setState(g)
		}
	}
}

func (c *Core) silentAfter() time.Duration {
	if !c.runs.HasEstimate() {
		return silentUnknown
	}
	return max(silentLeast, silentRuns*c.runs.P99)
}
