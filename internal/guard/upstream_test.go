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

// rawUpstream reads complete requests from TCP connections. It answers request
// n, counted from 0, with the bytes that respond returns, and then closes the
// connection if respond says so.
type rawUpstream struct {
	net.Listener
	respond func(n int) (response string, closeConn bool)
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

// client returns the guard's client for this upstream.
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

// closeOnReuse answers the first request and keeps the connection open, closes
// it after the second request without an answer, and answers all later requests.
func closeOnReuse(n int) (string, bool) {
	if n == 1 {
		return "", true
	}
	return okResponse, false
}

// Guards against a task running twice because net/http resends a request it considers replayable when
// the upstream closes a reused connection after reading it, as in a crash. The client must send it
// once and report that it may have run; a plain http.Client, the control, sends it twice.
func TestRequestIsNotResent(t *testing.T) {
	u := newRawUpstream(t, closeOnReuse)
	c := u.client(t, nil)
	qt.Assert(t, c.run(t.Context(), newRun("warm")).Kind, qt.Equals, errkind.None)
	got := c.run(t.Context(), newRun("booking"))
	qt.Assert(t, summaries(got.Result), qt.DeepEquals, []string{"upstream_failed, ran unknown, 0"})
	qt.Assert(t, u.requestCount("ayni/booking/0"), qt.Equals, 1)

	control := newRawUpstream(t, closeOnReuse)
	plainClient := &http.Client{Transport: new(http.Transport)}
	for _, key := range []string{"warm", "booking"} {
		req, err := http.NewRequest(http.MethodPost, control.url(), bytes.NewReader([]byte("{}")))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set(TaskHeader, key)
		resp, err := plainClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	plainClient.CloseIdleConnections()
	qt.Assert(t, control.requestCount("booking"), qt.Equals, 2)
}

// Upstreams close the connection, return errors, truncate their responses and
// redirect. The result must be a complete response or a failure, never a partial
// response, and RanNo only if the request was provably never written.
func TestUpstreamFailures(t *testing.T) {
	for _, test := range []struct {
		name, answer, detail string
		want                 string
	}{
		{"closed", "", "EOF", "upstream_failed, ran unknown, 0"},
		{"not HTTP", "what?\r\n\r\n", "malformed", "upstream_failed, ran unknown, 0"},
		{"partial header", "HTTP/1.1 200 OK\r\nConte", "malformed", "upstream_failed, ran unknown, 0"},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}", "EOF", "upstream_partial, ran yes, 0"},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "EOF", "upstream_partial, ran yes, 0"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n{}", "neither", "upstream_partial, ran yes, 0"},
		{"error", "HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nno\xff", "no?", "upstream_failed, ran yes, 503"},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", "", "upstream_failed, ran yes, 307"},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789", "exceeds 8", "upstream_failed, ran yes, 0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := newRawUpstream(t, func(int) (string, bool) { return test.answer, true })
			c := u.client(t, func(o *Options) { o.MaxResponseBytes = 8 })
			got := c.run(t.Context(), newRun("booking"))
			qt.Check(t, summaries(got.Result), qt.DeepEquals, []string{test.want})
			qt.Check(t, got.Detail, qt.Contains, test.detail)
			qt.Check(t, utf8.ValidString(got.Detail) && got.Body == nil, qt.IsTrue)
			qt.Check(t, u.requestCount("ayni/booking/0"), qt.Equals, 1)
		})
	}
}

// The upstream's process has exited and its port refuses connections. As no byte
// was sent, the guard must report RanNo, so that the entry can run the task
// elsewhere before its deadline.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	u := newRawUpstream(t, nil)
	c := u.client(t, nil)
	_ = u.Close()
	got := c.run(t.Context(), newRun("booking"))
	qt.Assert(t, summaries(got.Result), qt.DeepEquals, []string{"upstream_failed, ran no, 0"})
	qt.Assert(t, got.isUnreachable, qt.IsTrue)
}

// The only connection for tasks hangs, and a second task waits for it until its
// deadline. The second was never written and must be reported as not run; the
// first may have run.
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
	// Far later than the deadline of the waiting task, because the connection
	// becomes free when this one expires.
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

// Guards against a task running here and elsewhere: net/http can return an error while its write loop
// is still about to write the request, so that a report of RanNo would be false. Sealing the
// connection must prevent that write.
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
