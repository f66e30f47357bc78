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

// A stated time is multiplied by timeSlack, and leastBound is the least bound of
// any answer: the traces know no other load on the machine.
const (
	timeSlack  = 2
	leastBound = 5 * time.Second
)

// TestTracesOnProcesses plays the traces that are written for both engines. A
// trace that cuts links between processes, or that generates load, is for the
// explicit clock only: see player.play.
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
			newPlayer(t, trace).run()
		})
	}
}

// player plays a trace with real processes in real time.
type player struct {
	*fleet
	trace   *replay.Trace
	guards  map[string]*process
	drained []*process
	tickets map[string][]string // by entry, drawn while it answers
	jobs    map[string]*tracedJob
	calls   sync.WaitGroup

	mu     sync.Mutex // guards what follows
	faults []string
	notRun map[string]bool // tasks of which a caller was told "not run"
	ran    map[string]bool // tasks of which a caller was told that they ran
}

// tracedJob is a job of the trace under its identity.
type tracedJob struct {
	key     string
	request *replay.Request
}

func newPlayer(t *testing.T, trace *replay.Trace) *player {
	p := &player{
		fleet: newFleet(t), trace: trace, guards: make(map[string]*process), tickets: make(map[string][]string),
		jobs: make(map[string]*tracedJob), notRun: make(map[string]bool), ran: make(map[string]bool),
	}
	p.Assert(trace.Loads, qt.HasLen, 0, qt.Commentf("generated load is for the explicit clock"))
	for _, e := range trace.Entries {
		p.startEntry(e.Name)
	}
	for _, w := range trace.Workers {
		p.slots[w.Name] = w.Slots
		p.guards[w.Name] = p.worker(w.Name)
	}
	p.settled()
	return p
}

// startEntry draws a ticket for each submission in advance, since the entry may
// be frozen by the time of it.
func (p *player) startEntry(name string) {
	e := p.entry(name)
	p.tickets[name] = nil
	for _, ev := range p.trace.Events {
		if ev.Op == replay.OpSubmit && ev.Other == name {
			p.tickets[name] = append(p.tickets[name], p.ticket(e))
		}
	}
}

// run plays the events in order, none before its time, and checks the whole.
func (p *player) run() {
	began := time.Now()
	for _, ev := range p.trace.Events {
		time.Sleep(time.Until(began.Add(ev.At))) // the clock of the trace
		p.play(&ev)
	}
	p.calls.Wait()
	for _, g := range p.drained {
		p.Check(g.Wait(), qt.IsNil, qt.Commentf("a drained guard ends well"))
	}
	p.starts() // fails if a task started twice
	p.Check(p.faults, qt.HasLen, 0)
	started := p.started()
	for task := range p.notRun {
		p.Check(started[task], qt.Equals, 0, qt.Commentf("%s started, and its caller was told that it did not", task))
	}
	for task := range p.ran {
		p.Check(started[task], qt.Equals, 1, qt.Commentf("%s never started, and its caller was told that it did", task))
	}
}

func (p *player) play(ev *replay.Event) {
	switch ev.Op {
	case replay.OpSubmit:
		stock := p.tickets[ev.Other]
		p.tickets[ev.Other] = stock[1:]
		p.jobs[ev.Target] = &tracedJob{key: stock[0], request: ev.Request}
		p.submit(ev)
	case replay.OpResubmit:
		p.submit(ev)
	case replay.OpCancel:
		p.cancel(ev)
	case replay.OpKill:
		p.killed(ev.Target)
	case replay.OpRestart:
		p.restart(ev.Target)
	case replay.OpPause:
		p.process(ev.Target).Signal(syscall.SIGSTOP)
	case replay.OpResume:
		p.process(ev.Target).Signal(syscall.SIGCONT)
	case replay.OpDrain:
		p.process(ev.Target).Signal(syscall.SIGTERM)
		p.drained = append(p.drained, p.process(ev.Target))
	case replay.OpStoreDown, replay.OpStoreUp:
		p.kv.SetDown(ev.Op == replay.OpStoreDown)
	default:
		p.t.Fatalf("%s cannot be done to real processes", ev.Op)
	}
}

func (p *player) process(name string) *process {
	if e := p.entries[name]; e != nil {
		return e.process
	}
	return p.guards[name]
}

// killed ends a process. A dead guard leaves the lists of entries before the
// trace goes on, else its successor could not be told from it.
func (p *player) killed(name string) {
	p.process(name).Kill()
	if _, ok := p.entries[name]; ok {
		delete(p.entries, name)
		return
	}
	for id, e := range p.entries {
		p.eventually(id+" misses guard "+name, func() bool { return !p.lists(e, name) })
	}
}

func (p *player) restart(name string) {
	if _, ok := p.guards[name]; ok {
		p.guards[name] = p.guard(name, p.urls[name])
		return
	}
	p.startEntry(name)
}

// reply is the part of an answer that a trace speaks of.
type reply struct {
	status  int
	State   string
	Results []struct{ Body struct{ Task string } }
	Error   struct{ Kind, Ran, Advice string }
	// Failures are the tasks without a result.
	Failures []struct {
		Task int
		Ran  string
	}
}

// submit sends a job in the background and checks what comes of it.
func (p *player) submit(ev *replay.Event) {
	j, e, began := p.jobs[ev.Target], p.entries[ev.Other], time.Now()
	p.calls.Go(func() {
		r, err := p.answer(j, e, ev.Want)
		if fault := p.judge(ev, j, r, err, time.Since(began)); fault != "" {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.faults = append(p.faults, fmt.Sprintf("%s of %s at %v: %s", ev.Op, ev.Target, ev.At, fault))
		}
	})
}

// answer asks again while the advice is to, unless the trace states that very
// answer, as a caller would. An error is a connection that broke.
func (p *player) answer(j *tracedJob, e *entryProcess, want *replay.Want) (*reply, error) {
	for deadline := time.Now().Add(patience); ; time.Sleep(100 * time.Millisecond) {
		r, err := p.post(j, e)
		if err != nil || r.Error.Advice != "same" || want != nil && slices.Contains(kinds(want), r.Error.Kind) || time.Now().After(deadline) {
			return r, err
		}
	}
}

func (p *player) post(j *tracedJob, e *entryProcess) (*reply, error) {
	body := client.Job{Service: "reserva", DeadlineMs: j.request.Deadline.Milliseconds(), DeclaredMs: j.request.Declared.Milliseconds()}
	for _, d := range j.request.Tasks {
		body.Tasks = append(body.Tasks, json.RawMessage(fmt.Sprintf(`{"sleep_ms":%d}`, d.Milliseconds())))
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return p.call(token, http.MethodPost, e.url()+"/v1/jobs", j.key, bytes.NewReader(b))
}

// cancel withdraws a job; what its caller is told is judged at the submission.
func (p *player) cancel(ev *replay.Event) {
	url := p.entries[ev.Other].url() + "/v1/jobs/" + p.jobs[ev.Target].key
	p.calls.Go(func() {
		if _, err := p.call(token, http.MethodDelete, url, "", nil); err != nil {
			p.t.Errorf("cancel of %s: %v", ev.Target, err)
		}
	})
}

// call makes one call of a member, and does not repeat it.
func (f *fleet) call(token, method, url, key string, body io.Reader) (*reply, error) {
	req, err := http.NewRequestWithContext(f.t.Context(), method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Timeout: patience}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &reply{status: resp.StatusCode}
	return r, json.NewDecoder(resp.Body).Decode(r)
}

// judge compares an answer with what the trace states, and notes its claims.
func (p *player) judge(ev *replay.Event, j *tracedJob, r *reply, err error, took time.Duration) string {
	want := ev.Want
	if err != nil {
		if want == nil || want.Lost {
			return ""
		}
		return fmt.Sprintf("no answer: %v", err)
	}
	if fault := p.claims(j, r); fault != "" || want == nil {
		return fault
	}
	kind := "ok"
	if r.State != "complete" {
		kind = r.Error.Kind
	}
	switch {
	case !slices.Contains(kinds(want), kind):
		return fmt.Sprintf("answered %+v, want %v", *r, kinds(want))
	case kind != "ok" && !want.AnyRan && r.Error.Ran != want.Ran.String():
		return fmt.Sprintf("answered %+v, want ran %v", *r, want.Ran)
	case want.Before > 0 && took > max(timeSlack*want.Before, leastBound):
		return fmt.Sprintf("answered after %v, want %v", took, want.Before)
	}
	return ""
}

// claims notes what an answer says of each task; a whole one has each result in
// its place.
func (p *player) claims(j *tracedJob, r *reply) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := func(task int) string { return fmt.Sprintf("ayni/%s/%d", j.key, task) }
	note := func(task int, ran string) {
		if ran == errkind.RanNo.String() {
			p.notRun[name(task)] = true
		}
		if ran == errkind.RanYes.String() {
			p.ran[name(task)] = true
		}
	}
	for _, f := range r.Failures {
		note(f.Task, f.Ran)
	}
	if r.Error.Ran == errkind.RanNo.String() {
		for i := range j.request.Tasks {
			note(i, r.Error.Ran)
		}
	}
	if r.State == "complete" && len(r.Results) != len(j.request.Tasks) {
		return fmt.Sprintf("%d of %d results", len(r.Results), len(j.request.Tasks))
	}
	for i, result := range r.Results {
		if result.Body.Task != name(i) {
			return fmt.Sprintf("result %d is of %q", i, result.Body.Task)
		}
	}
	return ""
}

// kinds names the outcomes that a trace allows.
func kinds(w *replay.Want) []string {
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
