package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/membudget"
)

// Protects against one member taking every connection of the entry with waiting
// requests, for example because of a faulty client that retries without end: other
// members must be served without delay.
func TestOpenRequestsAreLimitedPerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		other := e.linkGuardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		key := e.newTicket()
		first := e.submit("ayni", key, testSubmission)
		st := e.recvFrame(g).Start
		for range testMaxOpenRequests - 1 {
			e.submit("ayni", key, testSubmission)
		}
		for range 100 {
			refusal := e.assertRefused(<-e.submit("ayni", e.newTicket(), testSubmission), errkind.TooManyJobs)
			e.Assert(refusal.Ran, qt.Equals, "unknown")
			e.Assert(refusal.RetryAfterMs, qt.Equals, usageRetryDelay.Milliseconds())
		}
		startTime := time.Now()
		otherAnswer := e.submit("leeuwin", e.newTicket(), `{"service":"clubcast","tasks":[1]}`)
		e.sendResult(other, e.recvFrame(other).Start, `1`)
		e.Assert((<-otherAnswer).Code, qt.Equals, http.StatusOK)
		e.Assert(time.Since(startTime), qt.Equals, time.Duration(0))
		e.sendResult(g, st, `1`)
		e.Assert((<-first).Code, qt.Equals, http.StatusOK)
		synctest.Wait() // the other waiting requests are answered as well
		e.assertServesThrough(g)
	})
}

// Protects against one member taking all of the entry's memory with large
// concurrent bodies: if the process were killed, the requests of all members would
// be lost. A single body is accepted whatever its size.
func TestOpenBodyBytesAreLimitedPerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.server.opts.MaxOpenBytes = 1 << 10
		g := e.linkGuard("guard-1", 8)
		large := `{"service":"reserva","tasks":["` + strings.Repeat("x", 2<<10) + `"]}`
		first := e.submit("ayni", e.newTicket(), large)
		st := e.recvFrame(g).Start
		e.assertRefused(<-e.submit("ayni", e.newTicket(), large), errkind.TooManyJobs)
		chunked := e.newRequest("ayni", "POST", "/v1/jobs", e.newTicket(), testSubmission)
		chunked.ContentLength = -1
		e.assertRefused(e.serve(chunked), errkind.TooManyJobs)
		e.sendResult(g, st, `1`)
		e.Assert((<-first).Code, qt.Equals, http.StatusOK)
		second := e.submit("ayni", e.newTicket(), large)
		e.sendResult(g, e.recvFrame(g).Start, `1`)
		e.Assert((<-second).Code, qt.Equals, http.StatusOK)
	})
}

// Protects against one member using up the entry's shared rate of store calls with
// a loop of record writes: other members' writes and the renewal of the entry's
// lease would be delayed.
func TestRecordWritesAreLimitedPerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		release := make(chan struct{})
		e.server.opts.Records = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && r.Header.Get("Authorization") == "Bearer ayni" {
				<-release
			}
		})
		e.handler = e.server.Handler()
		const path = "/v1/records/service/ayni/reserva"
		for range maxRecordWrites {
			go e.serve(e.newRequest("ayni", "PUT", path, "", "{}"))
		}
		synctest.Wait()
		e.assertRefused(e.serve(e.newRequest("ayni", "PUT", path, "", "{}")), errkind.TooManyJobs)
		e.assertRefused(e.serve(e.newRequest("ayni", "DELETE", path, "", "")), errkind.TooManyJobs)
		e.Assert(e.serve(e.newRequest("ayni", "GET", path, "", "")).Code, qt.Equals, http.StatusOK)
		e.Assert(e.serve(e.newRequest("leeuwin", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
		e.Assert(e.serve(e.newRequest("consortium", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
		close(release)
		synctest.Wait()
		e.Assert(e.serve(e.newRequest("ayni", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
	})
}

// Guards against callers that fill the memory with jobs whose answers they do not wait for.
func TestMemoryOfJobsIsReservedUntilTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.server.opts.Memory = membudget.New(taskOverheadBytes + 50)
		g := e.linkGuard("guard-1", 8)
		submitAsync := func(key string) *httptest.ResponseRecorder {
			r := e.newRequest("ayni", http.MethodPost, "/v1/jobs", key, testSubmission)
			r.Header.Set("Prefer", "respond-async")
			return e.serve(r)
		}
		first := e.newTicket()
		e.Assert(submitAsync(first).Code, qt.Equals, http.StatusAccepted)
		start := e.recvFrame(g).Start
		refusal := e.assertRefused(submitAsync(e.newTicket()), errkind.TooManyJobs)
		e.Check(refusal.RetryAfterMs, qt.Equals, usageRetryDelay.Milliseconds())
		e.sendResult(g, start, `1`)
		synctest.Wait()
		e.Check(e.server.opts.Memory.Stats().Charged, qt.Equals, int64(0))
		e.Check(submitAsync(first).Code, qt.Equals, http.StatusOK)
		e.Check(submitAsync(e.newTicket()).Code, qt.Equals, http.StatusAccepted)
	})
}
