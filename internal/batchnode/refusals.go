package batchnode

import (
	"time"

	"wigeontray/internal/errkind"
)

// refusalWindow is the period in which recent refusals are counted.
const refusalWindow = time.Minute

// recentRefusals counts the refused requests of the last refusalWindow by service and kind, to the second.
type recentRefusals struct {
	byService map[string]*[int(refusalWindow / time.Second)]refusalSecond
}

// refusalSecond counts the refusals of one second.
type refusalSecond struct {
	second int64
	counts map[errkind.Kind]int
}

func (r *recentRefusals) record(now time.Duration, service string, kind errkind.Kind) {
	if r.byService == nil {
		r.byService = make(map[string]*[int(refusalWindow / time.Second)]refusalSecond)
	}
	seconds := r.byService[service]
	if seconds == nil {
		seconds = new([int(refusalWindow / time.Second)]refusalSecond)
		r.byService[service] = seconds
	}
	second := int64(now / time.Second)
	slot := &seconds[second%int64(len(seconds))]
	if slot.second != second || slot.counts == nil {
		*slot = refusalSecond{second: second, counts: make(map[errkind.Kind]int)}
	}
	slot.counts[kind]++
}

// of returns the refused requests of a service by the name of their kind.
func (r *recentRefusals) of(now time.Duration, service string) map[string]int {
	out := make(map[string]int)
	seconds := r.byService[service]
	if seconds == nil {
		return out
	}
	oldest := int64(now/time.Second) - int64(len(seconds))
	for i := range seconds {
		if seconds[i].second <= oldest {
			continue
		}
		for kind, n := range seconds[i].counts {
			out[kind.String()] += n
		}
	}
	return out
}
