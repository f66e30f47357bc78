package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Figures of the pages.
const (
	holdMax      = time.Second             // hold_max_ms
	reportPeriod = 1500 * time.Millisecond // heartbeat_interval_ms
	clockStart   = 5000                    // milliseconds on a worker's clock at its boot
)

// taskSpec is the text of the jobs of all cases.
type taskSpec struct {
	Ms  int64 `json:"ms"`  // run time of a task
	CPU int64 `json:"cpu"` // need of a task, in thousandths of a core
}

// workerRun is a run at a worker.
type workerRun struct {
	task      string
	run       int64
	kind      string // of the worker
	spec      taskSpec
	startedAt time.Time
	stopping  bool
	end       string // how it ended; empty while it is active
	endedAt   time.Time
}

// workerBoot is one life of a worker.
type workerBoot struct {
	id       string
	kind     string
	bootedAt time.Time
	seq      int64
	fence    int64
	active   map[string]*workerRun
	highest  map[string]int64 // by task: the highest run that was stopped or has ended
	finished []finishedRow
	lastEnd  int64
	acked    int64
	leaseEnd time.Time // of all that runs
	changed  chan struct{}
}

type finishedRow struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in for a worker, through all of its boots.
type worker struct {
	rec      *recorder
	name     string
	addr     string // host and port of its calls
	control  string // address of its guard for liveness reports
	zone     string
	rack     string
	capacity int64         // cpu
	stopTime time.Duration // that a stop takes, at most stop_ms

	admitsAll bool          // it starts whatever it is told to start (admission_control is false)
	given     chan struct{} // receives an element when a start has been left unanswered

	mu        sync.Mutex
	lateBy    time.Duration // by which the next start is carried out late, without an answer; 0 for no delay
	keepsTime bool          // the time of a late start counts from when it was sent, not from its arrival
	boot      *workerBoot   // nil while it is down
	boots     int
	history   []*workerRun // of all boots
	used      int64        // most cpu that a start has brought it to
	reports   time.Time    // when it last reported
	server    *http.Server
	ctx       context.Context
	cancel    context.CancelFunc
}

// start boots the worker as the given kind.
func (w *worker) start(kind string) error {
	var l net.Listener
	var err error
	for range 100 { // the port may still be in use by connections of the boot before
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	w.boot = &workerBoot{
		id: fmt.Sprintf("i-%s-%d", w.name, w.boots), kind: kind, bootedAt: time.Now(),
		active: make(map[string]*workerRun), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.expireLeases(w.ctx, w.boot)
	go w.report(w.ctx, w.boot)
	w.rec.logf(w.name, "boots as %s, kind %s", w.boot.id, kind)
	return nil
}

// lastReport returns when the worker last sent a liveness report, and nextReport when the next one is due.
func (w *worker) lastReport() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports
}

func (w *worker) nextReport() time.Time {
	next := w.lastReport().Add(reportPeriod)
	for time.Until(next) < beforeReport {
		next = next.Add(reportPeriod)
	}
	return next
}

// mostUsed returns the most cpu to which a start has brought the worker.
func (w *worker) mostUsed() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used
}

func (w *worker) close() {
	w.mu.Lock()
	server, cancel := w.server, w.cancel
	w.mu.Unlock()
	if server != nil {
		cancel()
		_ = server.Close()
	}
}

func (b *workerBoot) clockMs() int64 { return clockStart + time.Since(b.bootedAt).Milliseconds() }

// report sends liveness reports until ctx ends.
func (w *worker) report(ctx context.Context, b *workerBoot) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.mu.Lock()
		b.seq++
		w.reports = time.Now()
		body, err := json.Marshal(map[string]any{
			"service": serviceName, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": w.capacity, "mem_mb": 65536, "gpu": 0}, "labels": []string{b.kind, w.rack},
			"clock_ms": b.clockMs(), "seq": b.seq,
		})
		w.mu.Unlock()
		if err != nil {
			panic(err) // plain values
		}
		delay := reportPeriod
		if !w.sendReport(ctx, client, b.id, body) {
			delay = 100 * time.Millisecond
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

func (w *worker) sendReport(ctx context.Context, client *http.Client, id string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/wigeontray/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is valid
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode/100 == 2
}

// expireLeases ends what runs when its lease has ended.
func (w *worker) expireLeases(ctx context.Context, b *workerBoot) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if time.Now().After(b.leaseEnd) {
			for _, r := range b.activeInOrder() {
				w.endRun(b, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (b *workerBoot) activeInOrder() []*workerRun {
	var all []*workerRun
	for _, r := range b.active {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

func (w *worker) setEnded(r *workerRun, how string) {
	r.end, r.endedAt = how, time.Now()
	w.rec.logf(w.name, "run %s/%d ends %s", r.task, r.run, how)
}

func (w *worker) endRun(b *workerBoot, r *workerRun, how string) {
	if b.active[r.task] != r {
		return
	}
	delete(b.active, r.task)
	b.highest[r.task] = max(b.highest[r.task], r.run)
	b.lastEnd++
	b.finished = append(b.finished, finishedRow{b.lastEnd, r.task, r.run, how})
	w.setEnded(r, how)
	close(b.changed)
	b.changed = make(chan struct{})
}

// workerCall is the body of all calls to a worker.
type workerCall struct {
	Task    string `json:"task"`
	Run     int64  `json:"run_id"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fencing_token"`
	Ack     int64  `json:"ack_cursor"`
	WaitMs  int64  `json:"wait_ms"`
}

// ServeHTTP implements the calls that PROTOCOL.md names.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c workerCall
	if json.Unmarshal(body, &c) != nil {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	b := w.boot
	w.mu.Unlock()
	if r.Header.Get("Expect-Instance") != b.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": b.clockMs()})
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/wigeontray/") {
	case "run-start":
		w.serveStart(rw, r, b, c)
	case "run-stop":
		status, reason := w.stop(b, c)
		w.answer(rw, b, status, reason)
	case "hold":
		w.serveHold(rw, r, b, c)
	default:
		writeJSON(rw, http.StatusNotFound, struct{}{})
	}
}

func (w *worker) answer(rw http.ResponseWriter, b *workerBoot, status int, reason string) {
	body := map[string]any{"clock_ms": b.clockMs()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request, b *workerBoot, c workerCall) {
	if delay := w.takeLateStart(); delay > 0 {
		w.rec.logf(w.name, "start of %s/%d with fencing token %d arrives; it gets no answer and is carried out %v later", c.Task, c.Run, c.Fence, delay)
		go w.startLate(b, c, delay)
		w.given <- struct{}{}
		<-r.Context().Done()
		return
	}
	status, reason := w.startRun(b, c)
	w.answer(rw, b, status, reason)
}

// delayNextStart lets the worker leave the next start unanswered and carry it out after a delay. Its time counts
// from its arrival, unless keepsTime is set.
func (w *worker) delayNextStart(by time.Duration, keepsTime bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateBy, w.keepsTime = by, keepsTime
}

func (w *worker) takeLateStart() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	delay := w.lateBy
	w.lateBy = 0
	return delay
}

// startLate carries a start out after a delay, by which its time is shifted unless keepsTime is set.
func (w *worker) startLate(b *workerBoot, c workerCall, delay time.Duration) {
	time.Sleep(delay)
	if !w.keepsTime {
		c.UntilMs += delay.Milliseconds()
	}
	status, reason := w.startRun(b, c)
	w.rec.logf(w.name, "the late start of %s/%d is carried out: %d %s", c.Task, c.Run, status, reason)
}

func (w *worker) startRun(b *workerBoot, c workerCall) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != b {
		return http.StatusMisdirectedRequest, ""
	}
	if c.Fence < b.fence {
		return http.StatusConflict, "fence"
	}
	b.fence = c.Fence
	existing := b.active[c.Task]
	switch {
	case c.UntilMs <= b.clockMs():
		return http.StatusConflict, "late"
	case existing != nil && existing.run == c.Run:
		b.extendLease(c.UntilMs)
		return http.StatusOK, ""
	case existing != nil || c.Run <= b.highest[c.Task]:
		b.extendLease(c.UntilMs)
		return http.StatusConflict, "old"
	}
	r := &workerRun{task: c.Task, run: c.Run, kind: b.kind, startedAt: time.Now()}
	if json.Unmarshal([]byte(c.Spec), &r.spec) != nil {
		return http.StatusBadRequest, ""
	}
	used := r.spec.CPU
	for _, other := range b.active {
		used += other.spec.CPU
	}
	b.extendLease(c.UntilMs)
	if used > w.capacity && !w.admitsAll {
		return http.StatusConflict, "room"
	}
	w.used = max(w.used, used)
	b.active[c.Task] = r
	w.history = append(w.history, r)
	w.rec.logf(w.name, "run %s/%d starts (fencing token %d, kind %s)", r.task, r.run, c.Fence, b.kind)
	time.AfterFunc(time.Duration(r.spec.Ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.boot == b && !r.stopping {
			w.endRun(b, r, "done")
		}
	})
	return http.StatusOK, ""
}

// extendLease moves the end of the lease of all that runs. It never shortens it.
func (b *workerBoot) extendLease(untilMs int64) {
	until := b.bootedAt.Add(time.Duration(untilMs-clockStart) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(b.leaseEnd) {
		b.leaseEnd = until
	}
}

func (w *worker) stop(b *workerBoot, c workerCall) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < b.fence {
		return http.StatusConflict, "fence"
	}
	b.fence = c.Fence
	b.highest[c.Task] = max(b.highest[c.Task], c.Run)
	if r := b.active[c.Task]; r != nil && r.run <= c.Run && !r.stopping {
		r.stopping = true
		w.rec.logf(w.name, "stop of %s/%d arrives", c.Task, c.Run)
		time.AfterFunc(w.stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.boot == b {
				w.endRun(b, r, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, b *workerBoot, c workerCall) {
	w.mu.Lock()
	if c.Fence < b.fence {
		w.mu.Unlock()
		w.answer(rw, b, http.StatusConflict, "fence")
		return
	}
	b.fence = c.Fence
	if c.UntilMs > 0 {
		b.extendLease(c.UntilMs)
	}
	b.acked = max(b.acked, c.Ack)
	for len(b.finished) > 0 && b.finished[0].number <= b.acked {
		b.finished = b.finished[1:]
	}
	changed, waits := b.changed, len(b.finished) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	active, finished := [][]any{}, [][]any{}
	for _, run := range b.activeInOrder() {
		percent := min(99, 100*time.Since(run.startedAt).Milliseconds()/max(1, run.spec.Ms))
		active = append(active, []any{run.task, run.run, "", percent, run.spec.CPU})
	}
	for i, row := range b.finished {
		if i < 500 {
			finished = append(finished, []any{row.number, row.task, row.run, row.how, ""})
		}
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": b.clockMs(), "active": active, "finished": finished})
}

// overlaps returns two runs of one task that were active at the same time for at least the given time, on
// workers that were up.
func overlaps(workers []*worker, atLeast time.Duration) error {
	type located struct {
		*workerRun
		at string
	}
	byTask := make(map[string][]located)
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.history {
			byTask[r.task] = append(byTask[r.task], located{r, w.name})
		}
		w.mu.Unlock()
	}
	now := time.Now()
	for task, all := range byTask {
		for i, a := range all {
			for _, b := range all[:i] {
				from, to := later(a.startedAt, b.startedAt), earlier(a.endOr(now), b.endOr(now))
				if to.Sub(from) >= atLeast {
					return fmt.Errorf("%w: runs %d at %s and %d at %s of task %s were active together for %v", errBroken, b.run, b.at, a.run, a.at, task, to.Sub(from).Round(time.Millisecond))
				}
			}
		}
	}
	return nil
}

func (r *workerRun) endOr(now time.Time) time.Time {
	if r.end == "" {
		return now
	}
	return r.endedAt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

var errNotReady = errors.New("the fleet did not get ready")
