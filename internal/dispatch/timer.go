package dispatch

import (
	"container/heap"
	"time"
)

// timer is something that falls due: a job's deadline, a guard's grace or
// probe, a task's retry, or a look at old reports or silent guards.
type timer struct {
	when  time.Time
	seq   uint64 // keeps equal moments in order
	job   *job
	guard *guard
	downs int
	probe bool
	task  *task
	poll  bool
	watch bool
	index int // place in the heap, or -1
}

type timerHeap struct {
	items timerItems
	seq   uint64
}

func (h *timerHeap) add(when time.Time, t timer) *timer {
	h.seq++
	t.when, t.seq = when, h.seq
	heap.Push(&h.items, &t)
	return &t
}

// remove takes out a timer that is still set.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(&h.items, t.index)
	}
}

// due takes the next timer that is due at now.
func (h *timerHeap) due(now time.Time) (*timer, bool) {
	if len(h.items) == 0 || h.items[0].when.After(now) {
		return nil, false
	}
	return heap.Pop(&h.items).(*timer), true
}

func (h *timerHeap) next() time.Time {
	if len(h.items) == 0 {
		return time.Time{}
	}
	return h.items[0].when
}

type timerItems []*timer

func (s timerItems) Len() int { return len(s) }
func (s timerItems) Less(i, j int) bool {
	if !s[i].when.Equal(s[j].when) {
		return s[i].when.Before(s[j].when)
	}
	return s[i].seq < s[j].seq
}
func (s timerItems) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}
func (s *timerItems) Push(x any) {
	t := x.(*timer)
	t.index = len(*s)
	*s = append(*s, t)
}
func (s *timerItems) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	t.index = -1
	return t
}
