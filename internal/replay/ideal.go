package replay

import (
	"container/heap"
	"time"

	"wigeontray/internal/sched"
)

// idealResponseTimes returns the response time of each job with one central FIFO
// queue and no delays, failures or refusals. It is a lower bound for dispatchers
// that use the same order.
func idealResponseTimes(events []Event, slots int) map[string]time.Duration {
	return simulateCentralQueue(events, slots, func(q *sched.Queue[centralTask], j *centralJob) {
		for i := range j.req.Tasks {
			q.Push("", 1, sched.Item[centralTask]{Value: centralTask{j, i}, Due: int64(j.arrivedAt)})
		}
	})
}

// idealFairResponseTimes is like idealResponseTimes, but with the order of the
// dispatch queue: fair between teams, and with small jobs ahead of the last tasks
// of large ones.
func idealFairResponseTimes(events []Event, slots int) map[string]time.Duration {
	return simulateCentralQueue(events, slots, func(q *sched.Queue[centralTask], j *centralJob) {
		spacing := sched.TaskSpacing(j.req.Deadline, len(j.req.Tasks))
		for i := range j.req.Tasks {
			due := int64(j.arrivedAt + time.Duration(i)*spacing)
			q.Push(j.req.Team, 1, sched.Item[centralTask]{Value: centralTask{j, i}, Due: due})
		}
	})
}

type centralJob struct {
	name       string
	req        *Request
	arrivedAt  time.Duration
	unfinished int
}

type centralTask struct {
	job  *centralJob
	task int
}

// completion is the end of a task run.
type completion struct {
	at  time.Duration
	job *centralJob
}

type completions []completion

func (h completions) Len() int           { return len(h) }
func (h completions) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completions) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completions) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completions) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// simulateCentralQueue runs the submissions among events on the given number of
// slots and returns the response times by job name. push adds the tasks of a job to
// the queue and thus determines their order.
func simulateCentralQueue(events []Event, slots int, push func(*sched.Queue[centralTask], *centralJob)) map[string]time.Duration {
	var (
		queue         sched.Queue[centralTask]
		running       completions
		responseTimes = make(map[string]time.Duration, len(events))
	)
	startTasks := func(now time.Duration) {
		for len(running) < slots && queue.Len() > 0 {
			t, _ := queue.Pop()
			heap.Push(&running, completion{now + t.job.req.Tasks[t.task], t.job})
		}
	}
	finishTask := func() {
		c := heap.Pop(&running).(completion)
		if c.job.unfinished--; c.job.unfinished == 0 {
			responseTimes[c.job.name] = c.at - c.job.arrivedAt
		}
		startTasks(c.at)
	}
	for i := range events {
		ev := &events[i]
		if ev.Op != OpSubmit {
			continue
		}
		for len(running) > 0 && running[0].at <= ev.At {
			finishTask()
		}
		push(&queue, &centralJob{ev.Target, ev.Request, ev.At, len(ev.Request.Tasks)})
		startTasks(ev.At)
	}
	for len(running) > 0 {
		finishTask()
	}
	return responseTimes
}
