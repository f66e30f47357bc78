package roster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

const member = "ayni"

var epoch = time.UnixMilli(1_790_000_000_000)

// plainKey returns a plain identity with the given birth. Different n give different
// keys.
func plainKey(birth time.Time, n uint64) identity.Key {
	k := identity.NewTicket("x", birth)
	for i := range 8 {
		k.UUID[8+i] = byte(n >> (8 * i))
	}
	k.UUID[6], k.UUID[7], k.UUID[8] = 0x70, 0, k.UUID[8]&0x3f|0x80 // version and variant
	text := uuid.UUID(k.UUID).String()
	k, err := identity.Parse(text)
	if err != nil {
		panic(err)
	}
	return k
}

// cluster runs machines against one store value, with the faults that a test sets.
// Actions are executed at once.
type cluster struct {
	c              *qt.C
	now            time.Time
	machines       map[identity.Incarnation]*Machine
	order          []identity.Incarnation
	value          []byte
	revision       int64
	unreachable    map[identity.Incarnation]bool // crashed or cut off from everything
	isStoreDown    bool
	loseSwapAnswer func(by identity.Incarnation) bool // the write takes effect, but its answer is lost
	writes         int
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		c: qt.New(t), now: epoch,
		machines:    make(map[identity.Incarnation]*Machine),
		unreachable: make(map[identity.Incarnation]bool),
	}
}

func addr(inc identity.Incarnation) wire.EntryAddr {
	return wire.EntryAddr{Incarnation: inc, Inner: string(inc) + ":1"}
}

func (cl *cluster) add(inc identity.Incarnation) *Machine {
	m := NewMachine(addr(inc), Options{})
	cl.machines[inc] = m
	cl.order = append(cl.order, inc)
	for _, other := range cl.order {
		if other != inc && !cl.unreachable[other] {
			cl.machines[other].HandleLinkUp(cl.now, inc)
			m.HandleLinkUp(cl.now, other)
		}
	}
	return m
}

// run advances the clock by d in steps of a quarter of DefaultPromiseInterval.
func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); cl.now = cl.now.Add(DefaultPromiseInterval / 4) {
		for _, inc := range cl.order {
			if !cl.unreachable[inc] {
				cl.machines[inc].Tick(cl.now)
				cl.runActions(inc)
			}
		}
	}
}

func (cl *cluster) runActions(from identity.Incarnation) {
	for _, a := range cl.machines[from].Actions() {
		switch {
		case a.Broadcast != nil:
			cl.sendToAll(from, func(m *Machine) { m.Promise(cl.now, from, *a.Broadcast) })
		case a.Announce != nil:
			cl.announce(from, a.Announce)
		case a.Join != nil && !cl.unreachable[a.Join.To]:
			cl.machines[a.Join.To].HandleJoin(cl.now, a.Join.Request)
		case a.Read && !cl.isStoreDown:
			cl.c.Assert(cl.machines[from].HandleStoreValue(cl.now, cl.value, cl.revision), qt.IsNil)
		case a.Swap != nil:
			cl.swap(from, a.Swap)
		}
	}
}

func (cl *cluster) sendToAll(from identity.Incarnation, f func(*Machine)) {
	for _, inc := range cl.order {
		if inc != from && !cl.unreachable[inc] {
			f(cl.machines[inc])
		}
	}
}

func (cl *cluster) announce(from identity.Incarnation, a *Announce) {
	send := func(m *Machine) {
		for _, r := range a.Versions {
			m.HandleRoster(cl.now, r)
		}
	}
	if a.To == "" {
		cl.sendToAll(from, send)
	} else if !cl.unreachable[a.To] {
		send(cl.machines[a.To])
	}
}

func (cl *cluster) swap(from identity.Incarnation, s *Swap) {
	m := cl.machines[from]
	switch {
	case cl.isStoreDown:
		m.HandleSwapResult(cl.now, s.ID, OutcomeUnknown, 0)
	case s.Expect != cl.revision:
		m.HandleSwapResult(cl.now, s.ID, OutcomeConflict, 0)
	default:
		cl.value, cl.revision = s.Value, cl.revision+1
		cl.writes++
		if cl.loseSwapAnswer != nil && cl.loseSwapAnswer(from) {
			m.HandleSwapResult(cl.now, s.ID, OutcomeUnknown, 0)
			return
		}
		m.HandleSwapResult(cl.now, s.ID, OutcomeDone, cl.revision)
	}
}

// countStarters returns how many of n keys with the given birth each entry may start,
// and asserts that no key has two starters.
func (cl *cluster) countStarters(birth time.Time, n uint64) map[identity.Incarnation]int {
	out := make(map[identity.Incarnation]int)
	for i := range n {
		key, starters := plainKey(birth, i), 0
		for _, inc := range cl.order {
			if cl.machines[inc].View().MayStart(member, key) == nil {
				out[inc]++
				starters++
			}
		}
		cl.c.Assert(starters <= 1, qt.IsTrue, qt.Commentf("key %d has %d starters", i, starters))
	}
	return out
}

func total(m map[identity.Incarnation]int) (n int) {
	for _, k := range m {
		n += k
	}
	return n
}

func newThreeEntryCluster(t *testing.T) *cluster {
	cl := newCluster(t)
	for i := range 3 {
		cl.add(identity.Incarnation(fmt.Sprintf("entry-%d", i)))
		cl.run(DefaultPromiseInterval)
	}
	cl.run(DefaultJoinLead + 10*time.Second)
	return cl
}

// Three members share all plain identities. Each key must have exactly one starter,
// and the shares must be about equal.
func TestEveryKeyHasOneStarter(t *testing.T) {
	cl := newThreeEntryCluster(t)
	got := cl.countStarters(cl.now, 3000)
	cl.c.Assert(total(got), qt.Equals, 3000)
	for inc, n := range got {
		cl.c.Check(n > 850 && n < 1150, qt.IsTrue, qt.Commentf("%s owns %d", inc, n))
	}
}

// MayStart and Owner run for every request, so they must not allocate memory.
func TestMayStartAllocatesNothing(t *testing.T) {
	cl := newThreeEntryCluster(t)
	v, key := cl.machines["entry-0"].View(), plainKey(cl.now, 0)
	for i := uint64(1); v.MayStart(member, key) != nil; i++ {
		key = plainKey(cl.now, i)
	}
	n := testing.AllocsPerRun(100, func() {
		v.Owner(member, key)
		_ = v.MayStart(member, key)
	})
	cl.c.Assert(n, qt.Equals, 0.0)
}

// After a member crashes, its promises stop, so once the horizon is used up no plain
// identity may start until a roster without that member begins. Callers see refusals
// with a Retry-After for a few seconds, and then normal service.
func TestCrashedMemberIsRemovedFromRoster(t *testing.T) {
	cl := newThreeEntryCluster(t)
	cl.unreachable["entry-1"] = true
	cl.run(DefaultPromiseLead + time.Second)
	cl.c.Assert(total(cl.countStarters(cl.now, 300)), qt.Equals, 0)
	cl.machines["entry-0"].ReportGone(cl.now, "entry-1")
	cl.machines["entry-2"].ReportGone(cl.now, "entry-1")
	cl.run(2 * time.Second)
	// Births before the new roster that the crashed entry owns stay refused.
	beforeNewRoster := cl.countStarters(cl.now, 300)
	cl.c.Assert(total(beforeNewRoster) > 150 && total(beforeNewRoster) < 300, qt.IsTrue)
	cl.run(DefaultPromiseLead)
	got := cl.countStarters(cl.now, 300)
	cl.c.Assert(total(got), qt.Equals, 300)
	cl.c.Assert(got["entry-1"], qt.Equals, 0)
	cl.c.Assert(cl.machines["entry-0"].IsDeclaredGone("entry-1"), qt.IsTrue)
}

// While the store is down and all entries run, requests must be served up to the
// ceiling: no step of a request needs the store.
func TestStoreOutageIsToleratedUpToCeiling(t *testing.T) {
	cl := newThreeEntryCluster(t)
	cl.isStoreDown = true
	cl.run(DefaultCeilingLead - DefaultCeilingRenewAge - time.Minute)
	cl.c.Assert(total(cl.countStarters(cl.now, 300)), qt.Equals, 300)
	cl.run(2*DefaultCeilingRenewAge + time.Minute)
	cl.c.Assert(total(cl.countStarters(cl.now, 300)), qt.Equals, 0)
	cl.isStoreDown = false
	cl.run(10 * time.Second)
	cl.c.Assert(total(cl.countStarters(cl.now, 300)), qt.Equals, 300)
}

// An append takes effect but its answer is lost, and reads of the store fail for a
// while. Until the appender has read the store it cannot tell which roster is in
// force, so it must promise nothing beyond the beginning of the new one.
func TestLostAnswerToAppendCapsPromises(t *testing.T) {
	cl := newThreeEntryCluster(t)
	cl.loseSwapAnswer = func(identity.Incarnation) bool { cl.isStoreDown = true; return true }
	cl.add("entry-3")
	cl.run(2 * time.Second)
	cl.c.Assert(cl.isStoreDown, qt.IsTrue)
	h, err := DecodeHistory(cl.value)
	cl.c.Assert(err, qt.IsNil)
	from := h.Versions[len(h.Versions)-1].FromMs
	cl.run(DefaultJoinLead + DefaultPromiseLead)
	for _, inc := range cl.order[:3] {
		cl.c.Assert(cl.machines[inc].View().HorizonMs() <= from, qt.IsTrue)
	}
	cl.isStoreDown, cl.loseSwapAnswer = false, nil
	cl.run(5 * time.Second)
	cl.c.Assert(total(cl.countStarters(cl.now, 300)), qt.Equals, 300)
	cl.c.Assert(cl.countStarters(cl.now, 300)["entry-3"] > 0, qt.IsTrue)
}

// Guards against taking a read of the old value as proof that an unanswered append failed. Its queued
// request takes effect later, and the appender would have promised beyond the beginning of a
// roster that gives its births to another entry.
func TestStaleReadDoesNotSettleAppend(t *testing.T) {
	c := qt.New(t)
	m := NewMachine(addr("a"), Options{})
	old, err := History{Versions: []Version{{
		Version: 1, FromMs: epoch.UnixMilli(), Members: []wire.EntryAddr{addr("a"), addr("b")},
		CeilingMs: epoch.Add(time.Hour).UnixMilli(),
	}}}.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(m.HandleStoreValue(epoch, old, 7), qt.IsNil)
	m.ReportGone(epoch, "b")
	promiseLimitMs := m.pending.promiseLimitMs
	m.HandleSwapResult(epoch.Add(time.Second), m.pending.swap.ID, OutcomeUnknown, 0)
	c.Assert(m.HandleStoreValue(epoch.Add(2*time.Second), old, 7), qt.IsNil)
	m.Tick(epoch.Add(time.Minute))
	c.Assert(m.ownPromiseMs <= promiseLimitMs, qt.IsTrue)
}

// All entries of a region are lost at once and replaced. The old ones may only be cut
// off from the store, so the new roster must begin at the ceiling. Until then plain
// identities are refused with a truthful reason, and tickets are served at once.
func TestReplacementFleetStartsAtCeiling(t *testing.T) {
	cl := newThreeEntryCluster(t)
	old := cl.machines["entry-0"].View()
	ceiling, _ := old.Last()
	for _, inc := range cl.order {
		cl.unreachable[inc] = true
	}
	e := cl.add("entry-9")
	for _, inc := range cl.order[:3] {
		e.ReportGone(cl.now, inc)
	}
	cl.run(DefaultTakeoverDelay + 2*time.Second)
	last, _ := e.View().Last()
	cl.c.Assert(last.Members, qt.DeepEquals, []wire.EntryAddr{addr("entry-9")})
	cl.c.Assert(last.FromMs, qt.Equals, ceiling.CeilingMs)
	key := plainKey(cl.now, 1)
	cl.c.Assert(e.View().MayStart(member, key).Kind, qt.Equals, errkind.HomeUnreachable)
	cl.c.Assert(e.View().MayStart(member, identity.NewTicket("entry-9", cl.now)) == nil, qt.IsTrue)
}

// After a planned stop of all entries, the next fleet must serve plain identities
// within seconds and not wait for the ceiling, since the last entry to leave closes
// the roster.
func TestPlannedStopOfAllEntriesUnblocksNextFleet(t *testing.T) {
	cl := newThreeEntryCluster(t)
	for _, inc := range cl.order {
		cl.machines[inc].Leave(cl.now)
	}
	cl.run(DefaultPromiseLead + 5*time.Second)
	for _, inc := range cl.order {
		cl.c.Assert(cl.machines[inc].HasLeft(cl.now), qt.IsTrue, qt.Commentf("%s", inc))
		cl.unreachable[inc] = true
	}
	cl.add("entry-9")
	cl.run(3 * time.Second)
	cl.c.Assert(cl.countStarters(cl.now, 100)["entry-9"], qt.Equals, 100)
}

// One entry stops as planned while the store is down. It cannot be removed from the
// roster, but its resignation must let the others continue to promise. This must hold
// for each entry, including the first in order.
func TestPlannedStopDuringStoreOutage(t *testing.T) {
	for _, leaver := range []identity.Incarnation{"entry-0", "entry-1", "entry-2"} {
		cl := newThreeEntryCluster(t)
		cl.isStoreDown = true
		cl.machines[leaver].Leave(cl.now)
		cl.run(3 * time.Second)
		cl.unreachable[leaver] = true
		cl.run(time.Minute)
		got := cl.countStarters(cl.now, 300)
		delete(got, leaver)
		cl.c.Check(total(got) > 150, qt.IsTrue, qt.Commentf("%s", leaver))
	}
}

// All entries stop at about the same time, and each learns late that the others are
// leaving. At least one must not resign, or none could write the closing roster.
func TestNotAllEntriesResign(t *testing.T) {
	for mask := range 8 {
		cl := newThreeEntryCluster(t)
		cl.isStoreDown = true
		for round := range 2 {
			for i, inc := range cl.order {
				if mask>>i&1 == round {
					cl.machines[inc].Leave(cl.now)
				}
			}
			cl.run(time.Second)
		}
		cl.run(5 * time.Second)
		resignations := 0
		for _, inc := range cl.order {
			if cl.machines[inc].ownPromiseMs == resignedPromiseMs {
				resignations++
			}
		}
		cl.c.Check(resignations < len(cl.order), qt.IsTrue, qt.Commentf("mask %03b", mask))
	}
}

// An entry pauses for longer than its lease while the others declare it gone. Its
// outdated state must not let it start births that came after the pause.
func TestPausedEntryIsFencedOnResume(t *testing.T) {
	cl := newThreeEntryCluster(t)
	cl.unreachable["entry-1"] = true
	cl.run(3 * time.Second)
	cl.machines["entry-0"].ReportGone(cl.now, "entry-1")
	cl.machines["entry-2"].ReportGone(cl.now, "entry-1")
	cl.run(10 * time.Second)
	cl.countStarters(cl.now, 1000) // no key may have two starters while the paused entry is still uninformed
	cl.unreachable["entry-1"] = false
	cl.run(2 * time.Second)
	cl.c.Assert(cl.machines["entry-1"].View().Fenced(), qt.IsTrue)
	cl.countStarters(cl.now, 1000)
}

// A damaged store value must be rejected.
func TestDecodeHistoryRejectsDamagedValues(t *testing.T) {
	for _, s := range []string{
		``, `{}`, `{"versions":[{"version":1},{"version":3}]}`,
		`{"versions":[{"version":1,"from_ms":5},{"version":2,"from_ms":4}]}`,
	} {
		_, err := DecodeHistory([]byte(s))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", s))
	}
}

// An operator's mistake may leave any value under the store's key. It must neither
// crash the process nor be applied in part.
func FuzzDecodeHistory(f *testing.F) {
	f.Add([]byte(`{"versions":[{"version":1,"from_ms":5,"members":[{"incarnation":"a"}],"ceiling_ms":9}]}`))
	f.Add([]byte(`{"versions":[{"version":9223372036854775807},{"version":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		m := NewMachine(addr("a"), Options{})
		if m.HandleStoreValue(epoch, value, 1) != nil {
			qt.Assert(t, m.View().Versions(), qt.HasLen, 0)
			return
		}
		_ = m.View().MayStart(member, plainKey(epoch, 1))
		_, err := History{Versions: m.View().Versions()}.Encode()
		qt.Assert(t, err, qt.IsNil)
	})
}
