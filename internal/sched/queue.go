package sched

import (
	"container/heap"
	"time"
)

// Limits of the spacing between the tasks of a job.
const (
	maxSpacing     = 20 * time.Millisecond
	spacingDivisor = 2
)

// TaskSpacing returns the difference in Due between consecutive tasks of a job.
// The k-th task is ordered as if it had arrived k spacings after the job, so that
// small jobs overtake the last tasks of a large one. All spacings together take
// at most half of the time left until the deadline: the last task is then due
// well before the deadline, and later arrivals cannot delay it beyond that.
func TaskSpacing(left time.Duration, tasks int) time.Duration {
	return min(maxSpacing, left/time.Duration(spacingDivisor*max(1, tasks)))
}

// Item is one waiting task in a Queue.
type Item[T any] struct {
	Value   T
	Due     int64 // sort key within a flow; the smallest is served first
	seq     uint64
	dueSlot int64 // its slot in Queue.due
}

// Queue is a two-level fair queue. Flows (teams) share the service by weight
// with start-time fair queueing; within a flow, the item with the smallest Due
// is served first.
//
// In a single first-come, first-served queue, one team's burst or one large job
// would delay everybody behind it, and the response time of other teams would
// grow although their own load is small.
type Queue[T any] struct {
	flows       map[string]*flow[T]
	active      []*flow[T] // flows with waiting items
	virtualTime float64    // smallest start tag of the active flows at the last Pop
	size        int
	seq         uint64
	due         dueHistogram
}

type flow[T any] struct {
	items    itemHeap[T]
	weight   float64
	startTag float64 // virtual start tag of its next item
}

// Push adds an item to a flow. weight is the flow's share; values of 0 or less
// count as 1. Each item costs one task.
func (q *Queue[T]) Push(flowName string, weight float64, item Item[T]) {
	if q.flows == nil {
		q.flows = make(map[string]*flow[T])
	}
	f := q.flows[flowName]
	if f == nil {
		f = &flow[T]{}
		q.flows[flowName] = f
	}
	if f.weight = weight; weight <= 0 {
		f.weight = 1
	}
	if len(f.items) == 0 {
		// An idle flow resumes at the current virtual time: it neither
		// accumulates service for a later burst nor is charged for what it used
		// while no other flow was waiting.
		f.startTag = max(f.startTag, q.virtualTime)
		q.active = append(q.active, f)
	}
	q.seq++
	item.seq = q.seq
	item.dueSlot = q.due.add(item.Due)
	heap.Push(&f.items, item)
	q.size++
}

// flowCredit is the number of tasks by which a flow may run ahead of its fair
// share before fairness takes precedence over the order of Due. Without it,
// flows that all stay within their share are interleaved needlessly, and their
// jobs wait longer than in a single queue.
const flowCredit = 64

// Pop removes and returns the item with the smallest Due among the flows that
// are not ahead of their share by more than flowCredit. It reports false if the
// queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.active) == 0 {
		var none T
		return none, false
	}
	minStartTag := q.active[0].startTag
	for _, f := range q.active {
		minStartTag = min(minStartTag, f.startTag)
	}
	best := -1
	for i, f := range q.active {
		if f.startTag <= minStartTag+flowCredit && (best < 0 || f.precedes(q.active[best])) {
			best = i
		}
	}
	f := q.active[best]
	q.virtualTime = minStartTag
	f.startTag += 1 / f.weight
	item := heap.Pop(&f.items).(Item[T])
	q.due.remove(item.dueSlot)
	q.size--
	if len(f.items) == 0 {
		last := len(q.active) - 1
		q.active[best], q.active = q.active[last], q.active[:last]
	}
	return item.Value, true
}

func (f *flow[T]) precedes(other *flow[T]) bool {
	a, b := &f.items[0], &other.items[0]
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.seq < b.seq
}

// Len returns the number of items in all flows.
func (q *Queue[T]) Len() int { return q.size }

// CountDueBy counts the items due at or before a time, which approximates the
// number served before an item due then. Its resolution is dueSlotWidth.
func (q *Queue[T]) CountDueBy(due int64) int { return q.due.countUpTo(due) }

// FlowStatus returns the number of items waiting in a flow and the share of the
// service that the flow gets while all active flows have items waiting.
func (q *Queue[T]) FlowStatus(flowName string, weight float64) (queued int, share float64) {
	if weight <= 0 {
		weight = 1
	}
	totalWeight := weight
	target := q.flows[flowName]
	for _, f := range q.active {
		if f != target {
			totalWeight += f.weight
		}
	}
	if target != nil {
		queued = len(target.items)
	}
	return queued, weight / totalWeight
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
	item := old[len(old)-1]
	old[len(old)-1] = Item[T]{}
	*h = old[:len(old)-1]
	return item
}
