package replay

import (
	"time"

	"wigeontray/internal/wire"
)

// second is the width of the buckets in which starts are counted by worker.
const second = time.Second

// tally counts what a replay's measures are made of.
type tally struct {
	w        *world
	messages map[string]int
	runs     int
	busy     time.Duration // time on upstreams inside the measured window
	failed   int           // runs on a failing upstream after failSettle
	after    int           // all runs in that time
	retries  map[string]int
	starts   map[string][]int // by worker and second
	failFrom time.Time        // first moment at which an upstream failed
}

func (t *tally) init(w *world) {
	t.w = w
	t.messages = make(map[string]int)
	t.retries = make(map[string]int)
	t.starts = make(map[string][]int)
}

// frame counts a message between an entry and a guard.
func (t *tally) frame(f *wire.Frame) {
	kind := "other"
	switch {
	case f.Start != nil:
		kind = "start"
	case f.Result != nil:
		kind = "result"
	case f.Cancel != nil:
		kind = "cancel"
	case f.Load != nil:
		kind = "load"
	case f.Reserve != nil:
		kind = "reserve"
	case f.Offer != nil:
		kind = "offer"
	}
	t.messages[kind]++
}

func (t *tally) total() int {
	sum := 0
	for _, n := range t.messages {
		sum += n
	}
	return sum
}

// ran notes a run that begins now.
func (t *tally) ran(g *guard, now time.Time, took time.Duration) {
	t.runs++
	from, until := t.w.window()
	t.busy += overlap(now, now.Add(took), from, until)
	if !t.failFrom.IsZero() && now.Sub(t.failFrom) > failSettle {
		t.after++
		if g.failing {
			t.failed++
		}
	}
	at := int(now.Sub(t.w.begin) / second)
	if at < 0 {
		return
	}
	s := t.starts[g.def.Name]
	for len(s) <= at {
		s = append(s, 0)
	}
	s[at]++
	t.starts[g.def.Name] = s
}

// overlap is the time that two intervals share.
func overlap(a0, a1, b0, b1 time.Time) time.Duration {
	if b0.After(a0) {
		a0 = b0
	}
	if b1.Before(a1) {
		a1 = b1
	}
	return max(0, a1.Sub(a0))
}
