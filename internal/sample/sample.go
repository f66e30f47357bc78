// Package sample implements a sample upstream: an http.Handler that takes the
// time given in each task's body, counts how often every task was started, and
// can inject the failures of real upstreams.
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

// TaskHeader is the request header that identifies the task, as
// member/key/task.
const TaskHeader = "Wigeontray-Task"

// HealthPath is the path of the health check. Its status is 200 while the
// upstream is healthy, else 503; see SetHealthy.
const HealthPath = "/healthz"

const maxBodySize = 8 << 20 // bytes of a request body

// Fault is a failure that the upstream injects.
type Fault string

// Faults. FaultHang lasts until the caller gives up or the upstream is closed.
const (
	FaultNone  Fault = ""
	FaultFail  Fault = "fail"  // status 500
	FaultHalf  Fault = "half"  // half of the announced body, then the connection closes
	FaultHang  Fault = "hang"  // no response
	FaultClose Fault = "close" // the connection closes without a response
)

// Task is the body of a request. The service time in milliseconds is SleepMs
// plus a value drawn from an exponential distribution with mean ExpMs.
type Task struct {
	SleepMs float64         `json:"sleep_ms,omitempty"`
	ExpMs   float64         `json:"exp_ms,omitempty"`
	Fault   Fault           `json:"fault,omitempty"` // injected for this task only
	Echo    json.RawMessage `json:"echo,omitempty"`  // returned in the response
}

// Response is the JSON body of a response with status 200.
type Response struct {
	Task    string          `json:"task"`           // value of TaskHeader
	Worker  string          `json:"worker"`         // name given to New
	SleptMs int64           `json:"slept_ms"`       // service time in milliseconds
	Echo    json.RawMessage `json:"echo,omitempty"` // as in the task
}

// Upstream is a sample upstream. It serves HealthPath and treats a POST to any
// other path as a task.
type Upstream struct {
	worker string

	mu          sync.Mutex // guards the fields below
	rand        *rand.Rand
	startCounts map[string]int
	running     int
	maxRunning  int
	fault       Fault
	unhealthy   bool
}

// New returns an upstream for the named worker. The seed makes its service
// times reproducible.
func New(worker string, seed uint64) *Upstream {
	return &Upstream{worker: worker, rand: rand.New(rand.NewPCG(seed, 0)), startCounts: make(map[string]int)}
}

// SetFault makes every later task fail in the given way.
func (u *Upstream) SetFault(f Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = f
}

// SetHealthy sets whether HealthPath reports the upstream as healthy.
func (u *Upstream) SetHealthy(healthy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unhealthy = !healthy
}

// StartCounts returns how often each task was started, keyed by the value of
// TaskHeader.
func (u *Upstream) StartCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.startCounts))
	for task, n := range u.startCounts {
		out[task] = n
	}
	return out
}

// RepeatedTasks returns the tasks that were started more than once.
func (u *Upstream) RepeatedTasks() []string {
	var out []string
	for task, n := range u.StartCounts() {
		if n > 1 {
			out = append(out, task)
		}
	}
	return out
}

// MaxConcurrency returns the highest number of tasks that ran concurrently.
func (u *Upstream) MaxConcurrency() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
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
	unhealthy := u.unhealthy
	u.mu.Unlock()
	if unhealthy {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (u *Upstream) serveTask(w http.ResponseWriter, r *http.Request) {
	taskName := r.Header.Get(TaskHeader)
	task, err := readTask(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, serviceTime := u.beginTask(taskName, &task)
	defer u.endTask()
	if !pause.For(r.Context(), serviceTime) {
		return
	}
	if fault != FaultNone {
		respondWithFault(w, r, fault)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{Task: taskName, Worker: u.worker, SleptMs: serviceTime.Milliseconds(), Echo: task.Echo})
}

// readTask decodes a request body. An empty body is a task with a service time
// of 0.
func readTask(r *http.Request) (Task, error) {
	var task Task
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
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

func (u *Upstream) beginTask(taskName string, task *Task) (Fault, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startCounts[taskName]++
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	serviceMs := task.SleepMs + task.ExpMs*u.rand.ExpFloat64()
	fault := task.Fault
	if u.fault != FaultNone {
		fault = u.fault
	}
	return fault, time.Duration(serviceMs * float64(time.Millisecond))
}

func (u *Upstream) endTask() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// respondWithFault ends a request with the given fault. A panic with
// http.ErrAbortHandler closes the connection.
func respondWithFault(w http.ResponseWriter, r *http.Request, fault Fault) {
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
