package runs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// restartModel is a guard and a worker that restarts under its ID. The worker follows the
// platform's rules for leases, fencing tokens and run numbers.
type restartModel struct {
	*rig
	startMs   int64 // Unix time of the worker's present start
	startedAt time.Duration
	seq       int64
	token     int64
	active    map[Key]bool
	highest   map[Key]bool // runs that were stopped or have ended
	ended     []Ended
	acked     int64
	lastEnd   int64
	pending   []Action // unanswered requests, the oldest first
	earlier   []*Report
	done      map[Key]bool // runs that ended as done with an acknowledged end
	reported  map[Key]wire.RunEnd
	sentJobs  int
	violation string
}

const modelUnixMs = int64(1_700_000_000_000)

func newRestartModel(t *testing.T) *restartModel {
	model := &restartModel{
		rig:      &rig{C: qt.New(t), m: New(Options{}), now: time.Hour},
		done:     make(map[Key]bool),
		reported: make(map[Key]wire.RunEnd),
	}
	model.m.LinkUp(model.now, testEntry)
	model.restart()
	model.now += 10 * time.Minute // the first instance has run for some time
	model.report()
	for range 4 {
		model.takeActions()
		model.answerOldest(true, true)
	}
	for range 2 { // ends with numbers that the next instance will use again
		model.sendJob()
		for range 5 {
			model.takeActions()
			model.answerOldest(true, true)
			model.finishOldest()
		}
	}
	return model
}

func (model *restartModel) clockMs() int64 {
	return (model.now - model.startedAt + time.Second).Milliseconds()
}

// restart restarts the worker under the same ID. Requests that the earlier instance has not
// answered get no answer.
func (model *restartModel) restart() {
	model.startMs, model.startedAt = modelUnixMs+model.now.Milliseconds(), model.now
	model.seq, model.token, model.acked, model.lastEnd, model.ended = 0, 0, 0, 0, nil
	model.active, model.highest = make(map[Key]bool), make(map[Key]bool)
	unanswered := model.pending
	model.pending = nil
	for i := range unanswered {
		model.handleAnswer(&unanswered[i], NoAnswer)
	}
}

func (model *restartModel) currentReport() *Report {
	model.seq++
	return &Report{
		WorkerInstance: wire.WorkerInstance{ID: testWorker, StartMs: model.startMs}, Seq: model.seq, ClockMs: model.clockMs(),
		Service: "svc", Domain: "d", Capacity: sched.Resources{CPU: 8000, MemoryMB: 1000},
	}
}

func (model *restartModel) report() {
	rep := model.currentReport()
	model.earlier = append(model.earlier, rep)
	model.m.HandleReport(model.now, rep)
}

// repeatEarliestReport delivers the first report once more, with a number above all others, as if a
// partition had delayed it.
func (model *restartModel) repeatEarliestReport() {
	rep := *model.earlier[0]
	rep.Seq += 100
	model.m.HandleReport(model.now, &rep)
}

func (model *restartModel) sendJob() {
	model.sentJobs++
	model.rig.seq++
	model.m.Run(model.now, testEntry, &wire.RunTasks{
		Seq: model.rig.seq, ClockMs: model.now.Milliseconds(), Job: strings.Repeat("j", model.sentJobs), LeftMs: 5000,
		Tasks: []wire.RunTask{{Run: 1, Need: sched.Resources{CPU: taskCPU}}},
	})
}

// takeActions queues the machine's requests and checks the ends that it reports: a run must
// neither be active nor be startable by a request that is still unanswered.
func (model *restartModel) takeActions() {
	for _, a := range model.actions() {
		switch {
		case a.Start != nil, a.Stop != nil, a.Hold != nil:
			model.pending = append(model.pending, a)
		case a.Send != nil && a.Send.Frame.RunsEnded != nil:
			for _, e := range a.Send.Frame.RunsEnded.Ends {
				model.checkEnd(Key{Job: e.Job, Step: e.Step, Index: e.Index, Run: e.Run}, e)
			}
		}
	}
}

func (model *restartModel) checkEnd(k Key, e wire.RunEnd) {
	if model.active[k] {
		model.violation = "the end of a run was reported while the run was active"
	}
	if model.done[k] && e.Kind != errkind.None {
		model.violation = fmt.Sprintf("a run is done, but was reported as ended with %v", e.Kind)
	}
	for _, a := range model.pending {
		if a.Start != nil && a.Start.Key == k && a.Start.Token >= model.token && !model.highest[k] {
			model.violation = "the end of a run was reported while a request could still start it"
		}
	}
	model.reported[k] = e
}

// answerOldest answers the oldest request. If isExecuted, the worker executes it first, and if
// !isAnswered its answer is lost.
func (model *restartModel) answerOldest(isExecuted, isAnswered bool) {
	if len(model.pending) == 0 {
		return
	}
	a := model.pending[0]
	model.pending = model.pending[1:]
	verdict := NoAnswer
	if isExecuted {
		verdict = model.execute(&a)
	}
	if !isAnswered {
		verdict = NoAnswer
	}
	model.handleAnswer(&a, verdict)
}

// execute carries a request out as the present instance of the worker.
func (model *restartModel) execute(a *Action) Verdict {
	lease := model.leaseOf(a)
	if lease.Token < model.token {
		return FencedOff
	}
	model.token = lease.Token
	switch {
	case a.Start != nil:
		k := a.Start.Key
		switch {
		case model.active[k]:
		case model.highest[k]:
			return Outdated
		case a.Start.UntilMs <= model.clockMs():
			return LeaseExpired
		default:
			model.active[k] = true
		}
	case a.Stop != nil:
		model.end(a.Stop.Key, EndStopped)
		model.highest[a.Stop.Key] = true
	case a.Hold != nil:
		model.acked = max(model.acked, a.Hold.Ack)
		for _, e := range model.ended {
			if e.Number <= model.acked && e.Outcome == EndDone {
				model.done[e.Key] = true
			}
		}
		model.ended = slices.DeleteFunc(model.ended, func(e Ended) bool { return e.Number <= model.acked })
	}
	return Done
}

func (model *restartModel) leaseOf(a *Action) *Lease {
	switch {
	case a.Start != nil:
		return &a.Start.Lease
	case a.Stop != nil:
		return &a.Stop.Lease
	}
	return &a.Hold.Lease
}

// end ends a run. An end whose number was acknowledged before is not listed.
func (model *restartModel) end(k Key, outcome Outcome) {
	if !model.active[k] {
		return
	}
	delete(model.active, k)
	model.highest[k] = true
	model.lastEnd++
	if model.lastEnd <= model.acked {
		model.done[k] = model.done[k] || outcome == EndDone
		return
	}
	model.ended = append(model.ended, Ended{Number: model.lastEnd, Key: k, Outcome: outcome})
}

func (model *restartModel) handleAnswer(a *Action, v Verdict) {
	clockMs := int64(0)
	if v != NoAnswer {
		clockMs = model.clockMs()
	}
	switch {
	case a.Start != nil:
		model.m.HandleStartAnswer(model.now, a.Start.Key, StartAnswer{Verdict: v, ClockMs: clockMs})
	case a.Stop != nil:
		model.m.HandleStopAnswer(model.now, a.Stop.Key, v, clockMs)
	case a.Hold != nil:
		answer := &HoldAnswer{Verdict: v, ClockMs: clockMs}
		if v == Done {
			answer.StartMs, answer.Ended = model.startMs, slices.Clone(model.ended)
			for _, k := range slices.SortedFunc(maps.Keys(model.active), Key.compare) {
				answer.Active = append(answer.Active, Active{Key: k, Percent: 50})
			}
		}
		model.m.HandleHoldAnswer(model.now, a.Hold.Worker, answer)
	}
}

// finishOldest ends the first run in key order as done.
func (model *restartModel) finishOldest() {
	keys := slices.SortedFunc(maps.Keys(model.active), Key.compare)
	if len(keys) > 0 {
		model.end(keys[0], EndDone)
	}
}

// settle answers every request until the machine is idle.
func (model *restartModel) settle() {
	for range 30 {
		model.now += 40 * time.Millisecond
		model.m.Tick(model.now)
		model.takeActions()
		for range 4 {
			model.answerOldest(true, true)
			model.takeActions()
		}
		model.finishOldest()
	}
	model.report()
	for range 10 {
		model.now += 40 * time.Millisecond
		model.takeActions()
		model.answerOldest(true, true)
	}
	model.takeActions()
}

// restartEvents are the events that may happen in any order.
var restartEvents = []func(model *restartModel){
	(*restartModel).restart,
	(*restartModel).report,
	(*restartModel).repeatEarliestReport,
	(*restartModel).sendJob,
	func(model *restartModel) { model.answerOldest(true, true) },
	func(model *restartModel) { model.answerOldest(true, false) },
	func(model *restartModel) { model.answerOldest(false, false) },
	(*restartModel).finishOldest,
	func(model *restartModel) {
		model.m.StopJob(model.now, testEntry, &wire.StopRuns{ClockMs: model.now.Milliseconds(), Job: "j"})
	},
	func(model *restartModel) { model.m.HandleTermination(model.now, testWorker) },
	func(model *restartModel) { model.advance(60 * time.Millisecond) },
}

// restartSteps is the number of events in each sequence.
const restartSteps = 4

// Guards against runs that are started twice, lost or left without an owner when a worker restarts
// under its ID, for every order of restarts, reports, requests, answers and terminations.
func TestRestartUnderSameIDKeepsRunsApart(t *testing.T) {
	orders := 1
	for range restartSteps {
		orders *= len(restartEvents)
	}
	violations, firstOrders := make(map[string]int), make(map[string]int)
	for order := range orders {
		model := newRestartModel(t)
		for n := order; n > 0; n /= len(restartEvents) {
			model.now += time.Millisecond
			restartEvents[n%len(restartEvents)](model)
			model.takeActions()
		}
		model.settle()
		model.checkSettled()
		if model.violation != "" {
			violations[model.violation]++
			firstOrders[model.violation] = cmp.Or(firstOrders[model.violation], order)
		}
	}
	for violation, count := range violations {
		t.Errorf("%d of %d orders, such as %d: %s", count, orders, firstOrders[violation], violation)
	}
}

// checkSettled checks that every run has been reported as ended, and that the worker is usable.
func (model *restartModel) checkSettled() {
	switch w := model.m.Worker(); {
	case model.violation != "":
	case len(model.reported) < model.sentJobs:
		model.violation = "a run was never reported as ended"
	case model.m.Running() > 0:
		model.violation = "a run is left at the guard"
	case !w.Usable || w.StartMs != model.startMs:
		model.violation = "the worker that is up is not usable"
	}
}
