package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the pages for workers.
const (
	holdMax        = time.Second           // hold_max_ms: longest lease
	stopTime       = 50 * time.Millisecond // stop_ms: longest time that a stop takes
	reportInterval = 1500 * time.Millisecond
	maxEndsListed  = 500
)

// workerRun is a task that the worker has begun.
type workerRun struct {
	task      string
	run       int64
	startedAt time.Time
	duration  time.Duration
	isStopped bool
	timer     *time.Timer
}

type workerEnd struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in for a worker: leases on its own clock, fence numbers, run numbers, and ends
// that are listed until they are acknowledged. The spec of a job is the run time of its tasks in
// milliseconds.
type worker struct {
	name     string
	kind     string
	rec      *record
	listener net.Listener
	reportTo string // address of the guard beside it

	mu         sync.Mutex
	id         string
	boots      int
	bootedAt   time.Time
	token      int64
	leaseEnd   time.Time
	leaseTimer *time.Timer
	active     map[string]*workerRun
	highest    map[string]int64
	ends       []workerEnd
	lastNumber int64
	seq        int64
	changed    chan struct{}
	isDown     bool
	isDraining bool
}

func newWorker(rec *record, name, kind, host string) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, kind: kind, rec: rec, listener: l}
	w.boot()
	go func() { _ = http.Serve(l, w) }() // ends with the process
	return w, nil
}

// boot starts the worker anew: with a new ID, nothing running and no fence number seen.
func (w *worker) boot() {
	w.boots++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.boots)
	w.bootedAt, w.token, w.leaseEnd = time.Now(), 0, time.Time{}
	w.active, w.highest = make(map[string]*workerRun), make(map[string]int64)
	w.ends, w.lastNumber, w.seq, w.isDown = nil, 0, 0, false
	w.changed = make(chan struct{})
	w.leaseTimer = time.AfterFunc(time.Hour, func() {})
	w.rec.add("worker %s boots as %s, kind %s", w.name, w.id, w.kind)
}

// crash ends everything that runs; the worker answers nothing until reboot is called.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.sorted() {
		w.end(r, "crashed")
	}
	w.isDown = true
	w.rec.add("worker %s crashes", w.name)
}

// reboot starts a crashed worker at the same address, as a machine of the given kind.
func (w *worker) reboot(kind string) {
	w.mu.Lock()
	w.kind = kind
	w.boot()
	w.mu.Unlock()
	w.report()
}

func (w *worker) clock() int64 { return 5000 + time.Since(w.bootedAt).Milliseconds() }

// keepReporting sends reports to the guard until the program ends.
func (w *worker) keepReporting() {
	for {
		w.report()
		time.Sleep(reportInterval)
	}
}

func (w *worker) report() {
	w.mu.Lock()
	if w.isDown {
		w.mu.Unlock()
		return
	}
	w.seq++
	id, fields := w.id, w.reportFields(w.seq)
	w.mu.Unlock()
	w.sendReport(id, fields)
}

// reportFields returns the fields of a report. mu must be held.
func (w *worker) reportFields(seq int64) map[string]any {
	state := "ready"
	if w.isDraining {
		state = "draining"
	}
	return map[string]any{
		"service": serviceName, "addr": w.listener.Addr().String(), "zone": zoneName, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": []string{w.kind, "r1-" + w.name},
		"clock_ms": w.clock(), "seq": seq,
	}
}

// drain reports that the worker is draining, and reports whether that was acknowledged.
func (w *worker) drain() bool {
	w.mu.Lock()
	w.isDraining = true
	w.seq++
	id, fields := w.id, w.reportFields(w.seq)
	w.mu.Unlock()
	status := w.sendReport(id, fields)
	w.rec.add("worker %s reports draining, the answer is %d", id, status)
	return status == http.StatusOK
}

// sendReport sends a report to the guard and returns the status of the answer, 0 for none.
func (w *worker) sendReport(id string, fields map[string]any) int {
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // a plain map
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+w.reportTo+"/wigeontray/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is our own
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

type workerRequest struct {
	Task    string `json:"task"`
	Run     int64  `json:"run_id"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Token   int64  `json:"fencing_token"`
	Ack     int64  `json:"ack_cursor"`
	WaitMs  int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var request workerRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.isDown {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // a crashed worker resets its channels
	}
	status, reason := w.execute(r, &request)
	boots := w.boots
	w.mu.Unlock()
	if status == http.StatusOK && strings.HasSuffix(r.URL.Path, "/hold") {
		w.awaitEnd(r, &request)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown || w.boots != boots {
		panic(http.ErrAbortHandler)
	}
	w.respond(rw, status, reason)
}

// execute carries out a request. mu must be held.
func (w *worker) execute(r *http.Request, request *workerRequest) (int, string) {
	if instance := r.Header.Get("Expect-Instance"); instance != "" && instance != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if request.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = request.Token
	switch {
	case strings.HasSuffix(r.URL.Path, "/run-start"):
		return w.start(request)
	case strings.HasSuffix(r.URL.Path, "/run-stop"):
		w.stop(request)
	case strings.HasSuffix(r.URL.Path, "/hold"):
		w.extendLease(request.UntilMs)
		for len(w.ends) > 0 && w.ends[0].number <= request.Ack {
			w.ends = w.ends[1:]
		}
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (w *worker) start(request *workerRequest) (int, string) {
	existing := w.active[request.Task]
	switch {
	case request.UntilMs <= w.clock():
		return http.StatusConflict, "late"
	case existing != nil && existing.run == request.Run:
		w.extendLease(request.UntilMs)
		return http.StatusOK, ""
	case existing != nil || request.Run <= w.highest[request.Task]:
		w.extendLease(request.UntilMs)
		return http.StatusConflict, "old"
	}
	ms, err := strconv.Atoi(request.Spec)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	started := &workerRun{task: request.Task, run: request.Run, startedAt: time.Now(), duration: time.Duration(ms) * time.Millisecond}
	w.active[request.Task] = started
	w.extendLease(request.UntilMs)
	started.timer = time.AfterFunc(started.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[started.task] == started && !started.isStopped {
			w.end(started, "done")
		}
	})
	w.rec.start(w, started)
	return http.StatusOK, ""
}

// stop ends a run after stopTime. A run that is not there yet is rejected from now on.
func (w *worker) stop(request *workerRequest) {
	r := w.active[request.Task]
	if r == nil || r.run > request.Run {
		w.highest[request.Task] = max(w.highest[request.Task], request.Run)
		return
	}
	if r.isStopped {
		return
	}
	r.isStopped = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[r.task] == r {
			w.end(r, "stopped")
		}
	})
}

func (w *worker) extendLease(untilMs int64) {
	until := w.bootedAt.Add(time.Duration(untilMs-5000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if !until.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = until
	w.leaseTimer.Stop()
	boots := w.boots
	w.leaseTimer = time.AfterFunc(time.Until(until), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.boots != boots || time.Now().Before(w.leaseEnd) {
			return
		}
		for _, r := range w.sorted() {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.active, r.task)
	r.timer.Stop()
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastNumber++
	w.ends = append(w.ends, workerEnd{number: w.lastNumber, task: r.task, run: r.run, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.end(w, r, how)
}

// sorted returns the active runs by task. mu must be held.
func (w *worker) sorted() []*workerRun {
	all := []*workerRun{}
	for _, r := range w.active {
		all = append(all, r)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].task < all[b].task })
	return all
}

func (w *worker) awaitEnd(r *http.Request, request *workerRequest) {
	w.mu.Lock()
	pending, changed := len(w.ends) > 0, w.changed
	w.mu.Unlock()
	if pending {
		return
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(request.WaitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// respond writes a response with both lists. mu must be held.
func (w *worker) respond(rw http.ResponseWriter, status int, reason string) {
	active, ends := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		percent := min(99, int64(100*time.Since(r.startedAt)/r.duration))
		active = append(active, []any{r.task, r.run, "", percent, 900})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "active": active, "finished": ends}
	if reason != "" {
		body["reason"] = reason
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // a plain map
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}
