package sched

import "time"

// Shape of dueCounts: it resolves about 16 s.
const (
	dueWidth = int64(32 * time.Millisecond)
	dueSlots = 512
)

// dueCounts counts the items of a queue by the moment at which they are due, in
// a ring of slots. Items beyond the ring's end are counted in its last slot.
// With a plain count of all items, a job of 400 tasks would make every small
// job's wait look like its own, and they would be refused though they overtake.
type dueCounts struct {
	counts [dueSlots]int32
	first  int64 // number of the ring's first slot
	total  int
}

func (d *dueCounts) clamp(due int64) int64 {
	return min(max(due/dueWidth, d.first), d.first+dueSlots-1)
}

// add counts an item and gives the slot to remove it from.
func (d *dueCounts) add(due int64) int64 {
	slot := due / dueWidth
	if d.total == 0 {
		d.first = slot
	}
	for d.first+dueSlots-1 < slot && d.counts[d.first%dueSlots] == 0 {
		d.first++
	}
	slot = d.clamp(due)
	d.counts[slot%dueSlots]++
	d.total++
	return slot
}

// remove takes an item away. A ring that begins at an item's slot cannot move
// past it before, so the slot is still there.
func (d *dueCounts) remove(slot int64) {
	d.counts[slot%dueSlots]--
	d.total--
}

func (d *dueCounts) upTo(due int64) int {
	if d.total == 0 {
		return 0
	}
	sum := 0
	for slot := d.first; slot <= d.clamp(due); slot++ {
		sum += int(d.counts[slot%dueSlots])
	}
	return sum
}
