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

func TestServesARequestThroughProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	e := f.entry("entry-a")
	f.worker("worker-1")
	a := <-f.submitted(caller(e), f.ticket(e), job(10, 3))
	f.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Body))
	f.Assert(a.Parsed.Results, qt.HasLen, 3)
	f.Assert(f.starts(), qt.Equals, 3)
}

// An entry is killed while it holds a booking that already runs at the upstream.
// The kiosk asks another entry, under the same identity. It gets the result of
// the one run, which the guard still holds.
func TestEntryKilledAfterTheStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.entry("entry-a"), f.entry("entry-b")
	f.worker("worker-1")
	f.settled()
	key := f.ticket(a)
	first := f.submitted(caller(a, b), key, job(500, 1))
	f.eventually("the task starts", func() bool { return f.starts() == 1 })
	a.Kill()
	answer := <-first
	f.Assert(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	f.Assert(f.starts(), qt.Equals, 1)
}

// An entry is killed before a booking reached it. Asked at another entry, the
// system proves that the booking never ran, so the kiosk may book anew at once.
func TestEntryKilledBeforeTheStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.entry("entry-a"), f.entry("entry-b")
	f.worker("worker-1")
	f.settled()
	key := f.ticket(a)
	a.Kill()
	answer := <-f.submitted(caller(b), key, job(10, 1))
	f.Assert(answer.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", answer.Body))
	f.Check(answer.Parsed.Error.Kind, qt.Equals, "not_run")
	f.Check(answer.Parsed.Error.Ran, qt.Equals, "no")
	again := <-f.submitted(caller(b), f.ticket(b), job(10, 1))
	f.Assert(again.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", again.Body))
	f.Assert(f.starts(), qt.Equals, 1)
}

// An entry freezes for longer than its lease with a booking in its socket, and
// goes on after the others have declared it gone and told the caller "not run".
// What it then sends to guards must be refused.
func TestEntryFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.entry("entry-a"), f.entry("entry-b")
	f.worker("worker-1")
	f.settled()
	key := f.ticket(a)
	a.Signal(syscall.SIGSTOP)
	late := f.submitted(caller(a, b), key, job(10, 1))
	answer := <-f.submitted(caller(b), key, job(10, 1))
	f.Assert(answer.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", answer.Body))
	told := answer.Parsed.Error.Kind
	a.Signal(syscall.SIGCONT)
	f.eventually("the entry that was frozen ends", func() bool { return f.status(a, "/healthz") == 0 })
	<-late
	if told == "not_run" {
		f.Assert(f.starts(), qt.Equals, 0)
	}
	f.Assert(f.starts() <= 1, qt.IsTrue)
}

// A worker's VM dies with a task. The caller is told that the outcome is
// unknown, and the next booking goes to the other worker.
func TestGuardKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	e := f.entry("entry-a")
	g := f.worker("worker-1")
	first := f.submitted(caller(e), f.ticket(e), job(5000, 1))
	f.eventually("the task starts", func() bool { return f.starts() == 1 })
	f.worker("worker-2")
	g.Kill()
	a := <-first
	f.Assert(a.Parsed.Error, qt.IsNotNil, qt.Commentf("%s", a.Body))
	f.Assert(a.Parsed.Error.Kind, qt.Equals, "worker_lost")
	f.Assert(a.Parsed.Error.Ran, qt.Equals, "unknown")
	a = <-f.submitted(caller(e), f.ticket(e), job(10, 1))
	f.Assert(a.Status, qt.Equals, http.StatusOK)
}

// Entries and guards are stopped as planned, one after the other, while callers
// submit. Nobody's request is cut off, and nothing runs twice.
func TestPlannedStopsUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.entry("entry-a"), f.entry("entry-b")
	g := f.worker("worker-1")
	f.worker("worker-2")
	f.settled()
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
				ans := <-f.submitted(caller(first, second), key, job(20, 2))
				if ans == nil || ans.Status != http.StatusOK {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("caller %d job %d: %+v", c, i, ans))
					mu.Unlock()
				}
			}
		})
	}
	f.eventually("load runs", func() bool { return f.starts() > 20 })
	g.Signal(syscall.SIGTERM)
	a.Signal(syscall.SIGTERM)
	wg.Wait()
	f.Assert(failed, qt.HasLen, 0)
	f.Assert(f.starts(), qt.Equals, callers*jobs*2)
	f.Assert(g.Wait(), qt.IsNil)
	f.Assert(a.Wait(), qt.IsNil)
}

// The platform's store goes down for long. Running processes go on; an entry
// that starts in the outage takes the configuration from the others.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a := f.entry("entry-a")
	f.worker("worker-1")
	f.kv.SetDown(true)
	ans := <-f.submitted(caller(a), f.ticket(a), job(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK)
	b := f.entry("entry-b") // ready only with a configuration
	ans = <-f.submitted(caller(b), f.ticket(a), job(10, 1))
	f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
}

// An operator amends a record at one entry. All entries must obey it within
// five seconds (letter 1), and a second operator who amends the revision that
// the first one replaced must be told of the conflict.
func TestAmendmentIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.entry("entry-a"), f.entry("entry-b")
	f.worker("worker-1")
	f.settled()
	ctx := t.Context()
	op := operator.New(operator.Options{Address: a.url(), Token: token})
	was, err := op.Get(ctx, record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)
	value := []byte(`{"kind":"service","name":"ayni/reserva","schema":1,"path":"/reserva/run","max_tasks":1}`)
	began := time.Now()
	now, err := op.Put(ctx, value, was.Revision)
	f.Assert(err, qt.IsNil)
	for _, e := range []*entryProcess{a, b} {
		f.eventually("the amendment is in force at entry and guard", func() bool {
			var st struct {
				Revision int64
				Behind   int `json:"guards_behind"`
			}
			err := json.Unmarshal([]byte(f.get(e, "/v1/status")), &st)
			return err == nil && st.Revision >= now.Revision && st.Behind == 0
		})
		ans := <-f.submitted(caller(e), f.ticket(e), job(1, 2))
		f.Assert(ans.Parsed.Error.Kind, qt.Equals, "too_many_tasks")
	}
	f.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	_, err = operator.New(operator.Options{Address: b.url(), Token: token}).Put(ctx, value, was.Revision)
	f.Assert(operator.ExitCode(err), qt.Equals, operator.ExitConflict, qt.Commentf("%v", err))
}
