package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"wigeontray/internal/operator"
	"wigeontray/internal/record"
)

func TestJobThroughProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	e := f.startEntry("entry-a")
	f.startWorker("worker-1")
	a := <-f.submitAsync(newClient(e), f.fetchTicket(e), newJob(10, 3))
	f.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Body))
	f.Assert(a.Parsed.Results, qt.HasLen, 3)
	f.Assert(f.countStartedTasks(), qt.Equals, 3)
}

// Guards against a lost result or a second run when an entry is killed after its task started at the
// upstream. The caller repeats the submission with the same key at another entry and must get the
// result of the first run, which the guard still holds.
func TestEntryKilledAfterTaskStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	f.startWorker("worker-1")
	f.waitForRosters()
	key := f.fetchTicket(a)
	first := f.submitAsync(newClient(a, b), key, newJob(500, 1))
	f.eventually("the task starts", func() bool { return f.countStartedTasks() == 1 })
	a.Kill()
	answer := <-first
	f.Assert(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	f.Assert(f.countStartedTasks(), qt.Equals, 1)
}

// Guards against an unknown outcome when an entry is killed before a job reaches it. Another entry must
// establish that the job never ran and answer not_run, so that the caller may submit a new
// job at once.
func TestEntryKilledBeforeTaskStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	f.startWorker("worker-1")
	f.waitForRosters()
	key := f.fetchTicket(a)
	a.Kill()
	answer := <-f.submitAsync(newClient(b), key, newJob(10, 1))
	f.Assert(answer.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", answer.Body))
	f.Check(answer.Parsed.Error.Kind, qt.Equals, "not_run")
	f.Check(answer.Parsed.Error.Ran, qt.Equals, "no")
	again := <-f.submitAsync(newClient(b), f.fetchTicket(b), newJob(10, 1))
	f.Assert(again.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", again.Body))
	f.Assert(f.countStartedTasks(), qt.Equals, 1)
}

// Guards against a start by an entry without a lease. The entry is paused beyond its lease
// with an unread job in its socket, and resumes after the others have removed it and reported "not
// run" to the caller. Guards must reject what it then sends.
func TestEntryPausedPastLease(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	f.startWorker("worker-1")
	f.waitForRosters()
	key := f.fetchTicket(a)
	a.Signal(syscall.SIGSTOP)
	delayed := f.submitAsync(newClient(a, b), key, newJob(10, 1))
	answer := <-f.submitAsync(newClient(b), key, newJob(10, 1))
	f.Assert(answer.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", answer.Body))
	reportedKind := answer.Parsed.Error.Kind
	a.Signal(syscall.SIGCONT)
	f.eventually("the paused entry exits after it resumes", func() bool { return f.adminStatus(a, "/healthz") == 0 })
	<-delayed
	if reportedKind == "not_run" {
		f.Assert(f.countStartedTasks(), qt.Equals, 0)
	}
	f.Assert(f.countStartedTasks() <= 1, qt.IsTrue)
}

// Guards against a wrong outcome when a worker's VM fails during a task. The caller must get an unknown
// outcome, and the next job must run on the other worker.
func TestGuardKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	e := f.startEntry("entry-a")
	g := f.startWorker("worker-1")
	first := f.submitAsync(newClient(e), f.fetchTicket(e), newJob(5000, 1))
	f.eventually("the task starts", func() bool { return f.countStartedTasks() == 1 })
	f.startWorker("worker-2")
	g.Kill()
	a := <-first
	f.Assert(a.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", a.Body))
	f.Assert(a.Parsed.Error.Kind, qt.Equals, "worker_lost")
	f.Assert(a.Parsed.Error.Ran, qt.Equals, "unknown")
	a = <-f.submitAsync(newClient(e), f.fetchTicket(e), newJob(10, 1))
	f.Assert(a.Status, qt.Equals, http.StatusOK)
}

// Guards against requests that are dropped, or tasks that run twice, when a guard and an entry
// are shut down gracefully while callers submit jobs.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	g := f.startWorker("worker-1")
	f.startWorker("worker-2")
	f.waitForRosters()
	const callers, jobs = 8, 25
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	for c := range callers {
		wg.Go(func() {
			for i := range jobs {
				key := uuid.Must(uuid.NewV7()).String()
				first, second := a, b
				if c%2 == 1 {
					first, second = b, a
				}
				ans := <-f.submitAsync(newClient(first, second), key, newJob(20, 2))
				if ans == nil || ans.Status != http.StatusOK {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("caller %d job %d: %+v", c, i, ans))
					mu.Unlock()
				}
			}
		})
	}
	f.eventually("more than 20 tasks have started", func() bool { return f.countStartedTasks() > 20 })
	g.Signal(syscall.SIGTERM)
	a.Signal(syscall.SIGTERM)
	wg.Wait()
	f.Assert(failed, qt.HasLen, 0)
	f.Assert(f.countStartedTasks(), qt.Equals, callers*jobs*2)
	f.Assert(g.Wait(), qt.IsNil)
	f.Assert(a.Wait(), qt.IsNil)
}

// Guards against an outage of the service during a long outage of the platform's store. Running
// processes must continue, and an entry that starts meanwhile must get the configuration from the
// other entries.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a := f.startEntry("entry-a")
	f.startWorker("worker-1")
	f.kv.SetDown(true)
	ans := <-f.submitAsync(newClient(a), f.fetchTicket(a), newJob(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK)
	b := f.startEntry("entry-b") // becomes ready only with a configuration
	ans = <-f.submitAsync(newClient(b), f.fetchTicket(a), newJob(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
}

// Guards against a slow or overwritten record update. An update at one entry must be active at all
// entries within 5 s (letter 1), and a second update based on the replaced revision must be
// rejected as a conflict.
func TestRecordUpdateReachesAllEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.startEntry("entry-a"), f.startEntry("entry-b")
	f.startWorker("worker-1")
	f.waitForRosters()
	ctx := t.Context()
	op := operator.New(operator.Options{Address: a.url(), Token: memberToken})
	before, err := op.Get(ctx, record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)
	value := []byte(`{"kind":"service","name":"ayni/reserva","schema":1,"path":"/reserva/run","max_tasks":1}`)
	start := time.Now()
	after, err := op.Put(ctx, value, before.Revision)
	f.Assert(err, qt.IsNil)
	for _, e := range []*entryProcess{a, b} {
		f.eventually("the update is active at the entry and its guards", func() bool {
			var st struct {
				Revision int64
				Behind   int `json:"guards_behind"`
			}
			err := json.Unmarshal([]byte(f.getAdmin(e, "/v1/status")), &st)
			return err == nil && st.Revision >= after.Revision && st.Behind == 0
		})
		ans := <-f.submitAsync(newClient(e), f.fetchTicket(e), newJob(1, 2))
		f.Assert(ans.Parsed.Error.Kind, qt.Equals, "too_many_tasks")
	}
	f.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
	_, err = operator.New(operator.Options{Address: b.url(), Token: memberToken}).Put(ctx, value, before.Revision)
	f.Assert(operator.ExitCode(err), qt.Equals, operator.ExitConflict, qt.Commentf("%v", err))
}
