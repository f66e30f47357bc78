package runs

import (
	"strings"
	"testing"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// world is a guard with two entries and a worker whose capacity changes. It keeps its own book
// of what may be at the worker, from the orders alone.
type world struct {
	*rig
	capacity int64 // in the newest valid report
	seq      int64
	at       map[Key]int64   // processor of what may be at the worker
	asked    []Key           // starts without an answer, the oldest first
	text     map[string]bool // jobs whose text is to be fetched
	listed   int64
	sent     int
	broken   string
}

func newWorld(t *testing.T) *world {
	w := &world{rig: newRig(t), capacity: 8000, seq: 1, at: make(map[Key]int64), text: make(map[string]bool)}
	w.m.LinkUp(w.now, otherEntry)
	w.settle()
	return w
}

// settle takes the actions and checks each start.
func (w *world) settle() {
	for _, a := range w.actions() {
		switch {
		case a.Fetch != nil:
			w.text[a.Fetch.Job] = true
		case a.Start != nil:
			w.at[a.Start.Key] = taskCPU
			w.asked = append(w.asked, a.Start.Key)
			if len(w.at)*taskCPU > int(w.capacity) {
				w.broken = "a start brings the worker over its capacity"
			}
		}
	}
}

const taskCPU = 3000

// sendTasks sends two tasks for an entry, with their text or without.
func (w *world) sendTasks(from identity.Incarnation, source string) {
	w.sent++
	w.rig.seq++
	t := &wire.RunTasks{Seq: w.rig.seq, ClockMs: w.now.Milliseconds(), Job: strings.Repeat("j", w.sent), Source: source, LeftMs: 5000}
	for i := range 2 {
		t.Tasks = append(t.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: taskCPU}})
	}
	w.m.Run(w.now, from, t)
}

// reportCapacity lets the worker tell its capacity, in thousandths of a core.
func (w *world) reportCapacity(cpu int64) {
	w.seq++
	w.capacity = cpu
	rep := w.report(testWorker, w.seq)
	rep.Capacity.CPU = cpu
	w.m.Heard(w.now, rep)
}

func (w *world) answer(v Verdict) {
	if len(w.asked) == 0 {
		return
	}
	k := w.asked[0]
	w.asked = w.asked[1:]
	if v == NoRoom {
		delete(w.at, k)
	}
	w.started(k, v)
}

// list lets the oldest run end at the worker.
func (w *world) list() {
	a := HoldAnswer{}
	for k := range w.at {
		a.Active = append(a.Active, Active{Key: k, Percent: 50})
	}
	if len(a.Active) > 0 {
		w.listed++
		k := a.Active[0].Key
		for _, o := range a.Active {
			if o.Key.compare(k) < 0 {
				k = o.Key
			}
		}
		a.Ended = []Ended{{Number: w.listed, Key: k}}
		delete(w.at, k)
	}
	w.held(testWorker, a)
}

// worldEvents are what may happen, in any order.
var worldEvents = []func(w *world){
	func(w *world) { w.sendTasks(testEntry, "") },
	func(w *world) { w.sendTasks(otherEntry, "guard-2") },
	func(w *world) { w.reportCapacity(2000) },
	func(w *world) { w.reportCapacity(7000) },
	func(w *world) { w.reportCapacity(13000) },
	func(w *world) { // a report that was held up
		rep := w.report(testWorker, w.seq-1)
		rep.Capacity.CPU = 64000
		w.m.Heard(w.now, rep)
	},
	func(w *world) { w.answer(Done) },
	func(w *world) { w.answer(NoAnswer) },
	func(w *world) { w.answer(NoRoom) },
	(*world).list,
	func(w *world) {
		for job := range w.text {
			delete(w.text, job)
			w.m.Fetched(w.now, otherEntry, job, "text", true)
		}
	},
	func(w *world) {
		w.demand(otherEntry, wire.RunDemand{CPU: 2 * taskCPU, LeastCPU: taskCPU, UrgentCPU: taskCPU})
	},
	func(w *world) { w.m.StopJob(w.now, testEntry, &wire.StopRuns{ClockMs: w.now.Milliseconds(), Job: "j"}) },
}

// worldSteps is how many events are played in each order.
const worldSteps = 4

// Guards against a start that brings a worker over a capacity that has shrunk, with offers, starts, stops and reports in every order.
func TestCapacityIsNeverExceededInAnyOrder(t *testing.T) {
	orders := 1
	for range worldSteps {
		orders *= len(worldEvents)
	}
	for order := range orders {
		w := newWorld(t)
		for n := order; n > 0; n /= len(worldEvents) {
			w.now += time.Millisecond
			worldEvents[n%len(worldEvents)](w)
			w.settle()
		}
		if w.broken != "" {
			t.Fatalf("order %d: %s", order, w.broken)
		}
	}
}
