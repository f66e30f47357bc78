package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

// assertRefused checks that a response is an error of the given kind.
func (e *testEntry) assertRefused(w *httptest.ResponseRecorder, kind errkind.Kind) *errorBody {
	e.t.Helper()
	e.Check(w.Code, qt.Equals, kind.Answer().Status)
	e.Check(w.Header().Get("Content-Type"), qt.Equals, "application/json")
	j := decodeJob(e, w.Body.Bytes())
	e.Assert(j.Error, qt.IsNotNil)
	e.Check(j.Error.Kind, qt.Equals, kind.String())
	return j.Error
}

// Protects against telling a caller that a job never ran, when the job has run and
// its resubmission is malformed, too large, or sent with a token that has been
// replaced since: the caller would submit the work again under another key.
func TestMalformedResubmissionReportsRanUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		answer := e.submit("ayni", key, testSubmission)
		e.sendResult(g, e.recvFrame(g).Start, `1`)
		<-answer
		for _, tt := range []struct {
			member, body string
			kind         errkind.Kind
		}{
			{"ayni", testSubmission[:20], errkind.BadRequest},
			{"ayni", `{"service":"reserva","tasks":[]}`, errkind.BadRequest},
			{"ayni", strings.Repeat(" ", DefaultMaxBodyBytes+1), errkind.TooLarge},
			{"old-token", testSubmission, errkind.Unauthenticated},
		} {
			refusal := e.assertRefused(<-e.submit(tt.member, key, tt.body), tt.kind)
			e.Check(refusal.Ran, qt.Equals, "unknown", qt.Commentf("%s", tt.kind))
		}
	})
}

// Unknown paths and methods must be answered with a JSON error of a known kind, not
// with a page of plain text, which callers' libraries cannot read.
func TestUnmatchedRequests(t *testing.T) {
	e := newTestEntry(t)
	for _, path := range []string{"/", "/v1", "/v1/jobs/", "/v1/jobs/a/b", "/v2/jobs"} {
		e.assertRefused(e.serve(e.newRequest("ayni", "GET", path, "", "")), errkind.NotFound)
	}
	for method, path := range map[string]string{"PUT": "/v1/jobs", "PATCH": "/v1/jobs/x", "OPTIONS": "/v1/jobs", "DELETE": "/v1/ticket", "HEAD": "/v1/jobs"} {
		w := e.serve(e.newRequest("ayni", method, path, "", ""))
		e.assertRefused(w, errkind.MethodNotAllowed)
		e.Check(w.Header().Get("Allow"), qt.Not(qt.Equals), "", qt.Commentf("%s", path))
	}
	w := httptest.NewRecorder()
	e.server.AdminHandler().ServeHTTP(w, e.newRequest("", "POST", "/drain", "", ""))
	e.assertRefused(w, errkind.NotFound)
	e.Check(e.server.metrics.Refusals(errkind.NotFound), qt.Equals, int64(5))
	e.Check(e.serve(e.newRequest("ayni", "HEAD", "/v1/ticket", "", "")).Code, qt.Equals, http.StatusOK)
}

// Keys that no client library creates must be refused, and must not start a task.
func TestMalformedKeysAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		valid := e.newTicket()
		for _, key := range []string{
			strings.Repeat("k", identity.MaxKeyLen+1), strings.Repeat("k", 1<<20), strings.ToUpper(valid), valid + " x",
			"." + valid, "../" + valid, strings.Replace(valid, ".", "..", 1), valid[:len(valid)-1], "\x00", "ñ" + valid,
		} {
			refusal := e.assertRefused(<-e.submit("ayni", key, testSubmission), errkind.BadRequest)
			e.Check(len(refusal.Detail) <= 2*maxDetailBytes, qt.IsTrue)
		}
		duplicate := e.newRequest("ayni", "POST", "/v1/jobs", valid, testSubmission)
		duplicate.Header.Add(idempotencyKeyHeader, e.newTicket())
		e.assertRefused(e.serve(duplicate), errkind.BadRequest)
		e.assertNoFrame(g)
	})
}

// Protects against refusing a job as long expired because of an overflow: some
// client libraries send the largest integer for "no deadline". The job must get the
// longest allowed deadline.
func TestHugeDeadlinesAreCapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		for _, ms := range []int64{math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 44, 86_400_000} {
			text := strconv.FormatInt(ms, 10)
			answer := e.submit("ayni", e.newTicket(), `{"service":"reserva","deadline_ms":`+text+`,"tasks":[1]}`)
			st := e.recvFrame(g).Start
			e.Assert(st.LeftMs, qt.Equals, DefaultMaxDeadline.Milliseconds())
			e.sendResult(g, st, `1`)
			e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
			e.assertRefused(<-e.submit("ayni", e.newTicket(), `{"service":"reserva","deadline_ms":-`+text+`,"tasks":[1]}`), errkind.BadRequest)
		}
		answer := <-e.submit("ayni", e.newTicket(), `{"service":"reserva","declared_ms":9223372036854775807,"tasks":[1]}`)
		e.assertRefused(answer, errkind.CannotFinishInTime)
	})
}

func TestParsePrefer(t *testing.T) {
	for prefer, want := range map[string]time.Duration{
		"":                          maxWait,
		"respond-async":             0,
		"wait=10":                   10 * time.Second,
		`wait="10"`:                 10 * time.Second,
		"WAIT = 10":                 10 * time.Second,
		"respond-async, wait=10":    10 * time.Second,
		"wait=10, respond-async":    10 * time.Second,
		"wait=10; priority=5":       10 * time.Second,
		"return=minimal, wait=10":   10 * time.Second,
		"wait=-1":                   maxWait,
		"wait=1.5":                  maxWait,
		"wait=, respond-async":      0,
		"wait=99999999999999999999": maxWait,
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Prefer", prefer)
		qt.Check(t, parsePrefer(r), qt.Equals, want, qt.Commentf("%q", prefer))
	}
}

// Protects against keeping names of megabytes in refusals: one faulty client could
// evict the member's other answers from memory, and their callers would be told
// that the answers are no longer kept.
func TestOverlongNamesAreNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		long := strings.Repeat("<", 1<<20)
		for _, body := range []string{`{"service":"` + long + `","tasks":[1]}`, `{"` + long + `":1}`} {
			w := <-e.submit("ayni", e.newTicket(), body)
			e.assertRefused(w, errkind.BadRequest)
			e.Check(w.Body.Len() < 8*maxDetailBytes, qt.IsTrue)
		}
		held, _ := e.server.registry.Count()
		e.Assert(held, qt.Equals, 0)
	})
}

// Any bytes can be sent as a submission. An accepted one must keep its tasks
// unchanged, since they are all that the upstream gets.
func FuzzParseSubmission(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := parseSubmission(body)
		if err != nil {
			return
		}
		if len(s.Tasks) < 1 || len(s.Tasks) > MaxTasks || s.DeadlineMs < 0 || s.DeclaredMs < 0 {
			t.Fatalf("accepted: %+v", s)
		}
		for i, task := range s.bodies() {
			if !json.Valid(task) {
				t.Fatalf("task %d is not JSON: %q", i, task)
			}
		}
		again, err := parseSubmission(body)
		if err != nil || again.fingerprint() != s.fingerprint() {
			t.Fatal("the same body reads differently")
		}
	})
}

// Every request must be answered with a JSON error of a known kind, and a request
// that was not admitted must never be reported as run.
func FuzzPost(f *testing.F) {
	e := newTestEntry(f)
	f.Fuzz(func(t *testing.T, key, prefer string, body []byte) {
		e := &testEntry{C: qt.New(t), t: t, server: e.server, handler: e.handler}
		r := e.newRequest("ayni", "POST", "/v1/jobs", "", string(body))
		r.Header.Set(idempotencyKeyHeader, strings.Replace(key, "HOME", string(e.server.id), 1))
		r.Header.Set("Prefer", prefer)
		w := e.serve(r)
		j := decodeJob(e, w.Body.Bytes()) // no guard is linked, so no job can succeed
		e.Assert(j.Error, qt.IsNotNil)
		e.Assert(j.Error.Ran, qt.Not(qt.Equals), "yes")
		for _, k := range errkind.All() {
			if k.String() == j.Error.Kind {
				e.Assert(w.Code, qt.Equals, k.Answer().Status)
				return
			}
		}
		t.Fatalf("unknown kind %q", j.Error.Kind)
	})
}
