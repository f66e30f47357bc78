package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

func decodeJob(e *testEntry, body []byte) jobBody {
	var j jobBody
	e.Assert(json.Unmarshal(body, &j), qt.IsNil, qt.Commentf("%s", body))
	return j
}

func TestSubmitReturnsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), testSubmission)
		st := e.recvFrame(g).Start
		e.Assert(string(st.Body), qt.Equals, `{"seat":"12A"}`)
		e.Assert(st.Home, qt.Equals, e.server.id)
		e.sendResult(g, st, `{"escort":7}`)
		w := <-answer
		e.Assert(w.Code, qt.Equals, http.StatusOK)
		j := decodeJob(e, w.Body.Bytes())
		e.Assert(j.State, qt.Equals, stateComplete)
		e.Assert(string(j.Results[0].JSON), qt.Equals, `{"escort":7}`)
	})
}

// Protects against a second start when a job is resubmitted while it runs and again
// after it was answered: every request must get the same answer.
func TestResubmissionsShareOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		first := e.submit("ayni", key, testSubmission)
		st := e.recvFrame(g).Start
		second := e.submit("ayni", key, testSubmission)
		e.assertNoFrame(g)
		e.sendResult(g, st, `{"escort":7}`)
		want := (<-first).Body.String()
		e.Assert((<-second).Body.String(), qt.Equals, want)
		e.Assert((<-e.submit("ayni", key, testSubmission)).Body.String(), qt.Equals, want)
		e.assertNoFrame(g)
	})
}

// Protects against a job that is stopped, or run a second time, because its caller
// disconnects: the job continues and the resubmission gets its answer.
func TestJobContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		ctx, disconnect := context.WithCancel(context.Background())
		returned := make(chan struct{})
		go func() {
			e.serve(e.newRequest("ayni", "POST", "/v1/jobs", key, testSubmission).WithContext(ctx))
			close(returned)
		}()
		st := e.recvFrame(g).Start
		disconnect()
		<-returned
		resubmitted := e.submit("ayni", key, testSubmission)
		e.sendResult(g, st, `{"escort":7}`)
		e.Assert((<-resubmitted).Code, qt.Equals, http.StatusOK)
		e.assertNoFrame(g)
	})
}

// Protects against mixing up two members that use the same key: each must get its
// own answer, and neither may read or cancel the other's job.
func TestSameKeyOfTwoMembersIsTwoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		answer := e.submit("ayni", key, testSubmission)
		st := e.recvFrame(g).Start
		e.Assert(st.Ref.Member, qt.Equals, "ayni")
		w := e.serve(e.newRequest("leeuwin", "GET", "/v1/jobs/"+key, "", ""))
		e.Assert(w.Code, qt.Equals, http.StatusNotFound)
		w = e.serve(e.newRequest("leeuwin", "DELETE", "/v1/jobs/"+key, "", ""))
		e.Assert(w.Code, qt.Equals, http.StatusNotFound)
		e.assertNoFrame(g)
		e.sendResult(g, st, `{"escort":7}`)
		e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// Protects against running a delayed duplicate of a request whose caller was told
// that the job did not run: the caller may have ordered the work elsewhere, so the
// duplicate must get the same refusal.
func TestRefusalIsRepeatedOnResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		key := e.newTicket()
		w := <-e.submit("ayni", key, testSubmission)
		e.Assert(w.Code, qt.Equals, http.StatusServiceUnavailable)
		j := decodeJob(e, w.Body.Bytes())
		e.Assert(j.Error.Kind, qt.Equals, errkind.NoWorkers.String())
		e.Assert(j.Error.Ran, qt.Equals, "no")
		g := e.linkGuard("guard-1", 8)
		resubmitted := <-e.submit("ayni", key, testSubmission)
		e.Assert(resubmitted.Body.String(), qt.Equals, w.Body.String())
		e.assertNoFrame(g)
	})
}

// A request for more accelerators than any worker has must not be refused as "no
// workers", because its caller would retry it forever.
func TestUnsatisfiableNeedIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		w := <-e.submit("ayni", e.newTicket(), strings.Replace(testSubmission, "{", `{"accelerators":1,`, 1))
		e.Assert(w.Code, qt.Equals, http.StatusUnprocessableEntity)
		j := decodeJob(e, w.Body.Bytes())
		e.Assert(j.Error.Kind, qt.Equals, errkind.NeverFits.String())
		e.Assert(j.Error.Ran, qt.Equals, "no")
		answer := e.submit("ayni", e.newTicket(), strings.Replace(testSubmission, "{", `{"memory_mb":64000,`, 1))
		e.sendResult(g, e.recvFrame(g).Start, `{"escort":7}`)
		e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// A submission's own need overrides that of the job kind, which overrides that of
// the service; fields that are omitted or 0 keep the inherited value.
func TestSubmissionOverridesNeed(t *testing.T) {
	c := qt.New(t)
	base := dispatch.Need{Accelerators: 1, MemoryMB: 1000}
	c.Assert(overrideNeed(base, dispatch.Need{}), qt.Equals, base)
	c.Assert(overrideNeed(base, dispatch.Need{Accelerators: 4}), qt.Equals, dispatch.Need{Accelerators: 4, MemoryMB: 1000})
	without, with := submission{Service: "reserva"}, submission{Service: "reserva", Accelerators: 1}
	c.Assert(without.fingerprint(), qt.Not(qt.Equals), with.fingerprint())
}

// Protects against a lost or repeated run when a guard's link breaks and reconnects
// while a task runs: the start is sent again to the same guard, which recognises
// it, and the caller gets the single result.
func TestStartIsResentAfterLinkReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), testSubmission)
		first := e.recvFrame(g).Start
		g.Close("cut")
		synctest.Wait()
		g = e.linkGuard("guard-1", 8)
		resent := e.recvFrame(g).Start
		e.Assert(resent.Ref, qt.Equals, first.Ref)
		e.sendResult(g, resent, `{"escort":7}`)
		e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// Protects against a guard that stays unused after it was down for longer than the
// loss timeout and reconnects: the fleet would shrink with every long network
// failure.
func TestGuardIsReusedAfterLossTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.linkGuard("guard-1", 8).Close("cut")
		time.Sleep(2 * guardLossTimeout)
		g := e.linkGuard("guard-1", 8)
		e.assertServesThrough(g)
	})
}

// Protects against a false answer or a second run when a worker fails with a task
// on it: it is unknown whether the task ran, so the caller must soon get an answer
// that says so, and the task must not be sent to another worker.
func TestTaskOfLostGuardFailsWithRanUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), testSubmission)
		e.recvFrame(g)
		other := e.linkGuard("guard-2", 8)
		startTime := time.Now()
		g.Close("killed")
		w := <-answer
		e.Assert(time.Since(startTime) < 3*time.Second, qt.IsTrue)
		j := decodeJob(e, w.Body.Bytes())
		e.Assert(j.State, qt.Equals, stateFailed)
		e.Assert(j.Results, qt.IsNil)
		e.Assert(j.Error.Kind, qt.Equals, errkind.WorkerLost.String())
		e.Assert(j.Error.Ran, qt.Equals, "unknown")
		e.assertNoFrame(other)
	})
}

// Protects against a partial answer when one of three tasks fails after the others
// have succeeded: the job must fail without results.
func TestFailedJobHasNoPartialResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), `{"service":"reserva","tasks":[1,2,3]}`)
		for i := range 3 {
			st := e.recvFrame(g).Start
			if i < 2 {
				e.sendResult(g, st, `1`)
				continue
			}
			e.Assert(g.Send(&wire.Frame{Result: &wire.Result{Ref: st.Ref, Kind: errkind.UpstreamPartial, Ran: errkind.RanYes}}), qt.IsNil)
		}
		w := <-answer
		e.Assert(w.Code, qt.Equals, http.StatusBadGateway)
		j := decodeJob(e, w.Body.Bytes())
		e.Assert(j.State, qt.Equals, stateFailed)
		e.Assert(j.Results, qt.IsNil)
		e.Assert(len(j.Failures) > 0, qt.IsTrue)
	})
}

// Protects against misplaced results when they arrive in a different order than the
// tasks were sent, and one of them twice.
func TestOutOfOrderAndDuplicateResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		answer := e.submit("ayni", e.newTicket(), `{"service":"reserva","tasks":[0,1,2,3]}`)
		var starts []*wire.Start
		for range 4 {
			starts = append(starts, e.recvFrame(g).Start)
		}
		for _, i := range []int{3, 1, 1, 0, 2} {
			e.sendResult(g, starts[i], string(starts[i].Body))
		}
		j := decodeJob(e, (<-answer).Body.Bytes())
		for i, r := range j.Results {
			e.Assert(string(r.JSON), qt.Equals, string('0'+rune(i)))
		}
	})
}

// Protects against dropped requests in a planned shutdown: a running job and its
// resubmission are answered, a new job is refused as not run, and Drain returns.
func TestDrainWaitsForOpenJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		answer := e.submit("ayni", key, testSubmission)
		st := e.recvFrame(g).Start
		drained := make(chan error, 1)
		go func() { drained <- e.server.Drain(context.Background()) }()
		synctest.Wait()
		resubmitted := e.submit("ayni", key, testSubmission)
		refused := <-e.submit("ayni", e.newTicket(), testSubmission)
		e.Assert(decodeJob(e, refused.Body.Bytes()).Error.Kind, qt.Equals, errkind.Draining.String())
		e.sendResult(g, st, `1`)
		e.Assert((<-answer).Code, qt.Equals, http.StatusOK)
		e.Assert((<-resubmitted).Code, qt.Equals, http.StatusOK)
		e.Assert(<-drained, qt.IsNil)
	})
}

// A caller that does not want to wait gets 202 and fetches the answer later.
func TestAsyncSubmitAndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		key := e.newTicket()
		r := e.newRequest("ayni", "POST", "/v1/jobs", key, testSubmission)
		r.Header.Set("Prefer", "respond-async")
		w := e.serve(r)
		e.Assert(w.Code, qt.Equals, http.StatusAccepted)
		e.Assert(w.Header().Get("Location"), qt.Equals, "/v1/jobs/"+key)
		e.sendResult(g, e.recvFrame(g).Start, `1`)
		w = e.serve(e.newRequest("ayni", "GET", "/v1/jobs/"+key, "", ""))
		e.Assert(w.Code, qt.Equals, http.StatusOK)
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		tasks := strings.Repeat("1,", MaxTasks) + "1"
		for _, tt := range []struct {
			member, key, body string
			kind              errkind.Kind
		}{
			{"nobody", e.newTicket(), testSubmission, errkind.Unauthenticated},
			{"ayni", "", testSubmission, errkind.BadRequest},
			{"ayni", "booking-7", testSubmission, errkind.BadRequest},
			{"ayni", e.newTicket(), `{`, errkind.BadRequest},
			{"ayni", e.newTicket(), testSubmission + testSubmission, errkind.BadRequest},
			{"ayni", e.newTicket(), `{"service":"reserva","tasks":[]}`, errkind.BadRequest},
			{"ayni", e.newTicket(), `{"service":"reserva","tasks":[` + tasks + `]}`, errkind.TooManyTasks},
			{"ayni", e.newTicket(), `{"service":"other","tasks":[1]}`, errkind.UnknownService},
			{"ayni", e.newTicket(), `{"service":"reserva","tasks":["` + strings.Repeat("x", DefaultMaxBodyBytes) + `"]}`, errkind.TooLarge},
			{"ayni", identity.NewTicket("entry-b-9", time.Now()).Text, testSubmission, errkind.OutcomeUnknown},
			{"ayni", identity.NewTicket(e.server.id, time.Now().Add(-time.Hour)).Text, testSubmission, errkind.IdentityExpired},
		} {
			w := <-e.submit(tt.member, tt.key, tt.body)
			e.Check(w.Code, qt.Equals, tt.kind.Answer().Status, qt.Commentf("%s", tt.kind))
			e.Check(decodeJob(e, w.Body.Bytes()).Error.Kind, qt.Equals, tt.kind.String())
		}
	})
}

// A guard with a wrong key, an implausible number of slots, an incompatible version
// or no Hello at all must be refused before a dispatcher uses it.
func TestInvalidGuardsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		valid := wire.Hello{Version: 1, MinVersion: 1, Incarnation: "g", Service: "ayni/reserva", Slots: 8, Key: "fleet"}
		invalid := map[string]func(*wire.Hello){
			"key":     func(h *wire.Hello) { h.Key = "other" },
			"slots":   func(h *wire.Hello) { h.Slots = 1 << 20 },
			"version": func(h *wire.Hello) { h.Version, h.MinVersion = 99, 98 },
			"name":    func(h *wire.Hello) { h.Incarnation = "" },
		}
		for name, breakHello := range invalid {
			h := valid
			breakHello(&h)
			entryEnd, guardEnd := wiretest.Pipe()
			go e.server.ServeGuardLink(context.Background(), entryEnd)
			e.Assert(guardEnd.Send(&wire.Frame{Hello: &h}), qt.IsNil)
			<-guardEnd.Done()
			e.Check(len(e.server.Guards()), qt.Equals, 0, qt.Commentf(name))
		}
		entryEnd, guardEnd := wiretest.Pipe()
		go e.server.ServeGuardLink(context.Background(), entryEnd)
		startTime := time.Now()
		<-guardEnd.Done()
		e.Assert(time.Since(startTime), qt.Equals, helloTimeout)
	})
}

// Protects against losing the load report that a guard sends before its link is in
// use: its Hello was sent before the first health check of the upstream, so every
// request would be refused because no workers are available until the next report.
func TestLoadReportBeforeActivationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.router.readyGate = make(chan struct{})
		entryEnd, guardEnd := wiretest.Pipe()
		go e.server.ServeGuardLink(context.Background(), entryEnd)
		e.Assert(guardEnd.Send(&wire.Frame{Hello: &wire.Hello{
			Version: 1, MinVersion: 1, Incarnation: "guard-1", Service: "ayni/reserva", Worker: "w1", Slots: 8, Key: "fleet",
			Load: wire.Load{Seq: 1, Slots: 8},
		}}), qt.IsNil)
		e.Assert(e.recvFrame(guardEnd).Welcome, qt.IsNotNil)
		e.Assert(guardEnd.Send(&wire.Frame{Load: &wire.Load{Seq: 2, Slots: 8, Healthy: true}}), qt.IsNil)
		synctest.Wait()
		close(e.router.readyGate)
		synctest.Wait()
		e.assertServesThrough(guardEnd)
	})
}

// Protects against workers that become idle when all entries are replaced one by
// one over a day: guards must receive the addresses of new entries, or they would
// eventually have no link left.
func TestGuardsReceiveNewEntryAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		g := e.linkGuard("guard-1", 8)
		time.Sleep(3 * entriesPollInterval)
		e.assertNoFrame(g)
		e.router.extra.Store(&wire.EntryAddr{Incarnation: "entry-b-1", Inner: "127.0.0.1:2"})
		w := e.recvFrame(g).Welcome
		e.Assert(w, qt.IsNotNil)
		e.Assert(w.Entries, qt.HasLen, 2)
		time.Sleep(3 * entriesPollInterval)
		e.assertNoFrame(g)
	})
}
