package sched

import (
	"container/heap"
	"time"
)

// Bounds of Spacing.
const (
	maxSpacing  = 20 * time.Millisecond
	spacingPart = 2
)

// Spacing is by how much the Due of each task of a job lies after the one
// before: the k-th task is ordered as if it had arrived k spacings after the
// job, so that small jobs overtake the tail of a big one. Half of the time left
// until the deadline bounds it; the tail is so still due well before the
// deadline, and later arrivals cannot push it past that.
func Spacing(left time.Duration, tasks int) time.Duration {
	return min(maxSpacing, left/time.Duration(spacingPart*max(1, tasks)))
}

// Item is one waiting task in a Queue.
type Item[T any] struct {
	Value T
	Due   int64 // order inside a flow; the least is served first
	seq   uint64
	slot  int64 // of the due counts
}

// Queue is a two-level fair queue. Flows (teams) share the service by weight
// with start-time fair queueing; inside a flow the least Due goes first.
//
// A single queue in order of arrival would let one team's burst, or one big
// job, hold up everybody behind it: others would see their response time grow
// though their own load is small.
type Queue[T any] struct {
	flows map[string]*flow[T]
	live  []*flow[T] // flows with items
	clock float64    // virtual time: start tag of the last item served
	size  int
	seq   uint64
	due   dueCounts
}

type flow[T any] struct {
	items  itemHeap[T]
	weight float64
	start  float64 // virtual start tag of its next item
}

// Push adds an item to a flow. weight is the flow's share; 0 counts as 1. cost
// of an item is one task.
func (q *Queue[T]) Push(name string, weight float64, it Item[T]) {
	if q.flows == nil {
		q.flows = make(map[string]*flow[T])
	}
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{}
		q.flows[name] = f
	}
	if f.weight = weight; weight <= 0 {
		f.weight = 1
	}
	if len(f.items) == 0 {
		// A flow that was idle starts now: it neither saves up service for a
		// later burst nor pays for what it used while nobody else waited.
		f.start = max(f.start, q.clock)
		q.live = append(q.live, f)
	}
	q.seq++
	it.seq = q.seq
	it.slot = q.due.add(it.Due)
	heap.Push(&f.items, it)
	q.size++
}

// credit is by how many tasks a flow may run ahead of its fair share before
// order of Due gives way to fairness. Without it, flows that all keep to their
// share are interleaved for nothing: their jobs wait longer than in one queue.
const credit = 64

// Pop takes the next item: the least Due among the flows that are not ahead of
// their share.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.live) == 0 {
		var none T
		return none, false
	}
	least := q.live[0].start
	for _, f := range q.live {
		least = min(least, f.start)
	}
	best := -1
	for i, f := range q.live {
		if f.start <= least+credit && (best < 0 || f.before(q.live[best])) {
			best = i
		}
	}
	f := q.live[best]
	q.clock = least
	f.start += 1 / f.weight
	it := heap.Pop(&f.items).(Item[T])
	q.due.remove(it.slot)
	q.size--
	if len(f.items) == 0 {
		last := len(q.live) - 1
		q.live[best], q.live = q.live[last], q.live[:last]
	}
	return it.Value, true
}

func (f *flow[T]) before(g *flow[T]) bool {
	a, b := &f.items[0], &g.items[0]
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.seq < b.seq
}

// Len is the number of items in all flows.
func (q *Queue[T]) Len() int { return q.size }

// Ahead counts the items that are due by a moment: about those that are served
// before an item due then. It is exact to dueWidth.
func (q *Queue[T]) Ahead(due int64) int { return q.due.upTo(due) }

// Flow gives the items waiting in one flow, and its share of the service while
// all present flows wait.
func (q *Queue[T]) Flow(name string, weight float64) (waiting int, share float64) {
	if weight <= 0 {
		weight = 1
	}
	sum := weight
	own := q.flows[name]
	for _, f := range q.live {
		if f != own {
			sum += f.weight
		}
	}
	if own != nil {
		waiting = len(own.items)
	}
	return waiting, weight / sum
}

type itemHeap[T any] []Item[T]

func (h itemHeap[T]) Len() int { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].Due != h[j].Due {
		return h[i].Due < h[j].Due
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap[T]) Push(x any)   { *h = append(*h, x.(Item[T])) }
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = Item[T]{}
	*h = old[:len(old)-1]
	return it
}
