package dispatch

import (
	"container/heap"
	"time"
)

// timer is a scheduled event: a job's deadline, a task's retry, the end of a
// guard's grace period or quarantine, or a periodic check. The bool fields
// select the method that runTimer calls under the same name.
type timer struct {
	dueAt               time.Time
	seq                 uint64 // orders timers that are due at the same time
	job                 *job
	guard               *guard
	disconnects         int // guard.disconnects when a grace period began
	startProbation      bool
	task                *task
	maintainQueue       bool
	checkResponsiveness bool
	heapIndex           int // index in the heap, or -1
}

type timerHeap struct {
	items timerItems
	seq   uint64
}

func (h *timerHeap) add(dueAt time.Time, t timer) *timer {
	h.seq++
	t.dueAt, t.seq = dueAt, h.seq
	heap.Push(&h.items, &t)
	return &t
}

// remove cancels a timer; it does nothing if the timer is no longer in the
// heap.
func (h *timerHeap) remove(t *timer) {
	if t.heapIndex >= 0 {
		heap.Remove(&h.items, t.heapIndex)
	}
}

// popDue removes the next timer that is due at now.
func (h *timerHeap) popDue(now time.Time) (*timer, bool) {
	if len(h.items) == 0 || h.items[0].dueAt.After(now) {
		return nil, false
	}
	return heap.Pop(&h.items).(*timer), true
}

func (h *timerHeap) nextDue() time.Time {
	if len(h.items) == 0 {
		return time.Time{}
	}
	return h.items[0].dueAt
}

type timerItems []*timer

func (s timerItems) Len() int { return len(s) }
func (s timerItems) Less(i, j int) bool {
	if !s[i].dueAt.Equal(s[j].dueAt) {
		return s[i].dueAt.Before(s[j].dueAt)
	}
	return s[i].seq < s[j].seq
}
func (s timerItems) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heapIndex, s[j].heapIndex = i, j
}
func (s *timerItems) Push(x any) {
	t := x.(*timer)
	t.heapIndex = len(*s)
	*s = append(*s, t)
}
func (s *timerItems) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	t.heapIndex = -1
	return t
}
