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

// An entry is killed while it holds a booking that already runs at the upstream.
// The kiosk asks another entry, under the same identity. It gets the result of
// the one run, which the guard still holds.
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

// An entry is killed before a booking reached it. Asked at another entry, the
// system proves that the booking never ran, so the kiosk may book anew at once.
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

// An entry freezes for longer than its lease with a booking in its socket, and
// goes on after the others have declared it gone and told the caller "not run".
// What it then sends to guards must be refused.
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
	f.eventually("the entry that was frozen ends", func() bool { return f.adminStatus(a, "/healthz") == 0 })
	<-delayed
	if reportedKind == "not_run" {
		f.Assert(f.countStartedTasks(), qt.Equals, 0)
	}
	f.Assert(f.countStartedTasks() <= 1, qt.IsTrue)
}

// A worker's VM dies with a task. The caller is told that the outcome is
// unknown, and the next booking goes to the other worker.
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

// Entries and guards are stopped as planned, one after the other, while callers
// submit. Nobody's request is cut off, and nothing runs twice.
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
	f.eventually("load runs", func() bool { return f.countStartedTasks() > 20 })
	g.Signal(syscall.SIGTERM)
	a.Signal(syscall.SIGTERM)
	wg.Wait()
	f.Assert(failed, qt.HasLen, 0)
	f.Assert(f.countStartedTasks(), qt.Equals, callers*jobs*2)
	f.Assert(g.Wait(), qt.IsNil)
	f.Assert(a.Wait(), qt.IsNil)
}

// The platform's store goes down for long. Running processes go on; an entry
// that starts in the outage takes the configuration from the others.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a := f.startEntry("entry-a")
	f.startWorker("worker-1")
	f.kv.SetDown(true)
	ans := <-f.submitAsync(newClient(a), f.fetchTicket(a), newJob(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK)
	b := f.startEntry("entry-b") // ready only with a configuration
	ans = <-f.submitAsync(newClient(b), f.fetchTicket(a), newJob(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
}

// An operator amends a record at one entry. All entries must obey it within
// five seconds (letter 1), and a second operator who amends the revision that
// the first one replaced must be told of the conflict.
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
		f.eventually("the amendment is in force at entry and guard", func() bool {
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
