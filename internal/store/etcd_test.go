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

// newEmbedded returns a client of an in-process stand-in server, and the
// server. Tests call it in a synctest bubble: on a busy machine a call can take
// longer than the client's timeout.
func newEmbedded(t *testing.T) (*store.Etcd, *standin.Server) {
	server := standin.New()
	t.Cleanup(server.Close)
	return store.NewEtcd(store.Options{
		Endpoints: []string{"http://store"}, Timeout: time.Second, Transport: &standin.Transport{Handler: server},
	}), server
}

func TestCompareAndSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		e, _ := newEmbedded(t)
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
		latest, err := e.PrefixState(ctx, "/a/")
		c.Assert(err, qt.IsNil)
		c.Assert(latest, qt.Equals, store.PrefixState{ModRevision: second, Count: 1, Revision: second + 1})
	})
}

func TestWatchDeliversPastAndNewEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		e, _ := newEmbedded(t)
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

// The store compacts its history while an entry is disconnected. A watch that
// resumed as if no event were missing would leave the entry with an outdated
// configuration permanently, so it must fail.
func TestWatchOfCompactedRevisionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, server := newEmbedded(t)
		first, _ := e.Put(t.Context(), "/a", nil, 0, 0)
		_, _ = e.Put(t.Context(), "/a", nil, first, 0)
		server.Compact()
		err := e.Watch(t.Context(), "/a", first-1, make(chan store.Batch))
		qt.Assert(t, err, qt.ErrorIs, store.ErrCompacted)
	})
}

// The holder of a lease is paused for longer than the lease's TTL and then
// resumes. Renewing the lease must fail, or the holder would count itself as
// registered while other processes see its keys deleted.
func TestLeaseExpiresWhileItsHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		e, _ := newEmbedded(t)
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
		c.Assert(e.KeepAlive(ctx, id), qt.ErrorIs, store.ErrLeaseNotFound)
		c.Assert(e.Revoke(ctx, id), qt.ErrorIs, store.ErrLeaseNotFound)
		kvs, _, _ = e.Range(ctx, "/entries/")
		c.Assert(kvs, qt.HasLen, 0)
		_, err = e.Put(ctx, "/entries/a", []byte("x"), 0, id)
		c.Assert(err, qt.ErrorIs, store.ErrLeaseNotFound)
	})
}

// The store hangs. Without its own timeout the call would hang too, and so
// would its caller.
func TestSlowStoreTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, server := newEmbedded(t)
		server.SetDelay(time.Hour)
		start := time.Now()
		_, err := e.Put(t.Context(), "/a", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(server.Revision(), qt.Equals, int64(1))
	})
}

// A write takes effect and the connection breaks before the response arrives.
// The client must report the outcome as unknown and not as "not written".
func TestLostResponseIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, server := newEmbedded(t)
		server.DropResponses(1)
		_, err := e.Put(t.Context(), "/a", []byte("x"), 0, 0)
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		kvs, _, err := e.Range(t.Context(), "/a")
		c.Assert(err, qt.IsNil)
		c.Assert(kvs, qt.HasLen, 1)
	})
}

// cutAfterFirst returns a handler that answers the first request. It reads
// every later one and then closes the connection, as a server does that crashes
// under load.
func cutAfterFirst(requests *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"header":{"revision":"2"},"succeeded":true}`)
	}
}

// net/http resends some requests on its own if an idle connection turns out to
// be broken. A resent write conflicts with its own first copy and would be
// reported as a conflict with another operator.
func TestWritesAreSentOnce(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	server := httptest.NewServer(cutAfterFirst(&requests))
	defer server.Close()
	e := store.NewEtcd(store.Options{Endpoints: []string{server.URL}})
	_, err := e.Put(t.Context(), "/a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = e.Put(t.Context(), "/a", nil, 2, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(requests.Load(), qt.Equals, int32(2))
}

// A load balancer in front of the store redirects a write. net/http follows a
// 307 by sending the body again, to an address that is not configured.
func TestWritesAreNotRedirected(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	other := httptest.NewServer(cutAfterFirst(&requests))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	e := store.NewEtcd(store.Options{Endpoints: []string{server.URL}})
	_, err := e.Put(t.Context(), "/a", nil, 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(requests.Load(), qt.Equals, int32(0))
}

// One endpoint of the store is down. Reads fail over to the next one, and so do
// writes if no connection could be made. A write that may have been received is
// never sent to a second endpoint.
func TestEndpointFailover(t *testing.T) {
	c, ctx := qt.New(t), t.Context()
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closedListener.Close()
	unreachableURL := "http://" + closedListener.Addr().String()
	live := httptest.NewServer(standin.New())
	defer live.Close()

	registry := metrics.NewRegistry()
	e := store.NewEtcd(store.Options{Endpoints: []string{unreachableURL, live.URL}, Registry: registry})
	_, err = e.Put(ctx, "/a", nil, 0, 0)
	c.Assert(err, qt.IsNil)
	_, _, err = e.Range(ctx, "/a")
	c.Assert(err, qt.IsNil)
	counter := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	c.Assert(counter("store.calls.put"), qt.Equals, int64(2))
	c.Assert(counter("store.failed.put"), qt.Equals, int64(1))
	c.Assert(counter("store.calls.range"), qt.Equals, int64(1)) // the unreachable endpoint is now tried last

	dropping, second := standin.New(), standin.New()
	dropping.DropResponses(1)
	a, b := httptest.NewServer(dropping), httptest.NewServer(second)
	defer a.Close()
	defer b.Close()
	e = store.NewEtcd(store.Options{Endpoints: []string{a.URL, b.URL}})
	_, err = e.Put(ctx, "/a", nil, 0, 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(second.Calls(etcdjson.PathTxn), qt.Equals, 0)
}

// A value exceeds the store's size limit. The store rejects it, so the error
// must not report the outcome as unknown.
func TestTooLargeValueIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newEmbedded(t)
		_, err := e.Put(t.Context(), "/a", make([]byte, 1<<20+1), 0, 0)
		qt.Assert(t, err, qt.ErrorIs, store.ErrRefused)
	})
}

// Something between client and store responds in its place: a login page, a
// load balancer's own 200, a truncated response. An empty object must not read
// as "no records" or as a conflict.
func TestInvalidResponsesAreUnavailable(t *testing.T) {
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
