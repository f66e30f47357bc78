package runs

import (
	"strings"
	"testing"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// capacityModel is a guard with two entries and a worker whose capacity changes. It keeps its own book
// of what may be at the worker, from the orders alone.
type capacityModel struct {
	*rig
	capacity     int64 // in the newest valid report
	seq          int64
	placed       map[Key]int64   // processor of what may be at the worker
	unanswered   []Key           // starts without an answer, the oldest first
	pendingTexts map[string]bool // jobs whose text is to be fetched
	lastEnd      int64
	sentJobs     int
	violation    string
}

func newCapacityModel(t *testing.T) *capacityModel {
	model := &capacityModel{rig: newRig(t), capacity: 8000, seq: 1, placed: make(map[Key]int64), pendingTexts: make(map[string]bool)}
	model.m.LinkUp(model.now, otherEntry)
	model.checkActions()
	return model
}

// checkActions takes the actions and checks each start.
func (model *capacityModel) checkActions() {
	for _, a := range model.actions() {
		switch {
		case a.Fetch != nil:
			model.pendingTexts[a.Fetch.Job] = true
		case a.Start != nil:
			model.placed[a.Start.Key] = taskCPU
			model.unanswered = append(model.unanswered, a.Start.Key)
			if len(model.placed)*taskCPU > int(model.capacity) {
				model.violation = "a start brings the worker over its capacity"
			}
		}
	}
}

const taskCPU = 3000

// sendJob sends two tasks for an entry, with their text or without.
func (model *capacityModel) sendJob(from identity.Incarnation, source string) {
	model.sentJobs++
	model.rig.seq++
	frame := &wire.RunTasks{Seq: model.rig.seq, ClockMs: model.now.Milliseconds(), Job: strings.Repeat("j", model.sentJobs), Source: source, LeftMs: 5000}
	for i := range 2 {
		frame.Tasks = append(frame.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: taskCPU}})
	}
	model.m.Run(model.now, from, frame)
}

// reportCapacity lets the worker tell its capacity, in thousandths of a core.
func (model *capacityModel) reportCapacity(cpu int64) {
	model.seq++
	model.capacity = cpu
	rep := model.newReport(testWorker, model.seq)
	rep.Capacity.CPU = cpu
	model.m.Heard(model.now, rep)
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

// finishOldest lets the oldest run end at the worker.
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

// modelEvents are what may happen, in any order.
var modelEvents = []func(model *capacityModel){
	func(model *capacityModel) { model.sendJob(testEntry, "") },
	func(model *capacityModel) { model.sendJob(otherEntry, "guard-2") },
	func(model *capacityModel) { model.reportCapacity(2000) },
	func(model *capacityModel) { model.reportCapacity(7000) },
	func(model *capacityModel) { model.reportCapacity(13000) },
	func(model *capacityModel) { // a report that was held up
		rep := model.newReport(testWorker, model.seq-1)
		rep.Capacity.CPU = 64000
		model.m.Heard(model.now, rep)
	},
	func(model *capacityModel) { model.answerOldestStart(Done) },
	func(model *capacityModel) { model.answerOldestStart(NoAnswer) },
	func(model *capacityModel) { model.answerOldestStart(NoRoom) },
	(*capacityModel).finishOldest,
	func(model *capacityModel) {
		for job := range model.pendingTexts {
			delete(model.pendingTexts, job)
			model.m.Fetched(model.now, otherEntry, job, "text", true)
		}
	},
	func(model *capacityModel) {
		model.sendDemand(otherEntry, wire.RunDemand{CPU: 2 * taskCPU, LeastCPU: taskCPU, UrgentCPU: taskCPU})
	},
	func(model *capacityModel) {
		model.m.StopJob(model.now, testEntry, &wire.StopRuns{ClockMs: model.now.Milliseconds(), Job: "j"})
	},
}

// modelSteps is how many events are played in each order.
const modelSteps = 4

// Guards against a start that brings a worker over a capacity that has shrunk, with offers, starts, stops and reports in every order.
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
