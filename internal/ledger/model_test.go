package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

var (
	epoch = time.UnixMilli(1_790_000_000_000)
	homes = []identity.Incarnation{entryA, entryB}
)

// newTicket returns a ticket with the given birth; n makes tickets with equal births
// distinct.
func newTicket(home identity.Incarnation, born time.Time, n int) string {
	ms := born.UnixMilli()
	return fmt.Sprintf("%s.%08x-%04x-7000-8000-%012x", home, ms>>16, ms&0xffff, n)
}

// model drives a ledger with random operations and records what is observable from
// outside: which tasks reached the upstream, and what the ledger claimed about them.
type model struct {
	ledger        *Ledger
	now           time.Time
	refs          []wire.Ref
	home          map[wire.Ref]identity.Incarnation
	runs          map[wire.Ref]int
	notReached    map[wire.Ref]bool // its only run provably did not reach the upstream
	claimedNotRun map[wire.Ref]bool // a result with RanNo was sent
	running       []wire.Ref
	fenced        map[identity.Incarnation]bool
	lastOfferID   uint64
	lastLoadSeq   uint64
	violation     error // the first violated invariant
}

func newModel() *model {
	ledger := New(epoch, Options{Slots: 2, MaxQueued: 3, Remembered: 20, Retention: 3 * time.Second, HeldBytes: 2000})
	m := &model{
		ledger: ledger, now: epoch, home: make(map[wire.Ref]identity.Incarnation), runs: make(map[wire.Ref]int),
		notReached: make(map[wire.Ref]bool), claimedNotRun: make(map[wire.Ref]bool), fenced: make(map[identity.Incarnation]bool),
	}
	for _, h := range homes {
		ledger.LinkUp(m.now, h)
	}
	ledger.SetHealthy(m.now, true)
	return m
}

// step executes one operation chosen by op and arg, and checks all invariants.
func (m *model) step(op, arg byte) {
	home := homes[int(arg)%len(homes)]
	switch op % 16 {
	case 0, 1, 2:
		m.start(m.newTask(home), arg)
	case 3, 4, 5:
		m.start(m.recentTask(arg), arg)
	case 6:
		ref := m.recentTask(arg)
		m.ledger.Cancel(m.now, m.home[ref], &wire.Cancel{Ref: ref})
	case 7, 8, 9:
		m.finish(arg)
	case 10:
		m.now = m.now.Add(time.Duration(arg) * time.Millisecond)
	case 11:
		m.ledger.Tick(m.now)
	case 12:
		m.ledger.Reserve(m.now, home, &wire.Reserve{Want: int(arg % 4)})
	case 13:
		m.ledger.LinkDown(m.now, home)
		m.ledger.LinkUp(m.now, home)
	case 14:
		m.ledger.SetHealthy(m.now, arg%4 != 0)
	case 15:
		m.rareStep(home, arg)
	}
	m.checkActions()
}

func (m *model) rareStep(home identity.Incarnation, arg byte) {
	switch {
	case arg == 7:
		m.ledger.Drain(m.now, "model")
	case arg%64 == 8:
		m.fenced[home] = true
		m.ledger.Fence(m.now, homes[1], &wire.Fence{FencedEntry: home})
	default:
		ref := m.recentTask(arg)
		m.ledger.Collect(home, &wire.Collect{Member: ref.Member, Key: ref.Key})
	}
}

func (m *model) newTask(home identity.Incarnation) wire.Ref {
	ref := wire.Ref{Member: "ayni", Key: newTicket(home, m.now, len(m.refs))}
	m.refs = append(m.refs, ref)
	m.home[ref] = home
	return ref
}

// recentTask selects one of the most recent tasks. The window is larger than the
// table, so that some of them are already evicted.
func (m *model) recentTask(arg byte) wire.Ref {
	const window = 64
	if len(m.refs) == 0 {
		return m.newTask(homes[0])
	}
	return m.refs[len(m.refs)-1-int(arg)%min(window, len(m.refs))]
}

func (m *model) start(ref wire.Ref, arg byte) {
	s := &wire.Start{Ref: ref, Of: 1, Home: m.home[ref], LeftMs: int64(arg) * 4, Body: []byte{arg}}
	if arg%3 == 0 {
		s.WaitMs = 200
	}
	if arg%2 == 0 {
		s.OfferID = m.lastOfferID
	}
	m.ledger.Start(m.now, s.Home, s)
}

func (m *model) finish(arg byte) {
	if len(m.running) == 0 {
		return
	}
	i := int(arg) % len(m.running)
	ref := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	res := wire.Result{Ref: ref, Status: 200, Body: make([]byte, arg)}
	switch arg % 5 {
	case 0:
		res = wire.Result{Ref: ref, Kind: errkind.UpstreamFailed, Ran: errkind.RanNo}
		m.notReached[ref] = true
	case 1:
		res = wire.Result{Ref: ref, Kind: errkind.TimedOut}
	}
	m.ledger.FinishTask(m.now, res)
}

// checkActions checks the ledger's actions against the earlier observations.
func (m *model) checkActions() {
	for _, a := range m.ledger.Actions() {
		switch {
		case a.Run != nil:
			m.checkRun(a.Run)
		case a.Send.Frame.Result != nil:
			m.checkResult(a.Send.Frame.Result)
		case a.Send.Frame.Offer != nil:
			m.lastOfferID = a.Send.Frame.Offer.ID
		case a.Send.Frame.FenceReport != nil:
			m.checkFenceReport(a.Send.Frame.FenceReport)
		case a.Send.Frame.Load != nil:
			m.checkLoad(a.Send.Frame.Load)
		}
	}
	if s := m.ledger.Stats(); s.Running != len(m.running) || s.Running+s.Offered > 2 || s.HeldBytes > 2000 || s.Remembered > 20+3+2 {
		m.recordViolation("counts exceed their limits: %+v", s)
	}
}

func (m *model) recordViolation(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

func (m *model) checkRun(r *Run) {
	m.runs[r.Ref]++
	m.running = append(m.running, r.Ref)
	switch {
	case m.runs[r.Ref] > 1:
		m.recordViolation("%v was started twice", r.Ref)
	case m.claimedNotRun[r.Ref]:
		m.recordViolation("%v was started after a final refusal", r.Ref)
	case m.fenced[m.home[r.Ref]]:
		m.recordViolation("%v was started for a fenced entry", r.Ref)
	case !r.Deadline.After(m.now):
		m.recordViolation("%v was started after its deadline", r.Ref)
	}
}

func (m *model) checkResult(r *wire.Result) {
	m.checkLoad(&r.Load)
	if r.Ran != errkind.RanNo {
		return
	}
	m.claimedNotRun[r.Ref] = true
	if m.runs[r.Ref] > 0 && !m.notReached[r.Ref] {
		m.recordViolation("%v was reported as not run, but it ran", r.Ref)
	}
}

func (m *model) checkFenceReport(r *wire.FenceReport) {
	isReported := make(map[wire.Ref]bool)
	for _, s := range r.Started {
		isReported[s.Ref] = true
	}
	for ref := range m.runs {
		key, _ := identity.Parse(ref.Key)
		if m.home[ref] == r.FencedEntry && !m.notReached[ref] && key.BirthMs >= r.FloorMs && !isReported[ref] {
			m.recordViolation("%v ran, but the fence report omits it", ref)
		}
	}
}

func (m *model) checkLoad(l *wire.Load) {
	if l.Seq <= m.lastLoadSeq {
		m.recordViolation("load report %d was sent after %d", l.Seq, m.lastLoadSeq)
	}
	m.lastLoadSeq = l.Seq
}

// finishAll completes all running tasks, lets every wait expire, and checks that
// each task that is sent again is either answered or run.
func (m *model) finishAll() {
	for len(m.running) > 0 {
		m.finish(2)
		m.checkActions()
	}
	m.now = m.now.Add(time.Minute)
	m.ledger.Tick(m.now)
	m.checkActions()
	if s := m.ledger.Stats(); s.Running+s.Queued > 0 {
		m.recordViolation("tasks still running or queued: %+v", s)
	}
	for i := range min(16, len(m.refs)) {
		m.start(m.recentTask(byte(i)), 255)
		if len(m.ledger.actions) == 0 && len(m.ledger.queue) == 0 {
			m.recordViolation("%v was not answered", m.recentTask(byte(i)))
		}
		m.checkActions()
	}
}

// dropRecord deletes one record in the wanted state without raising the floor. This
// is the fault that the floor prevents.
func (m *model) dropRecord(wanted state) {
	for ref, r := range m.ledger.recordTable.records {
		if r.state == wanted {
			delete(m.ledger.recordTable.records, ref)
			return
		}
	}
}

const (
	modelSeeds = 300
	modelSteps = 400
)

// runModel runs one model from a seed. injectFault, if not nil, is called every
// tenth step.
func runModel(seed uint64, injectFault func(*model)) *model {
	rnd := rand.New(rand.NewPCG(seed, 0))
	m := newModel()
	for i := range modelSteps {
		m.step(byte(rnd.Uint32()), byte(rnd.Uint32()))
		if injectFault != nil && i%10 == 0 {
			injectFault(m)
		}
	}
	m.finishAll()
	return m
}

// Guards against work done twice because a task is started twice or a started task is reported as
// not run. In random order, links break and reconnect, entries resend Starts, cancel, fence each
// other and collect, the upstream fails, and records are evicted.
func TestModelInvariants(t *testing.T) {
	runs, refusals, runsWithFloor := 0, 0, 0
	for seed := range uint64(modelSeeds) {
		m := runModel(seed, nil)
		qt.Assert(t, m.violation, qt.IsNil, qt.Commentf("seed %d", seed))
		runs += len(m.runs)
		refusals += len(m.claimedNotRun)
		if m.ledger.Stats().FloorMs > 0 {
			runsWithFloor++
		}
	}
	t.Logf("%d starts, %d refusals as not run, %d runs that evicted records", runs, refusals, runsWithFloor)
	qt.Assert(t, min(runs, refusals) > 10*modelSeeds && runsWithFloor > modelSeeds/2, qt.IsTrue)
}

// A ledger that loses a start, a refusal or its floor starts a task again when its
// Start is resent; one that loses a fence starts tasks for a fenced entry. The model
// must detect each of these faults; otherwise its successful runs prove nothing.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*model){
		"a start is dropped":   func(m *model) { m.dropRecord(done) },
		"a refusal is dropped": func(m *model) { m.dropRecord(refused) },
		"the floor is reset":   func(m *model) { m.ledger.recordTable.floorMs = 0 },
		"a fence is dropped":   func(m *model) { clear(m.ledger.fenced) },
	} {
		detected, first := 0, error(nil)
		for seed := range uint64(modelSeeds) {
			if err := runModel(seed, injectFault).violation; err != nil {
				first = err
				detected++
			}
		}
		t.Logf("%s: detected in %d of %d runs, for example: %v", name, detected, modelSeeds, first)
		qt.Check(t, detected > modelSeeds/10, qt.IsTrue, qt.Commentf(name))
	}
}

// The fuzzer searches for an order of events that violates an invariant of the
// ledger, beyond the orders that the seeds above reach.
func FuzzModel(f *testing.F) {
	f.Add([]byte{0, 3, 3, 0, 7, 2, 3, 0, 15, 8, 0, 0, 15, 7})
	f.Add([]byte{12, 2, 0, 2, 3, 0, 10, 255, 11, 0, 3, 0})
	f.Fuzz(func(t *testing.T, ops []byte) {
		m := newModel()
		for i := 0; i+1 < len(ops); i += 2 {
			m.step(ops[i], ops[i+1])
		}
		m.finishAll()
		if m.violation != nil {
			t.Fatal(m.violation)
		}
	})
}

// A malicious or faulty entry sends any message that can be decoded. A panic would
// crash the guard with all its running tasks, and a wrong count would let it run
// more tasks than the upstream has slots.
func FuzzFrames(f *testing.F) {
	ref := wire.Ref{Member: "ayni", Key: newTicket(entryA, epoch, 1)}
	for _, fr := range []wire.Frame{
		{Start: &wire.Start{Ref: ref, Home: entryA, LeftMs: 1000, WaitMs: 10, OfferID: 1}, Reserve: &wire.Reserve{Want: -1}},
		{Cancel: &wire.Cancel{Ref: ref}, Fence: &wire.Fence{FencedEntry: entryB}, Collect: &wire.Collect{Member: "ayni", Key: ref.Key}},
	} {
		bytes, _ := wire.Encode(&fr)
		f.Add(bytes)
	}
	f.Fuzz(func(t *testing.T, bytes []byte) {
		fr, err := wire.Decode(bytes)
		if err != nil {
			return
		}
		m := newModel()
		for range 3 { // later rounds send duplicates to the resulting state
			if fr.Start != nil {
				m.ledger.Start(m.now, entryA, fr.Start)
			}
			if fr.Reserve != nil {
				m.ledger.Reserve(m.now, entryA, fr.Reserve)
			}
			if fr.Cancel != nil {
				m.ledger.Cancel(m.now, entryA, fr.Cancel)
			}
			if fr.Fence != nil {
				m.ledger.Fence(m.now, entryB, fr.Fence)
			}
			if fr.Collect != nil {
				m.ledger.Collect(entryA, fr.Collect)
			}
			m.checkActions()
		}
		if m.violation != nil {
			t.Fatal(m.violation)
		}
	})
}
