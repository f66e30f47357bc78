package ledger

import (
	"cmp"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Fence notes that an entry is never obeyed again, and reports all starts that
// were made for it. A Fence beyond MaxFences gets no report: it could only be
// kept by forgetting an older one, whose entry might then start work again.
func (l *Ledger) Fence(now time.Time, from identity.Incarnation, f *wire.Fence) {
	if !l.fenced[f.Gone] && (len(l.fenced) >= l.opt.MaxFences || len(f.Gone) > maxName) {
		return
	}
	l.fenced[f.Gone] = true
	if e := l.entry(f.Gone); e != nil {
		e.want = 0
		l.releaseOffers(e)
	}
	l.refuseHome(now, f.Gone)
	l.assign(now)
	l.send(from, &wire.Frame{FenceReport: l.report(f.Gone, f.SinceMs)})
}

// refuseHome refuses the waiting tasks of a fenced entry.
func (l *Ledger) refuseHome(now time.Time, home identity.Incarnation) {
	for _, w := range slices.Clone(l.queue) {
		if w.record.home == home {
			l.dequeue(w.record)
			l.refuse(now, w.record, errkind.Fenced)
		}
	}
}

// report lists the starts for one home of identities born from sinceMs on, since
// a whole memory from every guard would swamp the entry. Births before the guard itself began
// lie below the reported floor: a predecessor on the same worker may have
// started them, and this guard would not know.
func (l *Ledger) report(home identity.Incarnation, sinceMs int64) *wire.FenceReport {
	var started []*record
	for _, r := range l.memory.records {
		if r.home == home && r.started() && r.birthMs >= sinceMs {
			started = append(started, r)
		}
	}
	slices.SortFunc(started, newestFirst)
	floor := max(l.memory.floorMs, l.bornMs, sinceMs)
	if len(started) > maxReported {
		// What does not fit a frame is the same to the reader as forgotten.
		floor = max(floor, started[maxReported].birthMs+1)
		started = started[:maxReported]
	}
	out := &wire.FenceReport{Gone: home, FloorMs: floor}
	for _, r := range started {
		out.Started = append(out.Started, wire.Started{Ref: r.ref, Of: int(r.of), Done: r.result != nil})
	}
	return out
}

func newestFirst(a, b *record) int {
	return cmp.Or(cmp.Compare(b.birthMs, a.birthMs), cmp.Compare(a.ref.Member, b.ref.Member),
		cmp.Compare(a.ref.Key, b.ref.Key), cmp.Compare(a.ref.Task, b.ref.Task))
}

// Collect sends the held results of a job to the entry that asks. It is empty
// when none is held.
func (l *Ledger) Collect(from identity.Incarnation, c *wire.Collect) {
	out := &wire.Collected{Member: c.Member, Key: c.Key}
	for _, r := range l.memory.held {
		if r.result != nil && r.ref.Member == c.Member && r.ref.Key == c.Key {
			out.Results = append(out.Results, *r.result)
			out.Of = int(r.of)
		}
	}
	slices.SortFunc(out.Results, func(a, b wire.Result) int { return cmp.Compare(a.Ref.Task, b.Ref.Task) })
	l.send(from, &wire.Frame{Collected: out})
}
