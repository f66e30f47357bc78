package sched

import "time"

// Dimensions of a dueHistogram. Together they cover about 16 s.
const (
	dueSlotWidth = int64(32 * time.Millisecond)
	dueSlotCount = 512
)

// dueHistogram counts the items of a queue by due time, in a ring of slots.
// Items due after the end of the ring are counted in its last slot.
//
// Admission uses it instead of the queue's length: with the length, one job of
// 400 tasks would make every small job's expected wait as long as its own, and
// small jobs would be refused although the queue serves them first.
type dueHistogram struct {
	counts    [dueSlotCount]int32
	firstSlot int64 // absolute number of the first slot in the ring
	total     int
}

func (d *dueHistogram) clampedSlot(due int64) int64 {
	return min(max(due/dueSlotWidth, d.firstSlot), d.firstSlot+dueSlotCount-1)
}

// add counts an item and returns the slot to pass to remove.
func (d *dueHistogram) add(due int64) int64 {
	slot := due / dueSlotWidth
	if d.total == 0 {
		d.firstSlot = slot
	}
	for d.firstSlot+dueSlotCount-1 < slot && d.counts[d.firstSlot%dueSlotCount] == 0 {
		d.firstSlot++
	}
	slot = d.clampedSlot(due)
	d.counts[slot%dueSlotCount]++
	d.total++
	return slot
}

// remove uncounts an item. The ring's start never moves past a slot that is in
// use, so the slot is still in the ring.
func (d *dueHistogram) remove(slot int64) {
	d.counts[slot%dueSlotCount]--
	d.total--
}

func (d *dueHistogram) countUpTo(due int64) int {
	if d.total == 0 {
		return 0
	}
	count := 0
	for slot := d.firstSlot; slot <= d.clampedSlot(due); slot++ {
		count += int(d.counts[slot%dueSlotCount])
	}
	return count
}
