package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fakeEntry answers each submission with the next of its responses and records
// the identities that it received.
type fakeEntry struct {
	mu        sync.Mutex
	responses []http.HandlerFunc
	keys      []string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(homeHeader, "entry-a-1")
	if r.URL.Path == "/v1/ticket" {
		fmt.Fprint(w, `{"ticket":"entry-a-1.first"}`)
		return
	}
	f.mu.Lock()
	next := f.responses[0]
	f.responses = f.responses[1:]
	f.keys = append(f.keys, r.Header.Get("Idempotency-Key"))
	f.mu.Unlock()
	next(w, r)
}

func cutConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func homeUnreachable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, `{"state":"failed","error":{"kind":"home_unreachable","advice":"same"}}`)
}

func completed(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"state":"complete"}`) }

func overQuota(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusTooManyRequests)
	fmt.Fprint(w, `{"state":"failed","error":{"kind":"over_quota","advice":"new-identity"}}`)
}

func newClient(t *testing.T, responses ...http.HandlerFunc) (*Client, *fakeEntry) {
	f := &fakeEntry{responses: responses}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return &Client{Entries: []string{srv.URL}, Token: "t", HTTP: srv.Client()}, f
}

var testJob = &Job{Service: "s", Tasks: []json.RawMessage{json.RawMessage("1")}}

// Responses are lost, and the home entry is unreachable for a moment. The
// client must resubmit under the same identity: under a new one the job would
// run twice.
func TestLostResponseIsResubmittedUnderTheSameIdentity(t *testing.T) {
	c, f := newClient(t, cutConnection, homeUnreachable, completed)
	a, err := c.Submit(context.Background(), "k", testJob)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Parsed.State, qt.Equals, "complete")
	qt.Assert(t, f.keys, qt.DeepEquals, []string{"k", "k", "k"})
}

// The client must not resubmit after a final refusal. The result would be the
// same, and the retries would add load to an overloaded system.
func TestFinalRefusalIsNotResubmitted(t *testing.T) {
	c, f := newClient(t, overQuota)
	a, err := c.Submit(context.Background(), "k", testJob)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Status, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, f.keys, qt.HasLen, 1)
}

func TestKeyNamesTheLastRespondingEntry(t *testing.T) {
	c, _ := newClient(t, completed)
	key, err := c.NewIdentity(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key, qt.Equals, "entry-a-1.first")
	key, err = c.NewIdentity(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasPrefix(key, "entry-a-1."), qt.IsTrue)
	qt.Assert(t, key, qt.Not(qt.Equals), "entry-a-1.first")
}
