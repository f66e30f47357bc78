package recordapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/confsync"
	"wigeontray/internal/errkind"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
)

// api is the handler on a running Sync. A request's token is the name of the
// member, or "consortium".
type api struct {
	*qt.C
	handler http.Handler
	server  *standin.Server
}

func runWithAPI(t *testing.T, test func(a *api)) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		defer server.Close()
		s := confsync.New(confsync.Options{Store: store.NewEtcd(store.Options{
			Endpoints: []string{"http://store"}, Transport: &standin.Transport{Handler: server},
		})})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		synctest.Wait()
		test(&api{C: qt.New(t), server: server, handler: New(Options{Sync: s, Authenticate: authenticate})})
	})
}

func authenticate(r *http.Request) (Principal, error) {
	switch name := r.Header.Get("Authorization"); name {
	case "":
		return Principal{}, errkind.New(errkind.Unauthenticated, "no token")
	case "consortium":
		return Principal{IsConsortiumOperator: true}, nil
	default:
		return Principal{Member: name}, nil
	}
}

// do sends a request. condition is the value of If-Match, "*" to create a record,
// or empty for no condition.
func (a *api) do(who, method, path, condition, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", who)
	switch condition {
	case "":
	case "*":
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", condition)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	synctest.Wait() // until the watch delivers a change
	return w
}

func (a *api) assertRefused(w *httptest.ResponseRecorder, kind errkind.Kind) ErrorDetail {
	a.Helper()
	var body ErrorBody
	a.Assert(json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil)
	a.Assert(body.Error.Kind, qt.Equals, kind.String(), qt.Commentf("%s", w.Body))
	a.Assert(w.Code, qt.Equals, kind.Answer().Status)
	return body.Error
}

func (a *api) createMember(name string) string {
	w := a.do("consortium", "PUT", "/v1/records/member/"+name, "*", fmt.Sprintf(`{"kind":"member","name":%q,"schema":1}`, name))
	a.Assert(w.Code, qt.Equals, http.StatusCreated, qt.Commentf("%s", w.Body))
	return w.Header().Get("ETag")
}

const reserva = `{"kind":"service","name":"ayni/reserva","schema":2}`

func TestRecordLifecycle(t *testing.T) {
	runWithAPI(t, func(a *api) {
		a.createMember("ayni")
		path := "/v1/records/service/ayni/reserva"
		w := a.do("ayni", "PUT", path, "*", reserva)
		a.Assert(w.Code, qt.Equals, http.StatusCreated)
		first := w.Header().Get("ETag")
		w = a.do("ayni", "GET", path, "", "")
		a.Assert(w.Header().Get("ETag"), qt.Equals, first)
		w = a.do("ayni", "PUT", path, first, reserva)
		a.Assert(w.Code, qt.Equals, http.StatusOK)
		second := w.Header().Get("ETag")
		detail := a.assertRefused(a.do("ayni", "PUT", path, first, reserva), errkind.RecordConflict)
		a.Assert(fmt.Sprintf("%q", fmt.Sprint(detail.Current)), qt.Equals, second)
		a.assertRefused(a.do("ayni", "PUT", path, "*", reserva), errkind.RecordConflict)
		a.assertRefused(a.do("ayni", "PUT", path, second, `{"kind":"service","name":"ayni/reserva","schema":2,"x":1}`), errkind.RecordInvalid)
		a.Assert(a.do("ayni", "DELETE", path, second, "").Code, qt.Equals, http.StatusOK)
		a.assertRefused(a.do("ayni", "GET", path, "", ""), errkind.NotFound)
	})
}

// A member guesses the names of another member's records. The responses must not
// reveal whether they exist, and no record may change.
func TestRecordsOfOtherMembersAreHidden(t *testing.T) {
	runWithAPI(t, func(a *api) {
		a.createMember("ayni")
		a.createMember("leeuwin")
		a.Assert(a.do("ayni", "PUT", "/v1/records/service/ayni/reserva", "*", reserva).Code, qt.Equals, http.StatusCreated)
		existing := a.do("leeuwin", "GET", "/v1/records/service/ayni/reserva", "", "")
		absent := a.do("leeuwin", "GET", "/v1/records/service/ayni/reservb", "", "")
		a.assertRefused(existing, errkind.NotFound)
		a.Assert(strings.ReplaceAll(existing.Body.String(), "reserva", "reservb"), qt.Equals, absent.Body.String())
		for _, method := range []string{"PUT", "DELETE"} {
			a.assertRefused(a.do("leeuwin", method, "/v1/records/service/ayni/reserva", `"4"`, reserva), errkind.NotFound)
			a.assertRefused(a.do("leeuwin", method, "/v1/records/member/ayni", `"2"`, ""), errkind.NotFound)
			a.assertRefused(a.do("consortium", method, "/v1/records/service/ayni/reserva", `"4"`, reserva), errkind.NotFound)
		}
		list := func(who string) string {
			var out List
			a.Assert(json.Unmarshal(a.do(who, "GET", PathList, "", "").Body.Bytes(), &out), qt.IsNil)
			var names []string
			for _, r := range out.Records {
				names = append(names, string(r.Kind)+" "+r.Name)
			}
			return strings.Join(names, ", ")
		}
		a.Assert(list("ayni"), qt.Equals, "member ayni, service ayni/reserva")
		a.Assert(list("leeuwin"), qt.Equals, "member leeuwin")
		a.Assert(list("consortium"), qt.Equals, "member ayni, member leeuwin")
		a.Assert(list("nobody"), qt.Equals, "")
	})
}

// A member may change its own record, for example its teams, but must not create or
// delete a member record.
func TestOnlyTheConsortiumCreatesAndDeletesMembers(t *testing.T) {
	runWithAPI(t, func(a *api) {
		etag := a.createMember("ayni")
		a.assertRefused(a.do("ayni", "DELETE", "/v1/records/member/ayni", etag, ""), errkind.Forbidden)
		a.assertRefused(a.do("new", "PUT", "/v1/records/member/new", "*", `{"kind":"member","name":"new","schema":1}`), errkind.Forbidden)
		w := a.do("ayni", "PUT", "/v1/records/member/ayni", etag, `{"kind":"member","name":"ayni","schema":1,"teams":["kiosks"]}`)
		a.Assert(w.Code, qt.Equals, http.StatusOK)
		a.Assert(a.do("consortium", "DELETE", "/v1/records/member/ayni", w.Header().Get("ETag"), "").Code, qt.Equals, http.StatusOK)
	})
}

// A member puts the hash of another member's token into its own record. If this
// were accepted, requests with that token would no longer belong to any member.
func TestTokenHashOfAnotherMemberIsRejected(t *testing.T) {
	runWithAPI(t, func(a *api) {
		memberJSON := func(name string) string {
			return fmt.Sprintf(`{"kind":"member","name":%q,"schema":1,"token_sha256":["%064d"]}`, name, 7)
		}
		a.Assert(a.do("consortium", "PUT", "/v1/records/member/ayni", "*", memberJSON("ayni")).Code, qt.Equals, http.StatusCreated)
		a.assertRefused(a.do("leeuwin", "PUT", "/v1/records/member/leeuwin", a.createMember("leeuwin"), memberJSON("leeuwin")), errkind.RecordInvalid)
	})
}

// Malformed requests must get an error of the defined kinds and change nothing.
func TestBadRequests(t *testing.T) {
	runWithAPI(t, func(a *api) {
		a.createMember("ayni")
		path, before := "/v1/records/service/ayni/reserva", a.server.Revision()
		a.assertRefused(a.do("", "GET", PathList, "", ""), errkind.Unauthenticated)
		a.assertRefused(a.do("ayni", "PUT", path, "", reserva), errkind.BadRequest)
		for _, condition := range []string{"3", `"0"`, `"x"`, `W/"3"`, `"3", "4"`, `"-1"`} {
			a.assertRefused(a.do("ayni", "PUT", path, condition, reserva), errkind.BadRequest)
		}
		a.assertRefused(a.do("ayni", "GET", "/v1/records/upstream/ayni/x", "", ""), errkind.BadRequest)
		a.assertRefused(a.do("ayni", "GET", "/v1/records/service/ayni", "", ""), errkind.BadRequest)
		a.assertRefused(a.do("ayni", "PUT", path, "*", strings.Repeat("x", 1<<17)), errkind.TooLarge)
		a.assertRefused(a.do("ayni", "PUT", path, "*", "{"), errkind.RecordInvalid)
		a.Assert(a.server.Revision(), qt.Equals, before)
	})
}

// The store is down. Reads must be served from the snapshot. A write must be
// rejected with ran "no" and a Retry-After.
func TestStoreOutage(t *testing.T) {
	runWithAPI(t, func(a *api) {
		etag := a.createMember("ayni")
		a.server.SetDown(true)
		a.Assert(a.do("ayni", "GET", "/v1/records/member/ayni", "", "").Header().Get("ETag"), qt.Equals, etag)
		w := a.do("ayni", "PUT", "/v1/records/member/ayni", etag, `{"kind":"member","name":"ayni","schema":1}`)
		a.Assert(a.assertRefused(w, errkind.StoreUnavailable).Ran, qt.Equals, "no")
		a.Assert(w.Header().Get("Retry-After"), qt.Equals, "3")
	})
}

// An entry without a configuration must not return an empty list of records.
func TestNotReady(t *testing.T) {
	c := qt.New(t)
	a := &api{C: c, handler: New(Options{Sync: confsync.New(confsync.Options{}), Authenticate: authenticate})}
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", PathList, nil)
	r.Header.Set("Authorization", "ayni")
	a.handler.ServeHTTP(w, r)
	a.assertRefused(w, errkind.StoreUnavailable)
}
