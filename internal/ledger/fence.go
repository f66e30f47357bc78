package ledger

import (
	"cmp"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Fence permanently blocks an entry incarnation, so that it starts no more tasks
// here, and replies with a report of the starts made for it. Once MaxFences fences
// are stored, a Fence for a further entry is ignored and gets no report. Storing it
// would require evicting an older fence, and the entry blocked by the older one could
// then start tasks again.
func (l *Ledger) Fence(now time.Time, from identity.Incarnation, f *wire.Fence) {
	if !l.fenced[f.FencedEntry] && (len(l.fenced) >= l.opt.MaxFences || len(f.FencedEntry) > maxIncarnationLen) {
		return
	}
	l.fenced[f.FencedEntry] = true
	if e := l.entry(f.FencedEntry); e != nil {
		e.reserved = 0
		l.withdrawOffers(e)
	}
	l.refuseQueuedTasks(now, f.FencedEntry)
	l.assignSlots(now)
	l.send(from, &wire.Frame{FenceReport: l.fenceReport(f.FencedEntry, f.SinceMs)})
}

// refuseQueuedTasks refuses the queued tasks of a fenced entry.
func (l *Ledger) refuseQueuedTasks(now time.Time, home identity.Incarnation) {
	for _, task := range slices.Clone(l.queue) {
		if task.record.home == home {
			l.dequeue(task.record)
			l.refuse(now, task.record, errkind.Fenced)
		}
	}
}

// fenceReport lists the starts made for one home, for identities born at or after
// sinceMs. Without that bound, the full record tables of all guards would overload
// the entry that receives the reports.
//
// Births before this guard's creation are excluded by the reported floor: an earlier
// guard process on the same worker may have started such tasks, and this guard has
// no record of them.
func (l *Ledger) fenceReport(home identity.Incarnation, sinceMs int64) *wire.FenceReport {
	var started []*record
	for _, r := range l.recordTable.records {
		if r.home == home && r.started() && r.birthMs >= sinceMs {
			started = append(started, r)
		}
	}
	slices.SortFunc(started, compareNewestFirst)
	reportFloorMs := max(l.recordTable.floorMs, l.createdMs, sinceMs)
	if len(started) > maxReportedStarts {
		// Starts that do not fit in the frame are excluded by raising the floor, as if
		// their records had been evicted.
		reportFloorMs = max(reportFloorMs, started[maxReportedStarts].birthMs+1)
		started = started[:maxReportedStarts]
	}
	report := &wire.FenceReport{FencedEntry: home, FloorMs: reportFloorMs}
	for _, r := range started {
		report.Started = append(report.Started, wire.Started{Ref: r.ref, Of: int(r.taskCount), Done: r.result != nil})
	}
	return report
}

func compareNewestFirst(a, b *record) int {
	return cmp.Or(cmp.Compare(b.birthMs, a.birthMs), cmp.Compare(a.ref.Member, b.ref.Member),
		cmp.Compare(a.ref.Key, b.ref.Key), cmp.Compare(a.ref.Task, b.ref.Task))
}

// Collect sends the held results of a job to the requesting entry. The reply is
// empty if no result is held.
func (l *Ledger) Collect(from identity.Incarnation, c *wire.Collect) {
	reply := &wire.Collected{Member: c.Member, Key: c.Key}
	for _, r := range l.recordTable.held {
		if r.result != nil && r.ref.Member == c.Member && r.ref.Key == c.Key {
			reply.Results = append(reply.Results, *r.result)
			reply.Of = int(r.taskCount)
		}
	}
	slices.SortFunc(reply.Results, func(a, b wire.Result) int { return cmp.Compare(a.Ref.Task, b.Ref.Task) })
	l.send(from, &wire.Frame{Collected: reply})
}
