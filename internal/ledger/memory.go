package ledger

import (
	"container/heap"
	"math"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// MaxRecordBytes is an upper bound on the memory of one Ref's record, without its
// held result, for a ticket of the usual length (46 to 61 bytes).
// TestRecordSizeIsBounded measures it. At this bound, DefaultRemembered records take
// at most 6 MB.
const MaxRecordBytes = 350

// resultOverheadBytes is the memory that a held result takes besides its body and
// detail.
const resultOverheadBytes = 256

// state is the lifecycle state of a Ref.
type state uint8

const (
	queued  state = iota // accepted, waiting for a slot
	running              // sent to the upstream
	done                 // sent to the upstream, which answered or failed
	refused              // not started, and never will be
)

// record is the stored state of one Ref.
type record struct {
	ref       wire.Ref
	home      identity.Incarnation
	birthMs   int64
	result    *wire.Result // held result; nil if none was received or it was dropped
	taskCount int32
	state     state
	kind      errkind.Kind // error kind of the final result
	ran       errkind.Ran
}

func (r *record) settled() bool { return r.state == done || r.state == refused }

func (r *record) started() bool { return r.state == running || r.state == done }

// finalResult returns the result of a settled record, rebuilt if it is no longer
// held.
func (r *record) finalResult() wire.Result {
	switch {
	case r.result != nil:
		return *r.result
	case r.kind == errkind.None:
		return wire.Result{Ref: r.ref, Kind: errkind.AnswerGone, Ran: errkind.RanYes}
	default:
		return wire.Result{Ref: r.ref, Kind: r.kind, Ran: r.ran}
	}
}

// recordTable stores the records. Only settled records are evicted, oldest birth
// first, and floorMs is raised above each evicted birth. Without the floor, a Start
// that is resent after its record was evicted would run a second time.
type recordTable struct {
	opt            Options
	records        map[wire.Ref]*record
	settledByBirth birthHeap
	floorMs        int64
	memberNames    map[string]string // interned names, shared by all records
	held           []*record         // records with a result, oldest first
	heldCount      int
	heldBytes      int
}

func newRecordTable(opt Options) recordTable {
	return recordTable{opt: opt, records: make(map[wire.Ref]*record), memberNames: make(map[string]string)}
}

// add stores a record for a new Ref.
func (t *recordTable) add(ref wire.Ref, taskCount int, home identity.Incarnation, birthMs int64) *record {
	if name, ok := t.memberNames[ref.Member]; ok {
		ref.Member = name
	} else {
		t.memberNames[ref.Member] = ref.Member
	}
	r := &record{ref: ref, home: home, birthMs: birthMs, taskCount: int32(min(taskCount, math.MaxInt32))}
	t.records[ref] = r
	return r
}

// settle stores the final state of r and evicts records that are over the limits.
func (t *recordTable) settle(now time.Time, r *record, final state, res *wire.Result) {
	r.state, r.kind, r.ran = final, res.Kind, res.Ran
	if final == done {
		t.holdResult(r, res)
	}
	heap.Push(&t.settledByBirth, r)
	cutoffMs := now.Add(-t.opt.Retention).UnixMilli()
	for len(t.settledByBirth) > t.opt.Remembered || len(t.settledByBirth) > 0 && t.settledByBirth[0].birthMs < cutoffMs {
		t.evict(heap.Pop(&t.settledByBirth).(*record))
	}
}

func (t *recordTable) evict(r *record) {
	delete(t.records, r.ref)
	t.dropResult(r)
	// The floor follows the evicted births, not the clock: a clock that jumps an hour
	// ahead must not cause the births of that hour to be refused.
	t.floorMs = max(t.floorMs, r.birthMs+1)
}

// holdResult keeps a result for a resent Start or a Collect. When the limit is
// exceeded, the oldest results are dropped.
func (t *recordTable) holdResult(r *record, res *wire.Result) {
	if heldResultBytes(res) > t.opt.HeldBytes {
		return
	}
	r.result = res
	t.held = append(t.held, r)
	t.heldCount++
	t.heldBytes += heldResultBytes(res)
	for t.heldBytes > t.opt.HeldBytes {
		t.dropResult(t.held[0])
		t.held = t.held[1:]
	}
	t.compactHeld()
}

// compactHeld removes records whose result was dropped out of order. Otherwise the
// list would keep every evicted record in memory behind one long-lived record.
func (t *recordTable) compactHeld() {
	const slack = 64
	if len(t.held) <= 2*t.heldCount+slack {
		return
	}
	kept := make([]*record, 0, t.heldCount)
	for _, r := range t.held {
		if r.result != nil {
			kept = append(kept, r)
		}
	}
	t.held = kept
}

func (t *recordTable) dropResult(r *record) {
	if r.result == nil {
		return
	}
	t.heldBytes -= heldResultBytes(r.result)
	t.heldCount--
	r.result = nil
}

func heldResultBytes(res *wire.Result) int {
	return len(res.Body) + len(res.Detail) + resultOverheadBytes
}

// birthHeap is a min-heap of settled records by birth.
type birthHeap []*record

func (h birthHeap) Len() int           { return len(h) }
func (h birthHeap) Less(i, j int) bool { return h[i].birthMs < h[j].birthMs }
func (h birthHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *birthHeap) Push(x any)        { *h = append(*h, x.(*record)) }
func (h *birthHeap) Pop() any {
	old := *h
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*h = old[:last]
	return r
}
