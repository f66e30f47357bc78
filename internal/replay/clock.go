package replay

import (
	"container/heap"
	"time"
)

// epoch is the simulated time at which every replay starts.
var epoch = time.Unix(1_790_000_000, 0)

// clock is the simulated clock and its event queue. It runs events in order of
// time, and events of the same time in the order in which they were added.
type clock struct {
	now   time.Time
	queue eventHeap
	seq   uint64
}

type event struct {
	dueAt time.Time
	seq   uint64
	run   func()
}

// at schedules f for time t, or for the current time if t has passed.
func (c *clock) at(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.queue, event{dueAt: t, seq: c.seq, run: f})
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// step runs the next event that is due by end and reports whether there was one.
func (c *clock) step(end time.Time) bool {
	if len(c.queue) == 0 || c.queue[0].dueAt.After(end) {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.dueAt
	e.run()
	return true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].dueAt.Before(h[j].dueAt)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
