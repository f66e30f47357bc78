package ledger

import (
	"container/heap"
	"math"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// RecordBytes bounds the memory that one remembered Ref takes, in bytes,
// without its held result and with a ticket of usual length (46 to 61 bytes);
// TestRecordBytes measures it. DefaultRemembered Refs so take at most 6 MB.
const RecordBytes = 350

// heldOverhead is what a held result takes besides its body and detail.
const heldOverhead = 256

// state is how far a Ref has come.
type state uint8

const (
	queued  state = iota // accepted, waits for a slot
	running              // given to the upstream
	done                 // given to the upstream, and an answer or error came
	refused              // never started, and never will be
)

// record is what is remembered of one Ref.
type record struct {
	ref     wire.Ref
	home    identity.Incarnation
	birthMs int64
	result  *wire.Result // held result; nil when it never came or was dropped
	of      int32
	state   state
	kind    errkind.Kind // of the settled result
	ran     errkind.Ran
}

func (r *record) settled() bool { return r.state == done || r.state == refused }

func (r *record) started() bool { return r.state == running || r.state == done }

// answer rebuilds the result of a settled record.
func (r *record) answer() wire.Result {
	switch {
	case r.result != nil:
		return *r.result
	case r.kind == errkind.None:
		return wire.Result{Ref: r.ref, Kind: errkind.AnswerGone, Ran: errkind.RanYes}
	default:
		return wire.Result{Ref: r.ref, Kind: r.kind, Ran: r.ran}
	}
}

// memory holds the records. Only settled ones are ever forgotten, oldest birth
// first, and each forgotten birth is below floorMs. Without the floor, a Start
// that is sent again after its record was dropped would run a second time.
type memory struct {
	opt       Options
	records   map[wire.Ref]*record
	settled   birthHeap
	floorMs   int64
	members   map[string]string // one copy of each member's name
	held      []*record         // records with a result, oldest first
	heldCount int
	heldBytes int
}

func newMemory(opt Options) memory {
	return memory{opt: opt, records: make(map[wire.Ref]*record), members: make(map[string]string)}
}

// add remembers a new Ref.
func (m *memory) add(ref wire.Ref, of int, home identity.Incarnation, birthMs int64) *record {
	if name, ok := m.members[ref.Member]; ok {
		ref.Member = name
	} else {
		m.members[ref.Member] = ref.Member
	}
	r := &record{ref: ref, home: home, birthMs: birthMs, of: int32(min(of, math.MaxInt32))}
	m.records[ref] = r
	return r
}

// settle notes the final word on r, and forgets what is due.
func (m *memory) settle(now time.Time, r *record, s state, res *wire.Result) {
	r.state, r.kind, r.ran = s, res.Kind, res.Ran
	if s == done {
		m.hold(r, res)
	}
	heap.Push(&m.settled, r)
	oldest := now.Add(-m.opt.Retention).UnixMilli()
	for len(m.settled) > m.opt.Remembered || len(m.settled) > 0 && m.settled[0].birthMs < oldest {
		m.forget(heap.Pop(&m.settled).(*record))
	}
}

func (m *memory) forget(r *record) {
	delete(m.records, r.ref)
	m.drop(r)
	// The floor follows what was forgotten, never the clock: a clock that jumps
	// an hour ahead must not refuse the births of that hour.
	m.floorMs = max(m.floorMs, r.birthMs+1)
}

// hold keeps a result for a resent Start or a Collect; the oldest results make
// room for it.
func (m *memory) hold(r *record, res *wire.Result) {
	if heldCost(res) > m.opt.HeldBytes {
		return
	}
	r.result = res
	m.held = append(m.held, r)
	m.heldCount++
	m.heldBytes += heldCost(res)
	for m.heldBytes > m.opt.HeldBytes {
		m.drop(m.held[0])
		m.held = m.held[1:]
	}
	m.compactHeld()
}

// compactHeld removes records whose result was dropped out of order. Without
// it the list would keep every forgotten record alive behind one long-lived one.
func (m *memory) compactHeld() {
	const slack = 64
	if len(m.held) <= 2*m.heldCount+slack {
		return
	}
	live := make([]*record, 0, m.heldCount)
	for _, r := range m.held {
		if r.result != nil {
			live = append(live, r)
		}
	}
	m.held = live
}

func (m *memory) drop(r *record) {
	if r.result == nil {
		return
	}
	m.heldBytes -= heldCost(r.result)
	m.heldCount--
	r.result = nil
}

func heldCost(res *wire.Result) int { return len(res.Body) + len(res.Detail) + heldOverhead }

// birthHeap is a heap of settled records, oldest birth on top.
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
