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

func decode(b *bench, body []byte) jobBody {
	var j jobBody
	b.Assert(json.Unmarshal(body, &j), qt.IsNil, qt.Commentf("%s", body))
	return j
}

func TestServesARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), booking)
		st := b.next(g).Start
		b.Assert(string(st.Body), qt.Equals, `{"seat":"12A"}`)
		b.Assert(st.Home, qt.Equals, b.s.id)
		b.ok(g, st, `{"escort":7}`)
		w := <-answer
		b.Assert(w.Code, qt.Equals, http.StatusOK)
		j := decode(b, w.Body.Bytes())
		b.Assert(j.State, qt.Equals, stateComplete)
		b.Assert(string(j.Results[0].JSON), qt.Equals, `{"escort":7}`)
	})
}

// A kiosk's first request is still running when it asks again, and asks once
// more after the answer. All three must get the one booking.
func TestResubmissionsShareOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		first := b.post("ayni", key, booking)
		st := b.next(g).Start
		second := b.post("ayni", key, booking)
		b.silent(g)
		b.ok(g, st, `{"escort":7}`)
		want := (<-first).Body.String()
		b.Assert((<-second).Body.String(), qt.Equals, want)
		b.Assert((<-b.post("ayni", key, booking)).Body.String(), qt.Equals, want)
		b.silent(g)
	})
}

// A caller hangs up while its booking runs. The booking goes on, and the
// resubmission gets its answer in place of a second booking.
func TestCallerHangsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		ctx, hangUp := context.WithCancel(context.Background())
		gone := make(chan struct{})
		go func() {
			b.do(b.request("ayni", "POST", "/v1/jobs", key, booking).WithContext(ctx))
			close(gone)
		}()
		st := b.next(g).Start
		hangUp()
		<-gone
		again := b.post("ayni", key, booking)
		b.ok(g, st, `{"escort":7}`)
		b.Assert((<-again).Code, qt.Equals, http.StatusOK)
		b.silent(g)
	})
}

// Two rival members happen to use the same identity. Each must get its own
// answer, and neither may read or cancel the other's job.
func TestRivalsWithTheSameIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		mine := b.post("ayni", key, booking)
		st := b.next(g).Start
		b.Assert(st.Ref.Member, qt.Equals, "ayni")
		w := b.do(b.request("leeuwin", "GET", "/v1/jobs/"+key, "", ""))
		b.Assert(w.Code, qt.Equals, http.StatusNotFound)
		w = b.do(b.request("leeuwin", "DELETE", "/v1/jobs/"+key, "", ""))
		b.Assert(w.Code, qt.Equals, http.StatusNotFound)
		b.silent(g)
		b.ok(g, st, `{"escort":7}`)
		b.Assert((<-mine).Code, qt.Equals, http.StatusOK)
	})
}

// A refused request's copy was delayed by the network and arrives when there is
// room. The caller was told "not run" and may have booked by telephone, so the
// copy must be refused as well.
func TestRefusalStaysTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		key := b.ticket()
		w := <-b.post("ayni", key, booking)
		b.Assert(w.Code, qt.Equals, http.StatusServiceUnavailable)
		j := decode(b, w.Body.Bytes())
		b.Assert(j.Error.Kind, qt.Equals, errkind.NoWorkers.String())
		b.Assert(j.Error.Ran, qt.Equals, "no")
		g := b.guard("guard-1", 8)
		again := <-b.post("ayni", key, booking)
		b.Assert(again.Body.String(), qt.Equals, w.Body.String())
		b.silent(g)
	})
}

// A caller asks for more accelerators than any worker has. Told "no workers", its
// kiosk would ask again for ever.
func TestNeedThatNoWorkerMeets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		w := <-b.post("ayni", b.ticket(), strings.Replace(booking, "{", `{"accelerators":1,`, 1))
		b.Assert(w.Code, qt.Equals, http.StatusUnprocessableEntity)
		j := decode(b, w.Body.Bytes())
		b.Assert(j.Error.Kind, qt.Equals, errkind.NeverFits.String())
		b.Assert(j.Error.Ran, qt.Equals, "no")
		answer := b.post("ayni", b.ticket(), strings.Replace(booking, "{", `{"memory_mb":64000,`, 1))
		b.ok(g, b.next(g).Start, `{"escort":7}`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// A submission's own need goes before its kind of job's, and that before the
// service's; a field that is left out or 0 keeps what is farther away.
func TestNeedOfASubmission(t *testing.T) {
	c := qt.New(t)
	far := dispatch.Need{Accelerators: 1, MemoryMB: 1000}
	c.Assert(overrideNeed(far, dispatch.Need{}), qt.Equals, far)
	c.Assert(overrideNeed(far, dispatch.Need{Accelerators: 4}), qt.Equals, dispatch.Need{Accelerators: 4, MemoryMB: 1000})
	one, two := submission{Service: "reserva"}, submission{Service: "reserva", Accelerators: 1}
	c.Assert(one.fingerprint(), qt.Not(qt.Equals), two.fingerprint())
}

// A guard's link breaks and returns while a task runs. The start is sent again
// to the same guard, which knows it, and the caller gets the one result.
func TestLinkReturnsDuringTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), booking)
		first := b.next(g).Start
		g.Close("cut")
		synctest.Wait()
		g = b.guard("guard-1", 8)
		again := b.next(g).Start
		b.Assert(again.Ref, qt.Equals, first.Ref)
		b.ok(g, again, `{"escort":7}`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// A guard is cut off for so long that the entry gives up on it, and returns. It
// must be used again, or the fleet would shrink with every cut.
func TestGuardReturnsAfterALongCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.guard("guard-1", 8).Close("cut")
		time.Sleep(2 * forgetAfter)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), booking)
		b.ok(g, b.next(g).Start, `1`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// A worker dies with a task. Nobody can know whether the task ran, so the
// caller is told exactly that, soon, and the task goes to no other worker.
func TestGuardDiesWithTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), booking)
		b.next(g)
		other := b.guard("guard-2", 8)
		began := time.Now()
		g.Close("killed")
		w := <-answer
		b.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
		j := decode(b, w.Body.Bytes())
		b.Assert(j.State, qt.Equals, stateFailed)
		b.Assert(j.Results, qt.IsNil)
		b.Assert(j.Error.Kind, qt.Equals, errkind.WorkerLost.String())
		b.Assert(j.Error.Ran, qt.Equals, "unknown")
		b.silent(other)
	})
}

// One of three tasks fails after the others have answered. The caller must see
// a failed job without results, never two thirds of an answer.
func TestAnswerIsNeverPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), `{"service":"reserva","tasks":[1,2,3]}`)
		for i := range 3 {
			st := b.next(g).Start
			if i < 2 {
				b.ok(g, st, `1`)
				continue
			}
			b.Assert(g.Send(&wire.Frame{Result: &wire.Result{Ref: st.Ref, Kind: errkind.UpstreamPartial, Ran: errkind.RanYes}}), qt.IsNil)
		}
		w := <-answer
		b.Assert(w.Code, qt.Equals, http.StatusBadGateway)
		j := decode(b, w.Body.Bytes())
		b.Assert(j.State, qt.Equals, stateFailed)
		b.Assert(j.Results, qt.IsNil)
		b.Assert(len(j.Failures) > 0, qt.IsTrue)
	})
}

// Results arrive in another order than the tasks were sent, and one of them
// twice. Each must stand at its own task's place.
func TestResultsOutOfOrderAndTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		answer := b.post("ayni", b.ticket(), `{"service":"reserva","tasks":[0,1,2,3]}`)
		var starts []*wire.Start
		for range 4 {
			starts = append(starts, b.next(g).Start)
		}
		for _, i := range []int{3, 1, 1, 0, 2} {
			b.ok(g, starts[i], string(starts[i].Body))
		}
		j := decode(b, (<-answer).Body.Bytes())
		for i, r := range j.Results {
			b.Assert(string(r.JSON), qt.Equals, string('0'+rune(i)))
		}
	})
}

// An entry stops as planned while a task runs and a kiosk resubmits it. Both
// requests get the answer, a fresh one is refused as not run, and the stop ends.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		answer := b.post("ayni", key, booking)
		st := b.next(g).Start
		drained := make(chan error, 1)
		go func() { drained <- b.s.Drain(context.Background()) }()
		synctest.Wait()
		again := b.post("ayni", key, booking)
		fresh := <-b.post("ayni", b.ticket(), booking)
		b.Assert(decode(b, fresh.Body.Bytes()).Error.Kind, qt.Equals, errkind.Draining.String())
		b.ok(g, st, `1`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
		b.Assert((<-again).Code, qt.Equals, http.StatusOK)
		b.Assert(<-drained, qt.IsNil)
	})
}

// A caller that will not wait gets 202 and fetches the answer later.
func TestAsyncSubmitAndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		key := b.ticket()
		r := b.request("ayni", "POST", "/v1/jobs", key, booking)
		r.Header.Set("Prefer", "respond-async")
		w := b.do(r)
		b.Assert(w.Code, qt.Equals, http.StatusAccepted)
		b.Assert(w.Header().Get("Location"), qt.Equals, "/v1/jobs/"+key)
		b.ok(g, b.next(g).Start, `1`)
		w = b.do(b.request("ayni", "GET", "/v1/jobs/"+key, "", ""))
		b.Assert(w.Code, qt.Equals, http.StatusOK)
	})
}

func TestBadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		tasks := strings.Repeat("1,", MaxTasks) + "1"
		for _, tt := range []struct {
			member, key, body string
			kind              errkind.Kind
		}{
			{"nobody", b.ticket(), booking, errkind.Unauthenticated},
			{"ayni", "", booking, errkind.BadRequest},
			{"ayni", "booking-7", booking, errkind.BadRequest},
			{"ayni", b.ticket(), `{`, errkind.BadRequest},
			{"ayni", b.ticket(), booking + booking, errkind.BadRequest},
			{"ayni", b.ticket(), `{"service":"reserva","tasks":[]}`, errkind.BadRequest},
			{"ayni", b.ticket(), `{"service":"reserva","tasks":[` + tasks + `]}`, errkind.TooManyTasks},
			{"ayni", b.ticket(), `{"service":"other","tasks":[1]}`, errkind.UnknownService},
			{"ayni", b.ticket(), `{"service":"reserva","tasks":["` + strings.Repeat("x", DefaultMaxBody) + `"]}`, errkind.TooLarge},
			{"ayni", identity.NewTicket("entry-b-9", time.Now()).Text, booking, errkind.OutcomeUnknown},
			{"ayni", identity.NewTicket(b.s.id, time.Now().Add(-time.Hour)).Text, booking, errkind.IdentityExpired},
		} {
			w := <-b.post(tt.member, tt.key, tt.body)
			b.Check(w.Code, qt.Equals, tt.kind.Answer().Status, qt.Commentf("%s", tt.kind))
			b.Check(decode(b, w.Body.Bytes()).Error.Kind, qt.Equals, tt.kind.String())
		}
	})
}

// Peers with a wrong key, an absurd number of slots, or no hello at all must be
// turned away without a lane or a start.
func TestBadGuardsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		good := wire.Hello{Version: 1, MinVersion: 1, Incarnation: "g", Service: "ayni/reserva", Slots: 8, Key: "fleet"}
		bad := map[string]func(*wire.Hello){
			"key":     func(h *wire.Hello) { h.Key = "other" },
			"slots":   func(h *wire.Hello) { h.Slots = 1 << 20 },
			"version": func(h *wire.Hello) { h.Version, h.MinVersion = 99, 98 },
			"name":    func(h *wire.Hello) { h.Incarnation = "" },
		}
		for name, spoil := range bad {
			h := good
			spoil(&h)
			ours, theirs := wiretest.Pipe()
			go b.s.ServeGuardLink(context.Background(), ours)
			b.Assert(theirs.Send(&wire.Frame{Hello: &h}), qt.IsNil)
			<-theirs.Done()
			b.Check(len(b.s.Guards()), qt.Equals, 0, qt.Commentf(name))
		}
		ours, theirs := wiretest.Pipe()
		go b.s.ServeGuardLink(context.Background(), ours)
		began := time.Now()
		<-theirs.Done()
		b.Assert(time.Since(began), qt.Equals, helloTimeout)
	})
}

// A guard links before its upstream has passed the first health check, and says
// that it has while the entry still waits to use it. The report must count, or
// each request is refused for want of workers until the next change.
func TestReportBeforeTheLinkIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.router.hold = make(chan struct{})
		ours, theirs := wiretest.Pipe()
		go b.s.ServeGuardLink(context.Background(), ours)
		b.Assert(theirs.Send(&wire.Frame{Hello: &wire.Hello{
			Version: 1, MinVersion: 1, Incarnation: "guard-1", Service: "ayni/reserva", Worker: "w1", Slots: 8, Key: "fleet",
			Load: wire.Load{Seq: 1, Slots: 8},
		}}), qt.IsNil)
		b.Assert(b.next(theirs).Welcome, qt.IsNotNil)
		b.Assert(theirs.Send(&wire.Frame{Load: &wire.Load{Seq: 2, Slots: 8, Healthy: true}}), qt.IsNil)
		synctest.Wait()
		close(b.router.hold)
		synctest.Wait()
		answer := b.post("ayni", b.ticket(), booking)
		b.ok(theirs, b.next(theirs).Start, `1`)
		b.Assert((<-answer).Code, qt.Equals, http.StatusOK)
	})
}

// All entries are replaced one by one over a day. A guard that was never told of
// the new ones would in the end be linked to none of the living, and its worker
// would stand idle.
func TestGuardsAreToldOfEntriesThatJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		g := b.guard("guard-1", 8)
		time.Sleep(3 * entriesEvery)
		b.silent(g)
		b.router.more.Store(&wire.EntryAddr{Incarnation: "entry-b-1", Inner: "127.0.0.1:2"})
		w := b.next(g).Welcome
		b.Assert(w, qt.IsNotNil)
		b.Assert(w.Entries, qt.HasLen, 2)
		time.Sleep(3 * entriesEvery)
		b.silent(g)
	})
}
