package runs

import (
	"strings"
	"testing"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// capacityModel is a guard with two entries and a worker whose capacity changes. It derives
// the runs that may be at the worker from the guard's requests alone.
type capacityModel struct {
	*rig
	capacity     int64 // in the newest valid report
	seq          int64
	placed       map[Key]int64   // CPU of the runs that may be at the worker
	unanswered   []Key           // unanswered starts, the oldest first
	pendingTexts map[string]bool // jobs whose Fetch is unanswered
	lastEnd      int64           // number of the last end that the worker has listed
	sentJobs     int
	violation    string // how the capacity was exceeded, or empty
}

func newCapacityModel(t *testing.T) *capacityModel {
	model := &capacityModel{rig: newRig(t), capacity: 8000, seq: 1, placed: make(map[Key]int64), pendingTexts: make(map[string]bool)}
	model.m.LinkUp(model.now, otherEntry)
	model.checkActions()
	return model
}

// checkActions takes the machine's actions and checks that no start exceeds the capacity.
func (model *capacityModel) checkActions() {
	for _, a := range model.actions() {
		switch {
		case a.Fetch != nil:
			model.pendingTexts[a.Fetch.Job] = true
		case a.Start != nil:
			model.placed[a.Start.Key] = taskCPU
			model.unanswered = append(model.unanswered, a.Start.Key)
			if len(model.placed)*taskCPU > int(model.capacity) {
				model.violation = "a start exceeds the capacity of the worker"
			}
		}
	}
}

const taskCPU = 3000

// sendJob sends a job of two tasks from an entry. With a source, the text must be fetched there.
func (model *capacityModel) sendJob(from identity.Incarnation, source string) {
	model.sentJobs++
	model.rig.seq++
	frame := &wire.RunTasks{Seq: model.rig.seq, ClockMs: model.now.Milliseconds(), Job: strings.Repeat("j", model.sentJobs), Source: source, LeftMs: 5000}
	for i := range 2 {
		frame.Tasks = append(frame.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Resources{CPU: taskCPU}})
	}
	model.m.Run(model.now, from, frame)
}

// reportCapacity sends a report with the given capacity in thousandths of a core.
func (model *capacityModel) reportCapacity(cpu int64) {
	model.seq++
	model.capacity = cpu
	rep := model.newReport(testWorker, model.seq)
	rep.Capacity.CPU = cpu
	model.m.HandleReport(model.now, rep)
}

func (model *capacityModel) answerOldestStart(v Verdict) {
	if len(model.unanswered) == 0 {
		return
	}
	k := model.unanswered[0]
	model.unanswered = model.unanswered[1:]
	if v == NoRoom {
		delete(model.placed, k)
	}
	model.answerStart(k, v)
}

// finishOldest answers a Hold and lists the oldest run, the first in key order, as ended.
func (model *capacityModel) finishOldest() {
	a := HoldAnswer{}
	for k := range model.placed {
		a.Active = append(a.Active, Active{Key: k, Percent: 50})
	}
	if len(a.Active) > 0 {
		model.lastEnd++
		k := a.Active[0].Key
		for _, other := range a.Active {
			if other.Key.compare(k) < 0 {
				k = other.Key
			}
		}
		a.Ended = []Ended{{Number: model.lastEnd, Key: k}}
		delete(model.placed, k)
	}
	model.answerHold(testWorker, a)
}

// modelEvents are the events that may happen in any order.
var modelEvents = []func(model *capacityModel){
	func(model *capacityModel) { model.sendJob(testEntry, "") },
	func(model *capacityModel) { model.sendJob(otherEntry, "guard-2") },
	func(model *capacityModel) { model.reportCapacity(2000) },
	func(model *capacityModel) { model.reportCapacity(7000) },
	func(model *capacityModel) { model.reportCapacity(13000) },
	func(model *capacityModel) { // a delayed report
		rep := model.newReport(testWorker, model.seq-1)
		rep.Capacity.CPU = 64000
		model.m.HandleReport(model.now, rep)
	},
	func(model *capacityModel) { model.answerOldestStart(Done) },
	func(model *capacityModel) { model.answerOldestStart(NoAnswer) },
	func(model *capacityModel) { model.answerOldestStart(NoRoom) },
	(*capacityModel).finishOldest,
	func(model *capacityModel) {
		for job := range model.pendingTexts {
			delete(model.pendingTexts, job)
			model.m.HandleFetchAnswer(model.now, otherEntry, job, "text", true)
		}
	},
	func(model *capacityModel) {
		model.sendDemand(otherEntry, wire.RunDemand{CPU: 2 * taskCPU, MinCPU: taskCPU, MinUrgentCPU: taskCPU})
	},
	func(model *capacityModel) {
		model.m.StopJob(model.now, testEntry, &wire.StopRuns{ClockMs: model.now.Milliseconds(), Job: "j"})
	},
}

// modelSteps is the number of events in each sequence.
const modelSteps = 4

// Guards against starts that exceed a capacity that has shrunk, for every order of offers, starts,
// stops and reports.
func TestCapacityIsNeverExceededForAnyEventOrder(t *testing.T) {
	orders := 1
	for range modelSteps {
		orders *= len(modelEvents)
	}
	for order := range orders {
		model := newCapacityModel(t)
		for n := order; n > 0; n /= len(modelEvents) {
			model.now += time.Millisecond
			modelEvents[n%len(modelEvents)](model)
			model.checkActions()
		}
		if model.violation != "" {
			t.Fatalf("order %d: %s", order, model.violation)
		}
	}
}
