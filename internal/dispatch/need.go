package dispatch

import (
	"slices"
	"time"

	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Need is what each task of a job must find on its worker.
type Need = sched.Need

// Bounds on what a guard may claim of its worker.
const (
	maxAccelerators = 1024
	maxMemoryMB     = 1 << 30
)

// describe notes what a guard announces of its worker. Values that do not fit
// would wrap around, and a large worker would seem to have nothing.
func describe(w *sched.Worker, h *wire.Hello) {
	w.Accelerators = int16(min(max(0, h.Accelerator), maxAccelerators))
	w.MemoryMB = int32(min(max(0, h.MemoryMB), maxMemoryMB))
}

// mostSizes bounds how many sizes of workers are remembered; a fleet has a few.
const mostSizes = 64

// noteSize remembers the size of a worker for as long as this entry runs.
func (c *Core) noteSize(w *sched.Worker) {
	size := sched.Worker{Accelerators: w.Accelerators, MemoryMB: w.MemoryMB}
	if len(c.sizes) < mostSizes && !slices.Contains(c.sizes, size) {
		c.sizes = append(c.sizes, size)
	}
}

// fittedOnce tells whether a worker that was here could have met the need. VMs
// are replaced all day, so that one like it will most likely come back.
func (c *Core) fittedOnce(n Need) bool {
	return slices.ContainsFunc(c.sizes, func(w sched.Worker) bool { return w.Fits(n) })
}

// needClass holds the waiting tasks with one need for which no worker had room.
//
// Left in the queue, they would stand in front of tasks that any worker can
// run, and each event would take all of them out and put them back.
type needClass struct {
	need  Need
	tasks []*task
}

// mostClasses bounds how many classes one event looks at; the others have their
// turn at the next ones. Callers choose the needs, and could make many.
const mostClasses = 4

// waitingTasks counts the tasks that wait, in the queue and set apart.
func (c *Core) waitingTasks() int { return c.queue.Len() + c.apart }

// setApart moves a task with a need out of the queue's way.
func (c *Core) setApart(t *task) {
	need := t.job.spec.Need
	cl := c.class(need)
	if cl == nil {
		cl = &needClass{need: need}
		c.classes = append(c.classes, cl)
	}
	cl.tasks = append(cl.tasks, t)
	c.apart++
}

// class gives the tasks set apart with a need, or nil.
func (c *Core) class(need Need) *needClass {
	for _, cl := range c.classes {
		if cl.need == need {
			return cl
		}
	}
	return nil
}

// takeApart takes the first live task of a class, and drops a class that it
// empties: a class stands for waiting tasks.
func (c *Core) takeApart(now time.Time, cl *needClass) (*task, bool) {
	var found *task
	for len(cl.tasks) > 0 && found == nil {
		t := cl.tasks[0]
		cl.tasks[0] = nil // or the array would hold an answered job's bodies
		cl.tasks = cl.tasks[1:]
		c.apart--
		if c.live(now, t) {
			found = t
		}
	}
	if len(cl.tasks) == 0 {
		c.classes = slices.DeleteFunc(c.classes, func(o *needClass) bool { return o == cl })
	}
	return found, found != nil
}

// pumpApart sends tasks that were set apart, before those of the queue: these
// have few workers, and the queue's tasks can go to the others.
func (c *Core) pumpApart(now time.Time) {
	for range min(mostClasses, len(c.classes)) {
		if len(c.classes) == 0 || !c.mayPlace() {
			return
		}
		cl := c.classes[0]
		copy(c.classes, c.classes[1:])
		c.classes[len(c.classes)-1] = cl
		c.pumpClass(now, cl)
	}
}

func (c *Core) pumpClass(now time.Time, cl *needClass) {
	for c.mayPlace() {
		t, ok := c.takeApart(now, cl)
		if !ok {
			return
		}
		at := c.place(t)
		if at == sched.NoWorker {
			// It goes to the end: a task that the only free worker has refused
			// must not hold up its likes.
			c.setApart(t)
			return
		}
		c.send(now, t, at, 0)
	}
}

// apartFor takes a task set apart for which a worker has room.
func (c *Core) apartFor(now time.Time, place int32) (*task, bool) {
	for i := len(c.classes) - 1; i >= 0; i-- { // backwards, as classes may go
		cl := c.classes[i]
		if !c.pool.Workers[place].HasRoom(cl.need) {
			continue
		}
		t, ok := c.takeApart(now, cl)
		switch {
		case !ok:
		case t.wasRefusedBy(place):
			c.setApart(t)
		default:
			return t, true
		}
	}
	return nil, false
}

// wantsOffer tells whether a slot of a worker would be of use to a waiting task.
func (c *Core) wantsOffer(place int) bool {
	if c.queue.Len() > 0 {
		return true
	}
	return slices.ContainsFunc(c.classes, func(cl *needClass) bool {
		return c.pool.Workers[place].HasRoom(cl.need)
	})
}

// candidates counts the guards whose workers fit a task, those that refused it
// included. It need not count beyond most.
func (c *Core) candidates(t *task, most int) int {
	if t.job.spec.Need == (Need{}) {
		return len(c.places)
	}
	return c.pool.CountFitting(t.job.spec.Need, most)
}

// anyStays tells whether a worker that fits is not about to leave.
func (c *Core) anyStays(need Need) bool {
	for i, g := range c.guards {
		if g != nil && !g.leaving && c.pool.Workers[i].Fits(need) {
			return true
		}
	}
	return false
}
