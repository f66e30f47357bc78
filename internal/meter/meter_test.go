package meter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

// site is a wrapped machine with two workers of one slot.
type site struct {
	c       *qt.C
	m       dispatch.Machine
	figures *telemetry.Registry
	now     time.Time
	seq     uint64
}

func newSite(t *testing.T) *site {
	s := &site{c: qt.New(t), figures: telemetry.New(), now: start}
	s.m = Wrap(dispatch.New("ayni/reserva", dispatch.DefaultPolicy(), 1), s.figures)
	s.up("guard-a")
	s.up("guard-b")
	return s
}

func (s *site) load() wire.Load {
	s.seq++
	return wire.Load{Seq: s.seq, Slots: 1, Healthy: true}
}

func (s *site) up(g identity.Incarnation) {
	s.m.GuardUp(s.now, &wire.Hello{Incarnation: g, Service: "ayni/reserva", Worker: string(g), Slots: 1, Load: s.load()})
}

func (s *site) submit(key string) {
	spec := &dispatch.Spec{ID: dispatch.JobID{Member: "ayni", Key: key}, Deadline: s.now.Add(time.Minute), Tasks: [][]byte{[]byte("1")}}
	s.c.Assert(s.m.Submit(s.now, spec) == nil, qt.IsTrue)
}

// started gives the one start among the actions.
func (s *site) started() dispatch.Action {
	for _, a := range s.m.Actions() {
		if a.Start != nil {
			return a
		}
	}
	s.c.Fatal("nothing was started")
	return dispatch.Action{}
}

func (s *site) answer(a dispatch.Action, kind errkind.Kind, ran errkind.Ran) {
	s.m.Result(s.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Kind: kind, Ran: ran, Status: 200, RunMs: 30, Load: s.load()})
}

// A booking meets a worker that stops, and runs on the other one. Operators see
// why it was sent twice, and that it was answered once.
func TestRetryIsCountedWithItsReason(t *testing.T) {
	s := newSite(t)
	s.submit("1")
	first := s.started()
	s.m.GuardLeaving(s.now, first.Guard)
	s.answer(first, errkind.Draining, errkind.RanNo)
	for end := s.now.Add(time.Second); s.figures.Retries(telemetry.RetryDraining) == 0 && s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		s.m.Tick(s.now)
		for _, a := range s.m.Actions() {
			if a.Start != nil {
				first = a
			}
		}
	}
	s.c.Assert(s.figures.Retries(telemetry.RetryDraining), qt.Equals, int64(1))
	s.answer(first, errkind.None, errkind.RanYes)
	s.answer(first, errkind.None, errkind.RanYes) // once more, as after a lost link
	s.m.Actions()
	s.c.Check(s.figures.Count(telemetry.TasksStarted), qt.Equals, int64(2))
	s.c.Check(s.figures.Count(telemetry.TasksNotStarted), qt.Equals, int64(1))
	s.c.Check(s.figures.Count(telemetry.TasksAnswered), qt.Equals, int64(1))
	s.c.Check(s.figures.Count(telemetry.GuardsLeft), qt.Equals, int64(1))
	s.c.Check(s.m.(*machine).jobs, qt.HasLen, 0, qt.Commentf("jobs with an outcome are forgotten"))
}

// A link breaks and returns. Its open task is sent again to the same guard,
// which starts it once.
func TestResendIsCountedAsSuch(t *testing.T) {
	s := newSite(t)
	s.submit("1")
	first := s.started()
	s.m.GuardDown(s.now, first.Guard)
	s.up(first.Guard)
	s.started()
	s.c.Check(s.figures.Retries(telemetry.RetrySameGuard), qt.Equals, int64(1))
}

func TestRefusedSubmissionLeavesNothing(t *testing.T) {
	s := newSite(t)
	spec := &dispatch.Spec{ID: dispatch.JobID{Member: "ayni", Key: "1"}, Deadline: s.now, Tasks: [][]byte{nil}}
	s.c.Assert(s.m.Submit(s.now, spec) == nil, qt.IsFalse)
	s.c.Check(s.m.(*machine).jobs, qt.HasLen, 0)
}
