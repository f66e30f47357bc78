package batchnode

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// fleet is entries and guards in one bubble of time, with links in memory.
type fleet struct {
	*qt.C
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
	frozenTime time.Duration // added to every clock
	entries    map[string]*Entry
	guards     []*Guard
	applied    map[string]int64                            // version in force by address of the entry
	wrapLink   func(l wire.Link, address string) wire.Link // of guards; nil for none
	serveOld   func(there wire.Link)                       // serves the address "old"; nil for nobody
	mu         sync.Mutex
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), startedAt: time.Now(), entries: make(map[string]*Entry), applied: make(map[string]int64)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

func (f *fleet) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Hour + time.Since(f.startedAt) + f.frozenTime
}

// freeze lets time pass that no process takes part in.
func (f *fleet) freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenTime += d
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

// entry is an entry that has read that nothing is drained.
func (f *fleet) entry(address string) *Entry {
	e := f.entryWithoutStore(address)
	e.OfferDrains(&wire.Drains{Revision: 1})
	return e
}

// entryWithoutStore is an entry that the store has told nothing.
func (f *fleet) entryWithoutStore(address string) *Entry {
	e := NewEntry(EntryOptions{
		Name: "entry", Address: address, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(),
		Apply: func(version int64, _ []byte) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied[address] = version
			return nil
		},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[address] = e
	go e.KeepBeat(f.ctx)
	return e
}

// linkAsGuard opens a link to an entry as a guard that the test plays itself.
func (f *fleet) linkAsGuard(e *Entry, guard identity.Incarnation, version int) wire.Link {
	here, there := wiretest.Pipe()
	go e.Serve(f.ctx, there)
	f.Assert(here.Send(&wire.Frame{RunHello: &wire.RunHello{Version: version, Incarnation: guard}}), qt.IsNil)
	return here
}

func (f *fleet) dial(_ context.Context, address string) (wire.Link, error) {
	f.mu.Lock()
	e := f.entries[address]
	f.mu.Unlock()
	here, there := wiretest.Pipe()
	switch {
	case e != nil:
		go e.Serve(f.ctx, there)
	case address == "old" && f.serveOld != nil:
		go f.serveOld(there)
	default:
		return nil, errors.New("nobody listens")
	}
	if f.wrapLink != nil {
		return f.wrapLink(here, address), nil
	}
	return here, nil
}

func (f *fleet) guard(w Worker, lookup []string, entries ...string) *Guard {
	g := NewGuard(GuardOptions{
		Name: "guard", Entries: entries, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(),
		Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return lookup, nil },
	})
	f.guards = append(f.guards, g)
	go g.Run(f.ctx)
	return g
}

func (f *fleet) assertComplete(out *batch.Outcome) {
	f.Helper()
	f.Assert(out.Err == nil, qt.IsTrue, qt.Commentf("%v", out.Err))
}

// kill ends an entry; nobody listens at its address any more.
func (f *fleet) kill(address string) {
	f.mu.Lock()
	e := f.entries[address]
	delete(f.entries, address)
	f.mu.Unlock()
	e.Close()
}

// configVersion is the version of the configuration at an entry.
func (f *fleet) configVersion(address string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[address]
}

// stop ends all goroutines of the bubble.
func (f *fleet) stop() {
	f.cancel()
	for _, e := range f.entries {
		e.Close()
	}
	synctest.Wait()
}

// worker runs tasks for a fixed time.
type worker struct {
	f            *fleet
	taskDuration time.Duration
	mu           sync.Mutex
	active       map[runs.Key]*time.Timer
	startTimes   map[runs.Key]time.Time
	ended        []runs.Ended
	lastNumber   int64
	changed      chan struct{}
	starts       int
}

func newWorker(f *fleet, taskDuration time.Duration) *worker {
	return &worker{f: f, taskDuration: taskDuration, active: make(map[runs.Key]*time.Timer), startTimes: make(map[runs.Key]time.Time), changed: make(chan struct{}, 1)}
}

func (w *worker) clockMs() int64 { return w.f.clock().Milliseconds() }

func (w *worker) report() *runs.Report {
	return &runs.Report{ID: "worker-1", Seq: 1, ClockMs: w.clockMs(), Service: "svc", Capacity: sched.Room{CPU: 8000}}
}

func (w *worker) Start(_ context.Context, s *runs.Start) runs.StartAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.startTimes[s.Key] = time.Now()
	w.active[s.Key] = time.AfterFunc(w.taskDuration, func() { w.finish(s.Key, runs.EndDone) })
	return runs.StartAnswer{ClockMs: w.clockMs()}
}

func (w *worker) finish(k runs.Key, how runs.How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active[k] == nil {
		return
	}
	delete(w.active, k)
	w.lastNumber++
	w.ended = append(w.ended, runs.Ended{Number: w.lastNumber, Key: k, How: how})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) Stop(_ context.Context, s *runs.Stop) (runs.Verdict, int64) {
	w.finish(s.Key, runs.EndStopped)
	return runs.Done, w.clockMs()
}

func (w *worker) Hold(ctx context.Context, h *runs.Hold) *runs.HoldAnswer {
	if a := w.holdAnswer(h.Ack); len(a.Ended) > 0 || h.Wait == 0 {
		return a
	}
	select {
	case <-w.changed:
	case <-time.After(h.Wait):
	case <-ctx.Done():
	}
	return w.holdAnswer(h.Ack)
}

func (w *worker) holdAnswer(ack int64) *runs.HoldAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &runs.HoldAnswer{ClockMs: w.clockMs()}
	for _, e := range w.ended {
		if e.Number > ack {
			a.Ended = append(a.Ended, e)
		}
	}
	for k := range w.active {
		a.Active = append(a.Active, runs.Active{Key: k, Percent: int64(100 * time.Since(w.startTimes[k]) / w.taskDuration)})
	}
	return a
}

func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

var testQueue = &batch.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond}

func testJob(id string, tasks int) *batch.Job {
	return &batch.Job{ID: id, Queue: testQueue, Steps: []batch.Step{{
		Count: tasks, Need: sched.Room{CPU: 2000}, Estimate: 100 * time.Millisecond,
	}}}
}
