package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// start is a task that a worker has begun.
type start struct {
	at     time.Time
	task   string
	run    int64
	worker string
	kind   string
	beside []string // other tasks at the worker at that moment
	endAt  time.Time
}

// record holds what was sent, answered and run, in order.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	lines  []string
	starts []*start
}

func newRecord() *record { return &record{begun: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// start records the start of a run. The worker's mu must be held.
func (r *record) start(w *worker, run *workerRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &start{at: run.startedAt, task: run.task, run: run.run, worker: w.id, kind: w.kind}
	for _, other := range w.sorted() {
		if other != run {
			s.beside = append(s.beside, other.task)
		}
	}
	r.starts = append(r.starts, s)
	r.addLocked("worker %s (kind %s) starts task %s run %d; beside it: %v", w.id, w.kind, run.task, run.run, s.beside)
}

func (r *record) end(w *worker, run *workerRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.task == run.task && s.run == run.run && s.worker == w.id && s.endAt.IsZero() {
			s.endAt = time.Now()
		}
	}
	r.addLocked("worker %s ends task %s run %d: %s", w.id, run.task, run.run, how)
}

// startsOf returns the starts of a job's tasks so far.
func (r *record) startsOf(job string) []*start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, s)
		}
	}
	return found
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
