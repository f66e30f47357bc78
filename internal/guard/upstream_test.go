package guard

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// rawUpstream reads whole requests from TCP and answers the n-th, counted from
// 0, with the bytes that script returns; after an empty or cut answer it closes
// the connection.
type rawUpstream struct {
	net.Listener
	respond func(n int) (answer string, last bool)
	mu      sync.Mutex
	tasks   []string // TaskHeader of each request
}

func newRawUpstream(t testing.TB, respond func(int) (string, bool)) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &rawUpstream{Listener: l, respond: respond}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go u.serve(conn)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.mu.Lock()
		response, closeConn := u.respond(len(u.tasks))
		u.tasks = append(u.tasks, req.Header.Get(TaskHeader))
		u.mu.Unlock()
		_, _ = io.WriteString(conn, response)
		if closeConn {
			return
		}
	}
}

func (u *rawUpstream) requestCount(task string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Count(strings.Join(u.tasks, "\n")+"\n", task+"\n")
}

func (u *rawUpstream) url() string { return "http://" + u.Addr().String() }

// client is the guard's own client of the upstream.
func (u *rawUpstream) client(t testing.TB, change func(*Options)) *upstream {
	opt := testOptions()
	opt.Upstream = u.url()
	if change != nil {
		change(&opt)
	}
	c := newUpstream(opt.withDefaults())
	t.Cleanup(c.close)
	return c
}

func newRun(key string) ledger.Run {
	return ledger.Run{Ref: wire.Ref{Member: "ayni", Key: key}, Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second)}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// closeOnReuse answers the first request and keeps the connection; it reads
// the second whole and closes. Later ones are answered.
func closeOnReuse(n int) (string, bool) {
	if n == 1 {
		return "", true
	}
	return okResponse, false
}

// The upstream reads a booking on a connection that was used before, starts the
// work and dies or restarts. net/http repeats such a request by itself if it
// looks repeatable, and the passenger gets two escorts. The guard's client must
// send it once and say that it may have run; the naive client, as a control,
// sends it twice.
func TestRequestIsNotResent(t *testing.T) {
	u := newRawUpstream(t, closeOnReuse)
	c := u.client(t, nil)
	qt.Assert(t, c.run(t.Context(), newRun("warm")).Kind, qt.Equals, errkind.None)
	got := c.run(t.Context(), newRun("booking"))
	qt.Assert(t, summaries(got.Result), qt.DeepEquals, []string{"upstream_failed, ran unknown, 0"})
	qt.Assert(t, u.requestCount("ayni/booking/0"), qt.Equals, 1)

	control := newRawUpstream(t, closeOnReuse)
	naive := &http.Client{Transport: new(http.Transport)}
	for _, key := range []string{"warm", "booking"} {
		req, err := http.NewRequest(http.MethodPost, control.url(), bytes.NewReader([]byte("{}")))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set(TaskHeader, key)
		resp, err := naive.Do(req)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	naive.CloseIdleConnections()
	qt.Assert(t, control.requestCount("booking"), qt.Equals, 2)
}

// Upstreams die, refuse, cut their answers short and redirect. The caller reads
// a whole answer or a failure, never half of one, and "not run" only if the
// request provably never left.
func TestUpstreamFailures(t *testing.T) {
	for _, test := range []struct {
		name, answer, detail string
		want                 string
	}{
		{"closed", "", "EOF", "upstream_failed, ran unknown, 0"},
		{"no HTTP", "what?\r\n\r\n", "malformed", "upstream_failed, ran unknown, 0"},
		{"half a header", "HTTP/1.1 200 OK\r\nConte", "malformed", "upstream_failed, ran unknown, 0"},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}", "EOF", "upstream_partial, ran yes, 0"},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "EOF", "upstream_partial, ran yes, 0"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n{}", "neither", "upstream_partial, ran yes, 0"},
		{"error", "HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nno\xff", "no?", "upstream_failed, ran yes, 503"},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", "", "upstream_failed, ran yes, 307"},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789", "exceeds 8", "upstream_failed, ran yes, 0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(int) (string, bool) { return test.answer, true })
			c := u.client(t, func(o *Options) { o.MaxAnswer = 8 })
			got := c.run(t.Context(), newRun("booking"))
			qt.Check(t, summaries(got.Result), qt.DeepEquals, []string{test.want})
			qt.Check(t, got.Detail, qt.Contains, test.detail)
			qt.Check(t, utf8.ValidString(got.Detail) && got.Body == nil, qt.IsTrue)
			qt.Check(t, u.requestCount("ayni/booking/0"), qt.Equals, 1)
		})
	}
}

// The upstream's process is gone and its port refuses. No byte could be sent,
// so the guard says "not run" and the task runs elsewhere, inside its deadline.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	u := newRawUpstream(t, nil)
	c := u.client(t, nil)
	_ = u.Close()
	got := c.run(t.Context(), newRun("booking"))
	qt.Assert(t, summaries(got.Result), qt.DeepEquals, []string{"upstream_failed, ran no, 0"})
	qt.Assert(t, got.isUnreachable, qt.IsTrue)
}

// All connections hang and the next task waits for one until its deadline. It
// was never written, so it is "not run"; the one that hangs may have run.
func TestDeadlineDistinguishesWrittenFromUnwritten(t *testing.T) {
	requestRead, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	u := newRawUpstream(t, func(n int) (string, bool) {
		if n == 0 {
			close(requestRead)
		}
		<-release
		return "", true
	})
	c := u.client(t, func(o *Options) { o.Connections = 2 })
	// Far beyond the other deadline: once it passes, the connection is free.
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	written := make(chan taskResult, 1)
	go func() { written <- c.run(ctx, newRun("written")) }()
	<-requestRead
	waiting := newRun("waiting")
	waiting.Deadline = time.Now().Add(50 * time.Millisecond)
	got := []wire.Result{c.run(t.Context(), waiting).Result, (<-written).Result}
	qt.Assert(t, summaries(got...), qt.DeepEquals, []string{
		"deadline_expired, ran no, 0", "timed_out, ran unknown, 0",
	})
}

// net/http gives up on a request while its writer is still about to write. If
// the guard called that "not run", the bytes could leave a moment later and the
// task would run here and elsewhere. Sealing must forbid them first.
func TestSealedConnectionWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	_ = b.Close()
	c := &trackedConn{Conn: a}
	qt.Assert(t, c.sealIfUnwritten(c.offset()), qt.IsTrue)
	_, err := c.Write([]byte("POST"))
	qt.Assert(t, err, qt.ErrorIs, net.ErrClosed)

	written := &trackedConn{Conn: a}
	before := written.offset()
	_, _ = written.Write([]byte("POST"))
	qt.Assert(t, written.sealIfUnwritten(before), qt.IsFalse)
}
