package ledger

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// harness wraps a ledger with two linked entries, entryA and entryB, and a clock
// that the test advances. Tasks are numbered from 1.
type harness struct {
	*Ledger
	t      testing.TB
	now    time.Time
	starts []*wire.Start
}

const (
	entryA = identity.Incarnation("entry-a-1")
	entryB = identity.Incarnation("entry-b-1")
)

func newHarness(t testing.TB, opt Options) *harness {
	h := &harness{Ledger: New(epoch, opt), t: t, now: epoch}
	h.SetHealthy(epoch, true)
	h.LinkUp(epoch, entryA)
	h.LinkUp(epoch, entryB)
	h.Actions()
	return h
}

// newStart returns a Start for a new task of home, with a birth of now and a
// deadline one second later.
func (h *harness) newStart(home identity.Incarnation) *wire.Start {
	n := len(h.starts) + 1
	ref := wire.Ref{Member: "ayni", Key: newTicket(home, h.now, n), Task: n}
	s := &wire.Start{Ref: ref, Of: 1, Home: home, LeftMs: 1000}
	h.starts = append(h.starts, s)
	return s
}

// startNew passes the Start of a new task to the ledger; waitMs is its WaitMs.
func (h *harness) startNew(home identity.Incarnation, waitMs int64) *wire.Start {
	s := h.newStart(home)
	s.WaitMs = waitMs
	h.Start(h.now, home, s)
	return s
}

func (h *harness) resend(s *wire.Start) { h.Start(h.now, s.Home, s) }

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.Tick(h.now)
}

func (h *harness) finish(s *wire.Start, body string) {
	h.FinishTask(h.now, wire.Result{Ref: s.Ref, Status: 200, Body: []byte(body)})
}

// assertActions compares the actions since the last call, formatted by formatAction,
// with want. Load reports are left out.
func (h *harness) assertActions(want ...string) {
	h.t.Helper()
	var got []string
	for _, act := range h.Actions() {
		if text := formatAction(act); text != "" {
			got = append(got, text)
		}
	}
	qt.Assert(h.t, got, qt.DeepEquals, want)
}

func formatAction(act Action) string {
	if act.Run != nil {
		return fmt.Sprintf("run %d", act.Run.Ref.Task)
	}
	to, f := strings.Split(string(act.Send.To), "-")[1], act.Send.Frame
	switch {
	case f.Result != nil:
		return fmt.Sprintf("%s: %d %v, ran %v", to, f.Result.Ref.Task, f.Result.Kind, f.Result.Ran)
	case f.Offer != nil:
		return fmt.Sprintf("%s: offer %d", to, f.Offer.ID)
	case f.FenceReport != nil:
		return fmt.Sprintf("%s: started %d, floor +%d", to, len(f.FenceReport.Started), f.FenceReport.FloorMs-epoch.UnixMilli())
	case f.Collected != nil:
		return fmt.Sprintf("%s: collected %d", to, len(f.Collected.Results))
	}
	return ""
}

// The link to an entry breaks while its task runs. The entry links again and resends
// the Start, because it cannot determine whether the first one arrived. A second
// start would duplicate the work; without an answer the caller would keep waiting.
func TestResentStartRunsOnce(t *testing.T) {
	h := newHarness(t, Options{})
	s := h.startNew(entryA, 0)
	h.LinkDown(h.now, entryA)
	h.LinkUp(h.now, entryA)
	h.resend(s)
	h.assertActions("run 1")
	h.finish(s, "booked")
	h.resend(s)
	h.assertActions("a: 1 none, ran yes", "a: 1 none, ran yes")
}

// All slots are in use, so a Start is refused and its entry sends the task to
// another guard. A duplicate of the Start, delayed on a failing link, arrives once a
// slot is free. If it ran, the task would run on both workers.
func TestRefusalIsFinal(t *testing.T) {
	h := newHarness(t, Options{Slots: 1})
	first, second := h.startNew(entryA, 0), h.startNew(entryA, 0)
	h.assertActions("run 1", "a: 2 busy, ran no")
	h.finish(first, "")
	h.resend(second)
	h.assertActions("a: 1 none, ran yes", "a: 2 busy, ran no")
}

// A caller cancels while the Start is still in transit on an older, slower link. The
// guard answers that the task did not run, so the Start that arrives afterwards must
// be refused.
func TestCancelBeforeStart(t *testing.T) {
	h := newHarness(t, Options{})
	s := h.newStart(entryA)
	h.Cancel(h.now, entryA, &wire.Cancel{Ref: s.Ref})
	h.resend(s)
	h.assertActions("a: 1 cancelled, ran no", "a: 1 cancelled, ran no")
}

// A cancel arrives when the task is already running. Reporting it as not run would
// let the caller submit it again, so it finishes and is reported as run.
func TestCancelOfRunningTaskIsIgnored(t *testing.T) {
	h := newHarness(t, Options{Slots: 1})
	running, waiting := h.startNew(entryA, 0), h.startNew(entryA, 500)
	h.Cancel(h.now, entryA, &wire.Cancel{Ref: running.Ref})
	h.Cancel(h.now, entryA, &wire.Cancel{Ref: waiting.Ref})
	h.finish(running, "booked")
	h.assertActions("run 1", "a: 2 cancelled, ran no", "a: 1 none, ran yes")
}

// The table is full and the record of an old start was evicted. Its Start is resent
// after a long link failure. The guard can neither run it nor claim that it never
// ran, so it answers that the outcome is unknown.
func TestStartBelowFloorReportsRanUnknown(t *testing.T) {
	h := newHarness(t, Options{Remembered: 1})
	first := h.startNew(entryA, 0)
	h.finish(first, "")
	h.advance(time.Millisecond)
	h.finish(h.startNew(entryA, 0), "")
	h.Actions()
	h.resend(first)
	h.assertActions("a: 1 identity_expired, ran unknown")
}

// A caller's clock is an hour ahead. If its births were recorded, they would outlive
// all others and raise the floor above the current time, and every later task on
// this worker would be refused.
func TestFutureBirthIsRefused(t *testing.T) {
	h := newHarness(t, Options{})
	s := h.newStart(entryA)
	s.Ref.Key = newTicket(entryA, h.now.Add(time.Hour), 1)
	h.resend(s)
	h.assertActions("a: 1 identity_expired, ran unknown")
	qt.Assert(t, h.Stats().Remembered, qt.Equals, 0)
}

// Guards against a started task being reported as not run after its paused entry was declared gone.
// The running task must be in the report; a queued one and one sent after the pause must not run.
// A Fence above MaxFences gets no report, since storing it would require dropping this one.
func TestFenceStopsStartsAndReportsThem(t *testing.T) {
	h := newHarness(t, Options{Slots: 1, MaxFences: 1})
	running := h.startNew(entryA, 0)
	h.startNew(entryA, 500)
	h.Fence(h.now, entryB, &wire.Fence{FencedEntry: entryA})
	h.assertActions("run 1", "a: 2 fenced, ran no", "b: started 1, floor +0")
	h.finish(running, "booked")
	h.startNew(entryA, 0)
	h.Collect(entryB, &wire.Collect{Member: "ayni", Key: running.Ref.Key})
	h.Fence(h.now, entryB, &wire.Fence{FencedEntry: "entry-c-1"})
	h.assertActions("a: 1 none, ran yes", "a: 3 fenced, ran no", "b: collected 1")
}

// Guards against duplicate work, or exposing it to another member, by a task from an entry that is not
// its home or for another member's upstream, or by a result sent to another entry than the home.
// An entry must not be able to cancel another entry's queued task either.
func TestTasksOfOtherEntriesAndMembersAreRefused(t *testing.T) {
	h := newHarness(t, Options{Member: "ayni", Slots: 1})
	s := h.startNew(entryA, 0)
	h.Cancel(h.now, entryB, &wire.Cancel{Ref: h.startNew(entryA, 500).Ref})
	qt.Assert(t, h.Stats().Queued, qt.Equals, 1)
	h.finish(s, "secret")
	h.Start(h.now, entryB, s)
	other := h.newStart(entryA)
	other.Ref.Member = "leeuwin"
	h.resend(other)
	h.assertActions("run 1", "run 2", "a: 1 none, ran yes", "b: 1 outcome_unknown, ran yes", "a: 3 forbidden, ran no")
}

// Tasks wait for a slot that never becomes free. Each must be refused when its wait
// or its deadline ends, and at once when the upstream becomes unhealthy; otherwise
// it could not run on another worker in time.
func TestQueuedTaskExpires(t *testing.T) {
	h := newHarness(t, Options{Slots: 1})
	h.startNew(entryA, 0)
	h.startNew(entryA, 50)
	late := h.newStart(entryA)
	late.WaitMs, late.LeftMs = 500, 80
	h.resend(late)
	qt.Assert(t, h.NextTick(), qt.Equals, epoch.Add(50*time.Millisecond))
	h.advance(50 * time.Millisecond)
	h.assertActions("run 1", "a: 2 busy, ran no")
	h.advance(30 * time.Millisecond)
	h.assertActions("a: 3 deadline_expired, ran no")
	h.startNew(entryA, 900)
	h.SetHealthy(h.now, false)
	h.assertActions("a: 4 busy, ran no")
}

// A faulty entry sends large bodies that are queued, and durations that overflow.
// The guard must neither exceed its 32 MB nor falsely refuse a task as expired.
func TestQueueIsBounded(t *testing.T) {
	h := newHarness(t, Options{Slots: 1, MaxQueueBytes: 10})
	for range 3 {
		s := h.newStart(entryA)
		s.Body, s.LeftMs, s.WaitMs, s.Of = make([]byte, 6), math.MaxInt64, math.MaxInt64, math.MaxInt
		h.resend(s)
	}
	h.advance(time.Hour)
	h.assertActions("run 1", "a: 3 busy, ran no")
	qt.Assert(t, h.Stats().Queued, qt.Equals, 1)
}

// One entry has many waiting tasks and another has few. If the first received every
// free slot, the callers of the second would have to wait for all of the first
// entry's tasks.
func TestOffersAreRoundRobin(t *testing.T) {
	h := newHarness(t, Options{Slots: 2})
	running := []*wire.Start{h.startNew(entryA, 0), h.startNew(entryA, 0)}
	h.Reserve(h.now, entryA, &wire.Reserve{Want: 100})
	h.Reserve(h.now, entryB, &wire.Reserve{Want: 2})
	h.Actions()
	h.finish(running[0], "")
	h.finish(running[1], "")
	h.assertActions("a: offer 1", "a: 1 none, ran yes", "b: offer 2", "a: 2 none, ran yes")
}

// Guards against an offered slot being taken by a task that another entry sends meanwhile, and against
// an idle worker: if the entry does not respond, the slot must become free after the offer timeout
// and must not be offered to it again.
func TestOfferExpires(t *testing.T) {
	h := newHarness(t, Options{Slots: 1, OfferTimeout: 20 * time.Millisecond})
	h.Reserve(h.now, entryA, &wire.Reserve{Want: 2})
	h.startNew(entryB, 0)
	s := h.newStart(entryA)
	s.OfferID = 1
	h.resend(s)
	h.assertActions("a: offer 1", "b: 1 busy, ran no", "run 2")
	h.finish(s, "")
	h.assertActions("a: offer 2", "a: 2 none, ran yes")
	h.advance(20 * time.Millisecond)
	h.startNew(entryB, 0)
	h.assertActions("run 3")
}

// An entry withdraws its reservation, loses its link or is declared gone while it
// holds an offer. The slot must be offered to the next entry at once.
func TestWithdrawnOfferFreesSlot(t *testing.T) {
	for _, withdraw := range []func(*harness){
		func(h *harness) { h.Reserve(h.now, entryA, &wire.Reserve{}) },
		func(h *harness) { h.LinkDown(h.now, entryA) },
		func(h *harness) { h.Fence(h.now, "entry-c-1", &wire.Fence{FencedEntry: entryA}) },
	} {
		h := newHarness(t, Options{Slots: 1})
		h.Reserve(h.now, entryA, &wire.Reserve{Want: 3})
		h.Reserve(h.now, entryB, &wire.Reserve{Want: 1})
		withdraw(h)
		h.assertActions("a: offer 1", "b: offer 2")
	}
}

// Results with large bodies are held for entries that lost their link. When the
// limit is exceeded, the oldest are dropped. A resent Start is then answered with
// answer_gone, never with a claim that the task did not run.
func TestHeldResultsAreBounded(t *testing.T) {
	h := newHarness(t, Options{HeldBytes: 2 * (resultOverheadBytes + 100)})
	for range 3 {
		h.finish(h.startNew(entryA, 0), strings.Repeat("x", 100))
	}
	h.Actions()
	h.resend(h.starts[0])
	h.resend(h.starts[2])
	h.assertActions("a: 1 answer_gone, ran yes", "a: 3 none, ran yes")

	h = newHarness(t, Options{Remembered: 2})
	h.finish(h.startNew(entryA, 0), "")
	h.starts[0].Ref.Key = newTicket(entryA, h.now.Add(MaxClockSkew), 0)
	h.resend(h.starts[0])
	h.finish(h.starts[0], "outlives the others")
	for range 500 {
		h.advance(time.Millisecond)
		h.finish(h.startNew(entryA, 0), "")
	}
	qt.Assert(t, len(h.recordTable.held) < 100, qt.IsTrue)
}

// A guard limits its memory by the number of records, so the size of one record must
// be known. If a new field enlarged it unnoticed, the guard would exceed its 32 MB.
func TestRecordSizeIsBounded(t *testing.T) {
	const n = 20_000
	h := newHarness(t, Options{Remembered: n, HeldBytes: resultOverheadBytes})
	before := heapBytes()
	for range n {
		h.finish(h.startNew(entryA, 0), "")
		h.Actions()
		h.starts = h.starts[:0]
		h.now = h.now.Add(time.Millisecond)
	}
	bytesPerRecord := int(heapBytes()-before) / n
	qt.Assert(t, h.Stats().Remembered, qt.Equals, n)
	t.Logf("%d bytes per record", bytesPerRecord)
	qt.Assert(t, bytesPerRecord <= MaxRecordBytes, qt.IsTrue, qt.Commentf("%d bytes", bytesPerRecord))
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A slot is reserved for an offer to one entry. If load reports showed it as free,
// another entry would send a task there and be refused, and would not try this guard
// again for that task.
func TestOfferedSlotsAreNotReportedFree(t *testing.T) {
	h := newHarness(t, Options{Slots: 2, OfferTimeout: time.Second})
	h.Reserve(h.now, entryA, &wire.Reserve{Want: 1})
	h.Actions()
	qt.Assert(t, h.loadReportFor(entryB).Queued, qt.Equals, 1)
	qt.Assert(t, h.loadReportFor(entryA).Queued, qt.Equals, 0)
}
