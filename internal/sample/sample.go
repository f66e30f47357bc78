// Package sample owns a sample upstream: an http.Handler that takes as long as
// each task's body says, counts how often every task was started, and can be
// made to fail in the ways that real upstreams do.
package sample

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wigeontray/internal/pause"
)

// TaskHeader names the task of a request, as member/key/task.
const TaskHeader = "Wigeontray-Task"

// HealthPath answers 200 while the upstream takes requests, else 503.
const HealthPath = "/healthz"

const maxBody = 8 << 20 // bytes of a request

// Fault is one way in which the upstream misbehaves.
type Fault string

// Faults. FaultHang lasts until the caller gives up or the upstream is closed.
const (
	FaultNone  Fault = ""
	FaultFail  Fault = "fail"  // status 500
	FaultHalf  Fault = "half"  // half of the announced body, then the connection ends
	FaultHang  Fault = "hang"  // no answer
	FaultClose Fault = "close" // the connection ends without an answer
)

// Task is the body of a request. The service time is SleepMs, plus a time drawn
// from an exponential distribution with mean ExpMs, in milliseconds.
type Task struct {
	SleepMs float64         `json:"sleep_ms,omitempty"`
	ExpMs   float64         `json:"exp_ms,omitempty"`
	Fault   Fault           `json:"fault,omitempty"` // for this task alone
	Echo    json.RawMessage `json:"echo,omitempty"`  // returned in the answer
}

// Answer is the body of a successful response.
type Answer struct {
	Task    string          `json:"task"`
	Worker  string          `json:"worker"`
	SleptMs int64           `json:"slept_ms"`
	Echo    json.RawMessage `json:"echo,omitempty"`
}

// Upstream is a sample upstream. It serves HealthPath, and takes a POST on any
// other path as a task.
type Upstream struct {
	worker string

	mu      sync.Mutex // guards what follows
	rand    *rand.Rand
	starts  map[string]int
	running int
	peak    int
	fault   Fault
	sick    bool
}

// New returns an upstream on the named worker. seed makes its service times
// repeatable.
func New(worker string, seed uint64) *Upstream {
	return &Upstream{worker: worker, rand: rand.New(rand.NewPCG(seed, 0)), starts: make(map[string]int)}
}

// SetFault makes every task from now on fail in the given way.
func (u *Upstream) SetFault(f Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = f
}

// SetHealthy sets what HealthPath answers.
func (u *Upstream) SetHealthy(healthy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sick = !healthy
}

// Starts copies how often each task was started, by TaskHeader.
func (u *Upstream) Starts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.starts))
	for task, n := range u.starts {
		out[task] = n
	}
	return out
}

// Twice lists the tasks that were started more than once.
func (u *Upstream) Twice() []string {
	var out []string
	for task, n := range u.Starts() {
		if n > 1 {
			out = append(out, task)
		}
	}
	return out
}

// Peak tells how many tasks ran at once at most.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == HealthPath:
		u.serveHealth(w)
	case r.Method != http.MethodPost:
		http.Error(w, "post a task", http.StatusMethodNotAllowed)
	default:
		u.serveTask(w, r)
	}
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	sick := u.sick
	u.mu.Unlock()
	if sick {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (u *Upstream) serveTask(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(TaskHeader)
	task, err := readTask(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, length := u.begin(name, &task)
	defer u.end()
	if !pause.For(r.Context(), length) {
		return
	}
	if fault != FaultNone {
		misbehave(w, r, fault)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Task: name, Worker: u.worker, SleptMs: length.Milliseconds(), Echo: task.Echo})
}

// readTask reads a body; an empty one is a task that takes no time.
func readTask(r *http.Request) (Task, error) {
	var task Task
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return task, fmt.Errorf("read task: %w", err)
	}
	if len(body) == 0 {
		return task, nil
	}
	if err := json.Unmarshal(body, &task); err != nil {
		return task, fmt.Errorf("read task: %w", err)
	}
	return task, nil
}

func (u *Upstream) begin(name string, task *Task) (Fault, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts[name]++
	u.running++
	u.peak = max(u.peak, u.running)
	length := task.SleepMs + task.ExpMs*u.rand.ExpFloat64()
	fault := task.Fault
	if u.fault != FaultNone {
		fault = u.fault
	}
	return fault, time.Duration(length * float64(time.Millisecond))
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// misbehave ends a request in the way that the fault says. A panic with
// http.ErrAbortHandler is how a handler ends its connection.
func misbehave(w http.ResponseWriter, r *http.Request, fault Fault) {
	switch fault {
	case FaultFail:
		http.Error(w, "the upstream was told to fail", http.StatusInternalServerError)
	case FaultHalf:
		const half = `{"task":"cut`
		w.Header().Set("Content-Length", strconv.Itoa(2*len(half)))
		_, _ = io.WriteString(w, half)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
	case FaultClose:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, fmt.Sprintf("unknown fault %q", fault), http.StatusBadRequest)
	}
}
