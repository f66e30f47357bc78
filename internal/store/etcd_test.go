package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/store"
	"wigeontray/internal/store/etcdjson"
	"wigeontray/internal/store/standin"
)

// embedded gives a client of a stand-in in the same process.
func embedded(t *testing.T) (*store.Etcd, *standin.Server) {
	server := standin.New()
	t.Cleanup(server.Close)
	return store.NewEtcd(store.Options{
		Endpoints: []string{"http://store"}, Timeout: time.Second, Transport: &standin.Transport{Handler: server},
	}), server
}

func TestCompareAndSwap(t *testing.T) {
	c, ctx := qt.New(t), t.Context()
	e, _ := embedded(t)
	first, err := e.Put(ctx, "/a/1", []byte("x\x00\xff"), 0, 0)
	c.Assert(err, qt.IsNil)
	second, err := e.Put(ctx, "/a/2", []byte("y"), 0, 0)
	c.Assert(err, qt.IsNil)
	kvs, revision, err := e.Range(ctx, "/a/")
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, second)
	c.Assert(kvs, qt.DeepEquals, []store.KV{
		{Key: "/a/1", Value: []byte("x\x00\xff"), ModRevision: first}, {Key: "/a/2", Value: []byte("y"), ModRevision: second},
	})
	_, err = e.Put(ctx, "/a/1", []byte("z"), 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrConflict)
	conflict, _ := errors.AsType[*store.ConflictError](err)
	c.Assert(conflict.Current.ModRevision, qt.Equals, first)
	_, err = e.Delete(ctx, "/a/1", first)
	c.Assert(err, qt.IsNil)
	_, err = e.Delete(ctx, "/a/1", first)
	c.Assert(err, qt.ErrorIs, store.ErrConflict)
	latest, err := e.Latest(ctx, "/a/")
	c.Assert(err, qt.IsNil)
	c.Assert(latest, qt.Equals, store.Latest{ModRevision: second, Count: 1, Revision: second + 1})
}

func TestWatchDeliversHistoryAndNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		e, _ := embedded(t)
		first, _ := e.Put(ctx, "/a/1", []byte("x"), 0, 0)
		ctx, cancel := context.WithCancel(ctx)
		out, ended := make(chan store.Batch), make(chan error, 1)
		go func() { ended <- e.Watch(ctx, "/a/", first-1, out) }()
		c.Assert((<-out).Revision, qt.Equals, first)
		_, _ = e.Put(ctx, "/b", nil, 0, 0)
		second, _ := e.Delete(ctx, "/a/1", first)
		b := <-out
		c.Assert(b.Revision, qt.Equals, second)
		c.Assert(b.Events, qt.DeepEquals, []store.Event{{KV: store.KV{Key: "/a/1", ModRevision: second}, Deleted: true}})
		cancel()
		_, open := <-out
		c.Assert(open, qt.IsFalse)
		c.Assert(<-ended, qt.ErrorIs, context.Canceled)
	})
}

// The store compacts its history while an entry is cut off from it. If the
// watch went on as if nothing were missing, the entry would never see the
// changes in between and obey an old configuration for good.
func TestWatchOfCompactedRevisionSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, server := embedded(t)
		first, _ := e.Put(t.Context(), "/a", nil, 0, 0)
		_, _ = e.Put(t.Context(), "/a", nil, first, 0)
		server.Compact()
		err := e.Watch(t.Context(), "/a", first-1, make(chan store.Batch))
		qt.Assert(t, err, qt.ErrorIs, store.ErrCompacted)
	})
}

// The holder of a lease is paused for longer than the lease lives, and then
// goes on as if nothing had happened. It must be told that the lease and its
// keys are gone, or it would count itself present while others do not.
func TestLeaseLapsesWhileItsHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		e, _ := embedded(t)
		id, err := e.Grant(ctx, 3*time.Second)
		c.Assert(err, qt.IsNil)
		_, err = e.Put(ctx, "/entries/a", []byte("x"), 0, id)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(e.KeepAlive(ctx, id), qt.IsNil)
		time.Sleep(2 * time.Second)
		kvs, _, _ := e.Range(ctx, "/entries/")
		c.Assert(kvs, qt.HasLen, 1)
		time.Sleep(2 * time.Second)
		c.Assert(e.KeepAlive(ctx, id), qt.ErrorIs, store.ErrLeaseGone)
		c.Assert(e.Revoke(ctx, id), qt.ErrorIs, store.ErrLeaseGone)
		kvs, _, _ = e.Range(ctx, "/entries/")
		c.Assert(kvs, qt.HasLen, 0)
		_, err = e.Put(ctx, "/entries/a", []byte("x"), 0, id)
		c.Assert(err, qt.ErrorIs, store.ErrLeaseGone)
	})
}

// The store hangs. A call without a time limit of its own would hang with it,
// and whoever waits for the call as well.
func TestSlowStoreTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, server := embedded(t)
		server.SetDelay(time.Hour)
		start := time.Now()
		_, err := e.Put(t.Context(), "/a", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(server.Revision(), qt.Equals, int64(1))
	})
}

// A write took effect and the connection broke before its answer. The client
// must say that it does not know; "not written" would be false.
func TestLostAnswerIsUnavailable(t *testing.T) {
	c := qt.New(t)
	e, server := embedded(t)
	server.LoseAnswers(1)
	_, err := e.Put(t.Context(), "/a", []byte("x"), 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	kvs, _, err := e.Range(t.Context(), "/a")
	c.Assert(err, qt.IsNil)
	c.Assert(kvs, qt.HasLen, 1)
}

// cutter is a listener's handler that answers the first request and cuts every
// later one after it has been read, as a server does that dies under load.
func cutter(seen *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if seen.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"header":{"revision":"2"},"succeeded":true}`)
	}
}

// net/http repeats some requests by itself when a kept connection breaks. A
// repeated write meets its own first copy: the operator would be told that
// somebody else had changed the record, and nobody had.
func TestWritesAreSentOnce(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Int32
	server := httptest.NewServer(cutter(&seen))
	defer server.Close()
	e := store.NewEtcd(store.Options{Endpoints: []string{server.URL}})
	_, err := e.Put(t.Context(), "/a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = e.Put(t.Context(), "/a", nil, 2, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(seen.Load(), qt.Equals, int32(2))
}

// A balancer in front of the store redirects. net/http follows a 307 by sending
// the body again, to an address that nobody has configured.
func TestWritesAreNotRedirected(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Int32
	other := httptest.NewServer(cutter(&seen))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	e := store.NewEtcd(store.Options{Endpoints: []string{server.URL}})
	_, err := e.Put(t.Context(), "/a", nil, 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(seen.Load(), qt.Equals, int32(0))
}

// One of the store's endpoints is gone. Reads go to the next one, and so do
// writes, as long as no connection could be made; a write that may have been
// received is never sent to a second endpoint.
func TestSeveralEndpoints(t *testing.T) {
	c, ctx := qt.New(t), t.Context()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed.Close()
	dead := "http://" + closed.Addr().String()
	live := httptest.NewServer(standin.New())
	defer live.Close()

	registry := metrics.NewRegistry()
	e := store.NewEtcd(store.Options{Endpoints: []string{dead, live.URL}, Registry: registry})
	_, err = e.Put(ctx, "/a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, _, err = e.Range(ctx, "/a")
	c.Assert(err, qt.IsNil)
	calls := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	c.Assert(calls("store.calls.put"), qt.Equals, int64(2))
	c.Assert(calls("store.failed.put"), qt.Equals, int64(1))
	c.Assert(calls("store.calls.range"), qt.Equals, int64(1)) // the dead one is passed over now

	cutting, second := standin.New(), standin.New()
	cutting.LoseAnswers(1)
	a, b := httptest.NewServer(cutting), httptest.NewServer(second)
	defer a.Close()
	defer b.Close()
	e = store.NewEtcd(store.Options{Endpoints: []string{a.URL, b.URL}})
	_, err = e.Put(ctx, "/a", nil, 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(second.Calls(etcdjson.PathTxn), qt.Equals, 0)
}

// A value is larger than the store takes. The store says so for certain, and an
// operator must not be told that the outcome is unknown.
func TestRefusalIsDefinite(t *testing.T) {
	e, _ := embedded(t)
	_, err := e.Put(t.Context(), "/a", make([]byte, 1<<20+1), 0, 0)
	qt.Assert(t, err, qt.ErrorIs, store.ErrRefused)
}

// Something between the client and the store answers in its place: a login
// page, a balancer's own 200, half an answer. An empty object must not read as
// "no records" or "somebody else won".
func TestAnswersThatAreNotTheStores(t *testing.T) {
	for _, body := range []string{"", "{}", "null", "<html>", `{"header":{}}`, `{"succeeded":true`, `{"result":{}}`, `{"header":{"revision":"x"}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body) }))
		e := store.NewEtcd(store.Options{Endpoints: []string{server.URL}})
		_, _, err := e.Range(t.Context(), "/a")
		qt.Check(t, err, qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
		_, err = e.Put(t.Context(), "/a", nil, 1, 0)
		qt.Check(t, err, qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
		_, err = e.Grant(t.Context(), time.Second)
		qt.Check(t, err, qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
		qt.Check(t, e.KeepAlive(t.Context(), 1), qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
		err = e.Watch(t.Context(), "/a", 1, make(chan store.Batch, 1))
		qt.Check(t, err, qt.ErrorIs, store.ErrUnavailable, qt.Commentf(body))
		server.Close()
	}
}
