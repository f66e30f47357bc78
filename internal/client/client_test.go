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

// fakeEntry answers each submission with the next of its answers, and notes the
// identities that it saw.
type fakeEntry struct {
	mu      sync.Mutex
	answers []http.HandlerFunc
	keys    []string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(homeHeader, "entry-a-1")
	if r.URL.Path == "/v1/ticket" {
		fmt.Fprint(w, `{"ticket":"entry-a-1.first"}`)
		return
	}
	f.mu.Lock()
	next := f.answers[0]
	f.answers = f.answers[1:]
	f.keys = append(f.keys, r.Header.Get("Idempotency-Key"))
	f.mu.Unlock()
	next(w, r)
}

func cut(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func unreachable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, `{"state":"failed","error":{"kind":"home_unreachable","advice":"same"}}`)
}

func complete(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"state":"complete"}`) }

func refused(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusTooManyRequests)
	fmt.Fprint(w, `{"state":"failed","error":{"kind":"over_quota","advice":"new-identity"}}`)
}

func newClient(t *testing.T, answers ...http.HandlerFunc) (*Client, *fakeEntry) {
	f := &fakeEntry{answers: answers}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return &Client{Entries: []string{srv.URL}, Token: "t", HTTP: srv.Client()}, f
}

var job = &Job{Service: "s", Tasks: []json.RawMessage{json.RawMessage("1")}}

// Answers are lost, and the owner cannot be reached for a moment. The client must
// ask again under the same identity; a new one would book a second escort.
func TestResubmitsUnderTheSameIdentity(t *testing.T) {
	c, f := newClient(t, cut, unreachable, complete)
	a, err := c.Submit(context.Background(), "k", job)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Parsed.State, qt.Equals, "complete")
	qt.Assert(t, f.keys, qt.DeepEquals, []string{"k", "k", "k"})
}

// A final refusal is not asked again: it would come back the same, at the price
// of more load on a system that is short of room.
func TestFinalRefusalIsNotRepeated(t *testing.T) {
	c, f := newClient(t, refused)
	a, err := c.Submit(context.Background(), "k", job)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Status, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, f.keys, qt.HasLen, 1)
}

func TestKeyNamesTheEntryThatAnswered(t *testing.T) {
	c, _ := newClient(t, complete)
	key, err := c.Key(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key, qt.Equals, "entry-a-1.first")
	key, err = c.Key(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasPrefix(key, "entry-a-1."), qt.IsTrue)
	qt.Assert(t, key, qt.Not(qt.Equals), "entry-a-1.first")
}
