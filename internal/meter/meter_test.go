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

var startTime = time.Unix(1_800_000_000, 0)

// harness is a wrapped Machine with two workers of one slot each.
type harness struct {
	c       *qt.C
	m       dispatch.Machine
	metrics *telemetry.Registry
	now     time.Time
	seq     uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{c: qt.New(t), metrics: telemetry.New(), now: startTime}
	h.m = Wrap(dispatch.New("ayni/reserva", dispatch.DefaultPolicy(), 1), h.metrics)
	h.connectGuard("guard-a")
	h.connectGuard("guard-b")
	return h
}

func (h *harness) nextLoad() wire.Load {
	h.seq++
	return wire.Load{Seq: h.seq, Slots: 1, Healthy: true}
}

func (h *harness) connectGuard(g identity.Incarnation) {
	h.m.GuardConnected(h.now, &wire.Hello{Incarnation: g, Service: "ayni/reserva", Worker: string(g), Slots: 1, Load: h.nextLoad()})
}

func (h *harness) submitJob(key string) {
	spec := &dispatch.Spec{ID: dispatch.JobID{Member: "ayni", Key: key}, Deadline: h.now.Add(time.Minute), Tasks: [][]byte{[]byte("1")}}
	h.c.Assert(h.m.Submit(h.now, spec) == nil, qt.IsTrue)
}

// takeStart returns the first Start action since the last call.
func (h *harness) takeStart() dispatch.Action {
	for _, a := range h.m.Actions() {
		if a.Start != nil {
			return a
		}
	}
	h.c.Fatal("no Start action")
	return dispatch.Action{}
}

func (h *harness) sendResult(a dispatch.Action, kind errkind.Kind, ran errkind.Ran) {
	h.m.Result(h.now, a.Guard, &wire.Result{Ref: a.Start.Ref, Kind: kind, Ran: ran, Status: 200, RunMs: 30, Load: h.nextLoad()})
}

// A task is refused by a worker that is stopping and runs on the other one. The
// retry must be counted by its reason, and the task as answered once.
func TestRetryIsCountedByReason(t *testing.T) {
	h := newHarness(t)
	h.submitJob("1")
	first := h.takeStart()
	h.m.GuardDraining(h.now, first.Guard)
	h.sendResult(first, errkind.Draining, errkind.RanNo)
	for end := h.now.Add(time.Second); h.metrics.Retries(telemetry.RetryDraining) == 0 && h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.m.Tick(h.now)
		for _, a := range h.m.Actions() {
			if a.Start != nil {
				first = a
			}
		}
	}
	h.c.Assert(h.metrics.Retries(telemetry.RetryDraining), qt.Equals, int64(1))
	h.sendResult(first, errkind.None, errkind.RanYes)
	h.sendResult(first, errkind.None, errkind.RanYes) // duplicate, as after a lost link
	h.m.Actions()
	h.c.Check(h.metrics.Count(telemetry.TasksStarted), qt.Equals, int64(2))
	h.c.Check(h.metrics.Count(telemetry.TasksNotStarted), qt.Equals, int64(1))
	h.c.Check(h.metrics.Count(telemetry.TasksAnswered), qt.Equals, int64(1))
	h.c.Check(h.metrics.Count(telemetry.GuardsLeft), qt.Equals, int64(1))
	h.c.Check(h.m.(*countingMachine).jobs, qt.HasLen, 0, qt.Commentf("jobs with an outcome must be removed"))
}

// A link breaks and is restored. Its open task is sent again to the same guard,
// which starts it once; it must be counted as a retry at the same guard.
func TestResendIsCountedAsSameGuardRetry(t *testing.T) {
	h := newHarness(t)
	h.submitJob("1")
	first := h.takeStart()
	h.m.GuardDisconnected(h.now, first.Guard)
	h.connectGuard(first.Guard)
	h.takeStart()
	h.c.Check(h.metrics.Retries(telemetry.RetrySameGuard), qt.Equals, int64(1))
}

// A refused job never gets an outcome. If it were tracked, its state would never be
// removed and memory would grow with each refusal.
func TestRefusedSubmissionIsNotTracked(t *testing.T) {
	h := newHarness(t)
	spec := &dispatch.Spec{ID: dispatch.JobID{Member: "ayni", Key: "1"}, Deadline: h.now, Tasks: [][]byte{nil}}
	h.c.Assert(h.m.Submit(h.now, spec) == nil, qt.IsFalse)
	h.c.Check(h.m.(*countingMachine).jobs, qt.HasLen, 0)
}
