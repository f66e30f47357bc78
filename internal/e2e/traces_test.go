package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/client"
	"wigeontray/internal/errkind"
	"wigeontray/internal/replay"
)

// The time limits of a trace are multiplied by timeBoundFactor and raised to at least
// minTimeBound, because the traces take no account of other load on the machine.
const (
	timeBoundFactor = 2
	minTimeBound    = 5 * time.Second
)

// TestTracesOnProcesses runs the traces that are written for both engines: the replay with a
// simulated clock, and real processes. A trace that partitions links between processes or generates
// load works with the simulated clock only: see traceRunner.apply.
func TestTracesOnProcesses(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../../traces/process-*.trace")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 4, qt.IsTrue)
	for _, file := range files {
		trace, err := replay.LoadFile(file)
		qt.Assert(t, err, qt.IsNil)
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			newTraceRunner(t, trace).run()
		})
	}
}

// traceRunner runs a trace with real processes in real time.
type traceRunner struct {
	*fleet
	trace         *replay.Trace
	guards        map[string]*process
	drainedGuards []*process
	tickets       map[string][]string // unused tickets by entry, fetched while it responds
	jobs          map[string]*submittedJob
	pendingCalls  sync.WaitGroup

	mu             sync.Mutex // guards the fields below
	violations     []string
	reportedNotRun map[string]bool // tasks reported to a caller as not run
	reportedRan    map[string]bool // tasks reported to a caller as run
}

// submittedJob is a job of the trace with its idempotency key.
type submittedJob struct {
	key     string
	request *replay.Request
}

func newTraceRunner(t *testing.T, trace *replay.Trace) *traceRunner {
	tr := &traceRunner{
		fleet: newFleet(t), trace: trace, guards: make(map[string]*process), tickets: make(map[string][]string),
		jobs: make(map[string]*submittedJob), reportedNotRun: make(map[string]bool), reportedRan: make(map[string]bool),
	}
	tr.Assert(trace.Loads, qt.HasLen, 0, qt.Commentf("generated load requires the simulated clock"))
	for _, e := range trace.Entries {
		tr.startEntryWithTickets(e.Name)
	}
	for _, w := range trace.Workers {
		tr.slots[w.Name] = w.Slots
		tr.guards[w.Name] = tr.startWorker(w.Name)
	}
	tr.waitForRosters()
	return tr
}

// startEntryWithTickets starts an entry and fetches a ticket for each submission to it in advance,
// since the entry may be paused by the time of the submission.
func (tr *traceRunner) startEntryWithTickets(name string) {
	e := tr.startEntry(name)
	tr.tickets[name] = nil
	for _, ev := range tr.trace.Events {
		if ev.Op == replay.OpSubmit && ev.Other == name {
			tr.tickets[name] = append(tr.tickets[name], tr.fetchTicket(e))
		}
	}
}

// run applies the events in order, none before its time, waits for all calls and drained guards,
// and compares the reported outcomes with the task starts at the upstreams.
func (tr *traceRunner) run() {
	start := time.Now()
	for _, ev := range tr.trace.Events {
		time.Sleep(time.Until(start.Add(ev.At))) // event times are relative to the start
		tr.apply(&ev)
	}
	tr.pendingCalls.Wait()
	for _, g := range tr.drainedGuards {
		tr.Check(g.Wait(), qt.IsNil, qt.Commentf("exit status of a drained guard"))
	}
	tr.countStartedTasks() // fails if any task started twice
	tr.Check(tr.violations, qt.HasLen, 0)
	startsByTask := tr.startsByTask()
	for task := range tr.reportedNotRun {
		tr.Check(startsByTask[task], qt.Equals, 0, qt.Commentf("%s started but was reported as not run", task))
	}
	for task := range tr.reportedRan {
		tr.Check(startsByTask[task], qt.Equals, 1, qt.Commentf("%s never started but was reported as run", task))
	}
}

// apply carries out one event. It fails the test for an event that real processes do not support,
// such as a network partition.
func (tr *traceRunner) apply(ev *replay.Event) {
	switch ev.Op {
	case replay.OpSubmit:
		unused := tr.tickets[ev.Other]
		tr.tickets[ev.Other] = unused[1:]
		tr.jobs[ev.Target] = &submittedJob{key: unused[0], request: ev.Request}
		tr.submitAndCheck(ev)
	case replay.OpResubmit:
		tr.submitAndCheck(ev)
	case replay.OpCancel:
		tr.cancelJob(ev)
	case replay.OpKill:
		tr.killProcess(ev.Target)
	case replay.OpRestart:
		tr.restartProcess(ev.Target)
	case replay.OpPause:
		tr.process(ev.Target).Signal(syscall.SIGSTOP)
	case replay.OpResume:
		tr.process(ev.Target).Signal(syscall.SIGCONT)
	case replay.OpDrain:
		tr.process(ev.Target).Signal(syscall.SIGTERM)
		tr.drainedGuards = append(tr.drainedGuards, tr.process(ev.Target))
	case replay.OpStoreDown, replay.OpStoreUp:
		tr.kv.SetDown(ev.Op == replay.OpStoreDown)
	default:
		tr.t.Fatalf("event %s is not supported with real processes", ev.Op)
	}
}

func (tr *traceRunner) process(name string) *process {
	if e := tr.entries[name]; e != nil {
		return e.process
	}
	return tr.guards[name]
}

// killProcess kills a process. After a guard is killed, it waits until no entry lists the guard;
// otherwise the guard could not be distinguished from its replacement.
func (tr *traceRunner) killProcess(name string) {
	tr.process(name).Kill()
	if _, ok := tr.entries[name]; ok {
		delete(tr.entries, name)
		return
	}
	for id, e := range tr.entries {
		tr.eventually(id+" has removed guard "+name, func() bool { return !tr.usesGuard(e, name) })
	}
}

func (tr *traceRunner) restartProcess(name string) {
	if _, ok := tr.guards[name]; ok {
		tr.guards[name] = tr.startGuard(name, tr.urls[name])
		return
	}
	tr.startEntryWithTickets(name)
}

// jobReply holds the fields of an answer that a trace can check.
type jobReply struct {
	status  int
	State   string
	Results []struct{ Body struct{ Task string } }
	Error   struct{ Kind, Ran, Advice string }
	// Failures lists the tasks without a result.
	Failures []struct {
		Task int
		Ran  string
	}
}

// submitAndCheck submits a job in the background and records a violation if the outcome differs
// from the trace.
func (tr *traceRunner) submitAndCheck(ev *replay.Event) {
	j, e, start := tr.jobs[ev.Target], tr.entries[ev.Other], time.Now()
	tr.pendingCalls.Go(func() {
		r, err := tr.submitUntilFinal(j, e, ev.ExpectedOutcome)
		if violation := tr.checkReply(ev, j, r, err, time.Since(start)); violation != "" {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.violations = append(tr.violations, fmt.Sprintf("%s of %s at %v: %s", ev.Op, ev.Target, ev.At, violation))
		}
	})
}

// submitUntilFinal repeats a submission while the answer advises a retry with the same key, as a
// caller does, unless the trace expects that answer. An error means that the connection broke.
func (tr *traceRunner) submitUntilFinal(j *submittedJob, e *entryProcess, want *replay.ExpectedOutcome) (*jobReply, error) {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
		r, err := tr.postJob(j, e)
		if err != nil || r.Error.Advice != "same" || want != nil && slices.Contains(allowedKinds(want), r.Error.Kind) || time.Now().After(deadline) {
			return r, err
		}
	}
}

// postJob submits the job once.
func (tr *traceRunner) postJob(j *submittedJob, e *entryProcess) (*jobReply, error) {
	body := client.Job{Service: "reserva", DeadlineMs: j.request.Deadline.Milliseconds(), DeclaredMs: j.request.Declared.Milliseconds()}
	for _, d := range j.request.Tasks {
		body.Tasks = append(body.Tasks, json.RawMessage(fmt.Sprintf(`{"sleep_ms":%d}`, d.Milliseconds())))
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return tr.sendRequest(memberToken, http.MethodPost, e.url()+"/v1/jobs", j.key, bytes.NewReader(b))
}

// cancelJob cancels a job in the background. It checks no outcome: submitAndCheck does this for the
// answer that the submitter gets.
func (tr *traceRunner) cancelJob(ev *replay.Event) {
	url := tr.entries[ev.Other].url() + "/v1/jobs/" + tr.jobs[ev.Target].key
	tr.pendingCalls.Go(func() {
		if _, err := tr.sendRequest(memberToken, http.MethodDelete, url, "", nil); err != nil {
			tr.t.Errorf("cancel of %s: %v", ev.Target, err)
		}
	})
}

// sendRequest sends one request of a member without retries. key is the idempotency key of a
// submission, empty for other requests.
func (f *fleet) sendRequest(token, method, url, key string, body io.Reader) (*jobReply, error) {
	req, err := http.NewRequestWithContext(f.t.Context(), method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Timeout: waitTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &jobReply{status: resp.StatusCode}
	return r, json.NewDecoder(resp.Body).Decode(r)
}

// checkReply compares an answer with the trace, records which tasks it reports as run or not run, and
// returns a description of the violation, or an empty string.
func (tr *traceRunner) checkReply(ev *replay.Event, j *submittedJob, r *jobReply, err error, took time.Duration) string {
	want := ev.ExpectedOutcome
	if err != nil {
		if want == nil || want.ConnectionLost {
			return ""
		}
		return fmt.Sprintf("no answer: %v", err)
	}
	if violation := tr.recordReports(j, r); violation != "" || want == nil {
		return violation
	}
	kind := "ok"
	if r.State != "complete" {
		kind = r.Error.Kind
	}
	switch {
	case !slices.Contains(allowedKinds(want), kind):
		return fmt.Sprintf("got %+v, want %v", *r, allowedKinds(want))
	case kind != "ok" && !want.AnyRan && r.Error.Ran != want.Ran.String():
		return fmt.Sprintf("got %+v, want ran %v", *r, want.Ran)
	case want.Before > 0 && took > max(timeBoundFactor*want.Before, minTimeBound):
		return fmt.Sprintf("got the answer after %v, want at most %v", took, want.Before)
	}
	return ""
}

// recordReports records which tasks an answer reports as run or not run. In a complete answer it
// also checks that every result is present and in the position of its task.
func (tr *traceRunner) recordReports(j *submittedJob, r *jobReply) string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	taskName := func(task int) string { return fmt.Sprintf("ayni/%s/%d", j.key, task) }
	report := func(task int, reportedRan string) {
		if reportedRan == errkind.RanNo.String() {
			tr.reportedNotRun[taskName(task)] = true
		}
		if reportedRan == errkind.RanYes.String() {
			tr.reportedRan[taskName(task)] = true
		}
	}
	for _, f := range r.Failures {
		report(f.Task, f.Ran)
	}
	if r.Error.Ran == errkind.RanNo.String() {
		for i := range j.request.Tasks {
			report(i, r.Error.Ran)
		}
	}
	if r.State == "complete" && len(r.Results) != len(j.request.Tasks) {
		return fmt.Sprintf("got %d results for %d tasks", len(r.Results), len(j.request.Tasks))
	}
	for i, result := range r.Results {
		if result.Body.Task != taskName(i) {
			return fmt.Sprintf("result %d belongs to task %q", i, result.Body.Task)
		}
	}
	return ""
}

// allowedKinds returns the names of the outcomes that a trace allows; "ok" stands for no error.
func allowedKinds(w *replay.ExpectedOutcome) []string {
	var out []string
	for _, k := range w.Kinds {
		if k == errkind.None {
			out = append(out, "ok")
		} else {
			out = append(out, k.String())
		}
	}
	return out
}
