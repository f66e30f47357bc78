package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
)

// A fault in one member's kiosks has them ask over and over and wait. Without a
// bound they would take every connection of the entry, and the rival's Race
// Officer would wait for his gust brief until they give up.
func TestFloodOfOneMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		rival := b.guardOf("leeuwin/clubcast", "guard-2", "fleet", 8)
		key := b.ticket()
		first := b.post("ayni", key, booking)
		st := b.next(g).Start
		for range benchRequests - 1 {
			b.post("ayni", key, booking)
		}
		for range 100 {
			refusal := b.refused(<-b.post("ayni", b.ticket(), booking), errkind.TooManyJobs)
			b.Assert(refusal.Ran, qt.Equals, "unknown")
			b.Assert(refusal.AfterMs, qt.Equals, retryShare.Milliseconds())
		}
		began := time.Now()
		brief := b.post("leeuwin", b.ticket(), `{"service":"clubcast","tasks":[1]}`)
		b.ok(rival, b.next(rival).Start, `1`)
		b.Assert((<-brief).Code, qt.Equals, http.StatusOK)
		b.Assert(time.Since(began), qt.Equals, time.Duration(0))
		b.ok(g, st, `1`)
		b.Assert((<-first).Code, qt.Equals, http.StatusOK)
		synctest.Wait() // the others have been answered too
		again := b.post("ayni", b.ticket(), booking)
		b.ok(g, b.next(g).Start, `1`)
		b.Assert((<-again).Code, qt.Equals, http.StatusOK)
	})
}

// A member's callers send great bodies all at once. Together they would take the
// entry's memory, and its end would be the end of everybody's requests. One body
// alone is served whatever its size.
func TestFloodOfBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.s.opts.OpenBytes = 1 << 10
		g := b.guard("guard-1", 8)
		great := `{"service":"reserva","tasks":["` + strings.Repeat("x", 2<<10) + `"]}`
		first := b.post("ayni", b.ticket(), great)
		st := b.next(g).Start
		b.refused(<-b.post("ayni", b.ticket(), great), errkind.TooManyJobs)
		chunked := b.request("ayni", "POST", "/v1/jobs", b.ticket(), booking)
		chunked.ContentLength = -1
		b.refused(b.do(chunked), errkind.TooManyJobs)
		b.ok(g, st, `1`)
		b.Assert((<-first).Code, qt.Equals, http.StatusOK)
		second := b.post("ayni", b.ticket(), great)
		b.ok(g, b.next(g).Start, `1`)
		b.Assert((<-second).Code, qt.Equals, http.StatusOK)
	})
}

// A member's script amends records in a loop without waiting. The store's rate is
// shared, so the rival's amendment and the entry's own lease would wait behind it.
func TestFloodOfAmendments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		held := make(chan struct{})
		b.s.opts.Records = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && r.Header.Get("Authorization") == "Bearer ayni" {
				<-held
			}
		})
		b.handler = b.s.Handler()
		const path = "/v1/records/service/ayni/reserva"
		for range maxAmendments {
			go b.do(b.request("ayni", "PUT", path, "", "{}"))
		}
		synctest.Wait()
		b.refused(b.do(b.request("ayni", "PUT", path, "", "{}")), errkind.TooManyJobs)
		b.refused(b.do(b.request("ayni", "DELETE", path, "", "")), errkind.TooManyJobs)
		b.Assert(b.do(b.request("ayni", "GET", path, "", "")).Code, qt.Equals, http.StatusOK)
		b.Assert(b.do(b.request("leeuwin", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
		b.Assert(b.do(b.request("consortium", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
		close(held)
		synctest.Wait()
		b.Assert(b.do(b.request("ayni", "PUT", path, "", "{}")).Code, qt.Equals, http.StatusOK)
	})
}
