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
	homes = []identity.Incarnation{a, b}
)

// ticket makes a ticket with a given birth; n tells equal births apart.
func ticket(home identity.Incarnation, born time.Time, n int) string {
	ms := born.UnixMilli()
	return fmt.Sprintf("%s.%08x-%04x-7000-8000-%012x", home, ms>>16, ms&0xffff, n)
}

// model drives a ledger at random and keeps what an outside observer knows of
// it: which tasks reached the upstream, and what was claimed of them.
type model struct {
	l       *Ledger
	now     time.Time
	jobs    []wire.Ref
	home    map[wire.Ref]identity.Incarnation
	runs    map[wire.Ref]int
	undone  map[wire.Ref]bool // its one run provably never reached the upstream
	claimed map[wire.Ref]bool // a RanNo was sent
	running []wire.Ref
	fenced  map[identity.Incarnation]bool
	offerID uint64
	loadSeq uint64
	wrong   error // the first broken promise
}

func newModel() *model {
	l := New(epoch, Options{Slots: 2, MaxQueued: 3, Remembered: 20, Retention: 3 * time.Second, HeldBytes: 2000})
	m := &model{
		l: l, now: epoch, home: make(map[wire.Ref]identity.Incarnation), runs: make(map[wire.Ref]int),
		undone: make(map[wire.Ref]bool), claimed: make(map[wire.Ref]bool), fenced: make(map[identity.Incarnation]bool),
	}
	for _, h := range homes {
		l.LinkUp(m.now, h)
	}
	l.Health(m.now, true)
	return m
}

// step does one operation that op and arg choose, and checks all promises.
func (m *model) step(op, arg byte) {
	home := homes[int(arg)%len(homes)]
	switch op % 16 {
	case 0, 1, 2:
		m.start(m.fresh(home), arg)
	case 3, 4, 5:
		m.start(m.known(arg), arg)
	case 6:
		ref := m.known(arg)
		m.l.Cancel(m.now, m.home[ref], &wire.Cancel{Ref: ref})
	case 7, 8, 9:
		m.finish(arg)
	case 10:
		m.now = m.now.Add(time.Duration(arg) * time.Millisecond)
	case 11:
		m.l.Tick(m.now)
	case 12:
		m.l.Reserve(m.now, home, &wire.Reserve{Want: int(arg % 4)})
	case 13:
		m.l.LinkDown(m.now, home)
		m.l.LinkUp(m.now, home)
	case 14:
		m.l.Health(m.now, arg%4 != 0)
	case 15:
		m.rare(home, arg)
	}
	m.observe()
}

func (m *model) rare(home identity.Incarnation, arg byte) {
	switch {
	case arg == 7:
		m.l.Drain(m.now, "model")
	case arg%64 == 8:
		m.fenced[home] = true
		m.l.Fence(m.now, homes[1], &wire.Fence{Gone: home})
	default:
		ref := m.known(arg)
		m.l.Collect(home, &wire.Collect{Member: ref.Member, Key: ref.Key})
	}
}

func (m *model) fresh(home identity.Incarnation) wire.Ref {
	ref := wire.Ref{Member: "ayni", Key: ticket(home, m.now, len(m.jobs))}
	m.jobs = append(m.jobs, ref)
	m.home[ref] = home
	return ref
}

// known picks one of the last jobs, so that some are already forgotten.
func (m *model) known(arg byte) wire.Ref {
	const window = 64
	if len(m.jobs) == 0 {
		return m.fresh(homes[0])
	}
	return m.jobs[len(m.jobs)-1-int(arg)%min(window, len(m.jobs))]
}

func (m *model) start(ref wire.Ref, arg byte) {
	s := &wire.Start{Ref: ref, Of: 1, Home: m.home[ref], LeftMs: int64(arg) * 4, Body: []byte{arg}}
	if arg%3 == 0 {
		s.WaitMs = 200
	}
	if arg%2 == 0 {
		s.Offered = m.offerID
	}
	m.l.Start(m.now, s.Home, s)
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
		m.undone[ref] = true
	case 1:
		res = wire.Result{Ref: ref, Kind: errkind.TimedOut}
	}
	m.l.Finished(m.now, res)
}

// observe checks the ledger's actions against what was seen before.
func (m *model) observe() {
	for _, a := range m.l.Actions() {
		switch {
		case a.Run != nil:
			m.ran(a.Run)
		case a.Send.Frame.Result != nil:
			m.answered(a.Send.Frame.Result)
		case a.Send.Frame.Offer != nil:
			m.offerID = a.Send.Frame.Offer.ID
		case a.Send.Frame.FenceReport != nil:
			m.reported(a.Send.Frame.FenceReport)
		case a.Send.Frame.Load != nil:
			m.loaded(a.Send.Frame.Load)
		}
	}
	if s := m.l.Stats(); s.Running != len(m.running) || s.Running+s.Offered > 2 || s.HeldBytes > 2000 || s.Remembered > 20+3+2 {
		m.fail("counts out of bounds: %+v", s)
	}
}

func (m *model) fail(format string, args ...any) {
	if m.wrong == nil {
		m.wrong = fmt.Errorf(format, args...)
	}
}

func (m *model) ran(r *Run) {
	m.runs[r.Ref]++
	m.running = append(m.running, r.Ref)
	switch {
	case m.runs[r.Ref] > 1:
		m.fail("%v was started twice", r.Ref)
	case m.claimed[r.Ref]:
		m.fail("%v was started after a refusal said that it never would", r.Ref)
	case m.fenced[m.home[r.Ref]]:
		m.fail("%v was started for a fenced entry", r.Ref)
	case !r.Deadline.After(m.now):
		m.fail("%v was started after its deadline", r.Ref)
	}
}

func (m *model) answered(r *wire.Result) {
	m.loaded(&r.Load)
	if r.Ran != errkind.RanNo {
		return
	}
	m.claimed[r.Ref] = true
	if m.runs[r.Ref] > 0 && !m.undone[r.Ref] {
		m.fail("%v was called not run, and it ran", r.Ref)
	}
}

func (m *model) reported(r *wire.FenceReport) {
	in := make(map[wire.Ref]bool)
	for _, s := range r.Started {
		in[s.Ref] = true
	}
	for ref := range m.runs {
		key, _ := identity.Parse(ref.Key)
		if m.home[ref] == r.Gone && !m.undone[ref] && key.BirthMs >= r.FloorMs && !in[ref] {
			m.fail("%v ran, and the fence report leaves it out", ref)
		}
	}
}

func (m *model) loaded(l *wire.Load) {
	if l.Seq <= m.loadSeq {
		m.fail("load report %d came after %d", l.Seq, m.loadSeq)
	}
	m.loadSeq = l.Seq
}

// settle lets everything finish and every wait run out, and checks that each
// task that comes again is then answered or run.
func (m *model) settle() {
	for len(m.running) > 0 {
		m.finish(2)
		m.observe()
	}
	m.now = m.now.Add(time.Minute)
	m.l.Tick(m.now)
	m.observe()
	if s := m.l.Stats(); s.Running+s.Queued > 0 {
		m.fail("left over: %+v", s)
	}
	for i := range min(16, len(m.jobs)) {
		m.start(m.known(byte(i)), 255)
		if len(m.l.actions) == 0 && len(m.l.queue) == 0 {
			m.fail("%v got no answer", m.known(byte(i)))
		}
		m.observe()
	}
}

// forget drops one record in the given state and leaves the floor as it is,
// which is the error that the floor exists to prevent.
func (m *model) forget(in state) {
	for ref, r := range m.l.memory.records {
		if r.state == in {
			delete(m.l.memory.records, ref)
			return
		}
	}
}

const (
	modelRuns  = 300
	modelSteps = 400
)

// runModel drives one model from a seed; sabotage, if any, strikes every tenth
// step.
func runModel(seed uint64, sabotage func(*model)) *model {
	rnd := rand.New(rand.NewPCG(seed, 0))
	m := newModel()
	for i := range modelSteps {
		m.step(byte(rnd.Uint32()), byte(rnd.Uint32()))
		if sabotage != nil && i%10 == 0 {
			sabotage(m)
		}
	}
	m.settle()
	return m
}

// Links break and come back, entries send the same Start again, cancel, fence
// one another and collect, the upstream fails, and memory overflows, in any
// order. If one order started a task twice or called a started task "not run",
// two escorts would be sent, or a booking made that the agent was told is not.
func TestModelKeepsItsPromises(t *testing.T) {
	runs, claims, floors := 0, 0, 0
	for seed := range uint64(modelRuns) {
		m := runModel(seed, nil)
		qt.Assert(t, m.wrong, qt.IsNil, qt.Commentf("seed %d", seed))
		runs += len(m.runs)
		claims += len(m.claimed)
		if m.l.Stats().FloorMs > 0 {
			floors++
		}
	}
	t.Logf("%d starts, %d refusals as not run, %d runs that forgot something", runs, claims, floors)
	qt.Assert(t, min(runs, claims) > 10*modelRuns && floors > modelRuns/2, qt.IsTrue)
}

// A ledger that loses a start, loses a refusal, or loses its floor starts a
// task again when its Start is resent. The model must notice each; if it did
// not, its green runs would prove nothing.
func TestModelSeesSabotage(t *testing.T) {
	for name, sabotage := range map[string]func(*model){
		"a start is forgotten":   func(m *model) { m.forget(done) },
		"a refusal is forgotten": func(m *model) { m.forget(refused) },
		"the floor is forgotten": func(m *model) { m.l.memory.floorMs = 0 },
		"a fence is forgotten":   func(m *model) { clear(m.l.fenced) },
	} {
		seen, first := 0, error(nil)
		for seed := range uint64(modelRuns) {
			if err := runModel(seed, sabotage).wrong; err != nil {
				first = err
				seen++
			}
		}
		t.Logf("%s: seen in %d of %d runs, such as: %v", name, seen, modelRuns, first)
		qt.Check(t, seen > modelRuns/10, qt.IsTrue, qt.Commentf(name))
	}
}

// The fuzzer searches for an order of events that breaks a promise of the
// ledger, beyond those that the seeds above reach.
func FuzzModel(f *testing.F) {
	f.Add([]byte{0, 3, 3, 0, 7, 2, 3, 0, 15, 8, 0, 0, 15, 7})
	f.Add([]byte{12, 2, 0, 2, 3, 0, 10, 255, 11, 0, 3, 0})
	f.Fuzz(func(t *testing.T, ops []byte) {
		m := newModel()
		for i := 0; i+1 < len(ops); i += 2 {
			m.step(ops[i], ops[i+1])
		}
		m.settle()
		if m.wrong != nil {
			t.Fatal(m.wrong)
		}
	})
}

// A hostile or broken entry sends any message that decodes. A panic would take
// down the guard with every task in flight, and a count that goes astray would
// let it run more tasks than its upstream has slots.
func FuzzFrames(f *testing.F) {
	ref := wire.Ref{Member: "ayni", Key: ticket(a, epoch, 1)}
	for _, fr := range []wire.Frame{
		{Start: &wire.Start{Ref: ref, Home: a, LeftMs: 1000, WaitMs: 10, Offered: 1}, Reserve: &wire.Reserve{Want: -1}},
		{Cancel: &wire.Cancel{Ref: ref}, Fence: &wire.Fence{Gone: b}, Collect: &wire.Collect{Member: "ayni", Key: ref.Key}},
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
		for range 3 { // duplicates meet what the first left behind
			if fr.Start != nil {
				m.l.Start(m.now, a, fr.Start)
			}
			if fr.Reserve != nil {
				m.l.Reserve(m.now, a, fr.Reserve)
			}
			if fr.Cancel != nil {
				m.l.Cancel(m.now, a, fr.Cancel)
			}
			if fr.Fence != nil {
				m.l.Fence(m.now, b, fr.Fence)
			}
			if fr.Collect != nil {
				m.l.Collect(a, fr.Collect)
			}
			m.observe()
		}
		if m.wrong != nil {
			t.Fatal(m.wrong)
		}
	})
}
