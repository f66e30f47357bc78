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

// refused checks an answer for one kind of the closed list.
func (b *bench) refused(w *httptest.ResponseRecorder, kind errkind.Kind) *errorBody {
	b.t.Helper()
	b.Check(w.Code, qt.Equals, kind.Answer().Status)
	b.Check(w.Header().Get("Content-Type"), qt.Equals, "application/json")
	j := decode(b, w.Body.Bytes())
	b.Assert(j.Error, qt.IsNotNil)
	b.Check(j.Error.Kind, qt.Equals, kind.String())
	return j.Error
}

// A kiosk's booking runs, its answer is lost, and the kiosk asks again with a
// body that was cut off, too large, or under a token that has been replaced since.
// Told that the booking never ran, it would book a second escort.
func TestSpoiltResubmissionIsNotToldNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		answer := b.post("ayni", key, booking)
		b.ok(g, b.next(g).Start, `1`)
		<-answer
		for _, tt := range []struct {
			member, body string
			kind         errkind.Kind
		}{
			{"ayni", booking[:20], errkind.BadRequest},
			{"ayni", `{"service":"reserva","tasks":[]}`, errkind.BadRequest},
			{"ayni", strings.Repeat(" ", DefaultMaxBody+1), errkind.TooLarge},
			{"old-token", booking, errkind.Unauthenticated},
		} {
			refusal := b.refused(<-b.post(tt.member, key, tt.body), tt.kind)
			b.Check(refusal.Ran, qt.Equals, "unknown", qt.Commentf("%s", tt.kind))
		}
	})
}

// A client of another product, or a scanner, asks for paths and methods that
// nothing serves. It must get the closed list's form, and callers' libraries no
// page of plain text.
func TestUnmatchedRequests(t *testing.T) {
	b := newBench(t)
	for _, path := range []string{"/", "/v1", "/v1/jobs/", "/v1/jobs/a/b", "/v2/jobs"} {
		b.refused(b.do(b.request("ayni", "GET", path, "", "")), errkind.NotFound)
	}
	for method, path := range map[string]string{"PUT": "/v1/jobs", "PATCH": "/v1/jobs/x", "OPTIONS": "/v1/jobs", "DELETE": "/v1/ticket", "HEAD": "/v1/jobs"} {
		w := b.do(b.request("ayni", method, path, "", ""))
		b.refused(w, errkind.MethodNotAllowed)
		b.Check(w.Header().Get("Allow"), qt.Not(qt.Equals), "", qt.Commentf("%s", path))
	}
	w := httptest.NewRecorder()
	b.s.AdminHandler().ServeHTTP(w, b.request("", "POST", "/drain", "", ""))
	b.refused(w, errkind.NotFound)
	b.Check(b.s.metrics.Refusals(errkind.NotFound), qt.Equals, int64(5))
	b.Check(b.do(b.request("ayni", "HEAD", "/v1/ticket", "", "")).Code, qt.Equals, http.StatusOK)
}

// Identities as no library of ours makes them: none of them may start a task.
func TestOddIdentities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		good := b.ticket()
		for _, key := range []string{
			strings.Repeat("k", identity.MaxKeyLen+1), strings.Repeat("k", 1<<20), strings.ToUpper(good), good + " x",
			"." + good, "../" + good, strings.Replace(good, ".", "..", 1), good[:len(good)-1], "\x00", "ñ" + good,
		} {
			refusal := b.refused(<-b.post("ayni", key, booking), errkind.BadRequest)
			b.Check(len(refusal.Detail) <= 2*maxDetail, qt.IsTrue)
		}
		twice := b.request("ayni", "POST", "/v1/jobs", good, booking)
		twice.Header.Add(headerKey, b.ticket())
		b.refused(b.do(twice), errkind.BadRequest)
		b.silent(g)
	})
}

// A caller's library sends the greatest number for "no deadline". The job must be
// given the longest deadline there is and not be refused as long expired.
func TestHugeTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		for _, ms := range []int64{math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 44, 86_400_000} {
			text := strconv.FormatInt(ms, 10)
			answer := b.post("ayni", b.ticket(), `{"service":"reserva","deadline_ms":`+text+`,"tasks":[1]}`)
			st := b.next(g).Start
			b.Assert(st.LeftMs, qt.Equals, DefaultMaxDeadline.Milliseconds())
			b.ok(g, st, `1`)
			b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
			b.refused(<-b.post("ayni", b.ticket(), `{"service":"reserva","deadline_ms":-`+text+`,"tasks":[1]}`), errkind.BadRequest)
		}
		answer := <-b.post("ayni", b.ticket(), `{"service":"reserva","declared_ms":9223372036854775807,"tasks":[1]}`)
		b.refused(answer, errkind.CannotFinishInTime)
	})
}

func TestPreference(t *testing.T) {
	for prefer, want := range map[string]time.Duration{
		"":                          waitForever,
		"respond-async":             0,
		"wait=10":                   10 * time.Second,
		`wait="10"`:                 10 * time.Second,
		"WAIT = 10":                 10 * time.Second,
		"respond-async, wait=10":    10 * time.Second,
		"wait=10, respond-async":    10 * time.Second,
		"wait=10; priority=5":       10 * time.Second,
		"return=minimal, wait=10":   10 * time.Second,
		"wait=-1":                   waitForever,
		"wait=1.5":                  waitForever,
		"wait=, respond-async":      0,
		"wait=99999999999999999999": waitForever,
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Prefer", prefer)
		qt.Check(t, preference(r), qt.Equals, want, qt.Commentf("%q", prefer))
	}
}

// Names of megabytes come back in refusals, which are held for resubmissions. A
// team's faulty client would push the member's other answers out of memory, whose
// callers would then be told that they are no longer held.
func TestLongNamesAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		long := strings.Repeat("<", 1<<20)
		for _, body := range []string{`{"service":"` + long + `","tasks":[1]}`, `{"` + long + `":1}`} {
			w := <-b.post("ayni", b.ticket(), body)
			b.refused(w, errkind.BadRequest)
			b.Check(w.Body.Len() < 8*maxDetail, qt.IsTrue)
		}
		held, _ := b.s.registry.Count()
		b.Assert(held, qt.Equals, 0)
	})
}

// Anybody with a token can send any bytes as a submission. What is accepted must
// keep its tasks as they are, since the upstream gets nothing else.
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
				t.Fatalf("task %d is no JSON: %q", i, task)
			}
		}
		again, err := parseSubmission(body)
		if err != nil || again.fingerprint() != s.fingerprint() {
			t.Fatal("the same body reads differently")
		}
	})
}

// Whatever comes to the callers' listener, the answer is JSON of the closed list,
// and nothing that was not admitted is told to have run.
func FuzzPost(f *testing.F) {
	b := newBench(f)
	f.Fuzz(func(t *testing.T, key, prefer string, body []byte) {
		b := &bench{C: qt.New(t), t: t, s: b.s, handler: b.handler}
		r := b.request("ayni", "POST", "/v1/jobs", "", string(body))
		r.Header.Set(headerKey, strings.Replace(key, "HOME", string(b.s.id), 1))
		r.Header.Set("Prefer", prefer)
		w := b.do(r)
		j := decode(b, w.Body.Bytes()) // no guard is linked, so nothing can succeed
		b.Assert(j.Error, qt.IsNotNil)
		b.Assert(j.Error.Ran, qt.Not(qt.Equals), "yes")
		for _, k := range errkind.All() {
			if k.String() == j.Error.Kind {
				b.Assert(w.Code, qt.Equals, k.Answer().Status)
				return
			}
		}
		t.Fatalf("unknown kind %q", j.Error.Kind)
	})
}
