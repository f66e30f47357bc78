package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

func TestLeastSquares(t *testing.T) {
	c := qt.New(t)
	c.Assert(leastSquares([]float64{10, 50, 200}, []float64{25, 105, 405}), qt.Equals, Line{Intercept: 5, Slope: 2})
	c.Assert(leastSquares([]float64{10}, []float64{25}), qt.Equals, Line{Intercept: 25})
}

// Guards against an entry version that lacks a metric. Read as zero, it would make
// the report claim that guards cost nothing.
func TestMissingMetricReturnsError(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(telemetry.New().WriteText(&b), qt.IsNil)
	metrics, err := parseMetrics(strings.NewReader(b.String()))
	c.Assert(err, qt.IsNil)
	c.Assert(metrics.Resident > 0, qt.IsTrue)
	cut := strings.ReplaceAll(b.String(), "process_cpu_seconds_total ", "other ")
	_, err = parseMetrics(strings.NewReader(cut))
	c.Assert(err, qt.ErrorMatches, ".*no process_cpu_seconds_total")
}

func TestMeterCountsBothDirectionsAndClosedConns(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	peer, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = peer.Close() }()
	m := newMeter()
	conn := m.wrap(raw)
	_, err = conn.Write([]byte("abc"))
	c.Assert(err, qt.IsNil)
	_, err = peer.Write([]byte("de"))
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 2))
	c.Assert(err, qt.IsNil)
	c.Assert(m.bytes.Load(), qt.Equals, int64(5))
	before := m.segments()
	c.Assert(before >= 3, qt.IsTrue, qt.Commentf("%d segments: handshake and two payloads", before))
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(m.segments() >= before, qt.IsTrue)
}

const fakeIncarnation = "entry-0"

// fakeEntry accepts guards and sends the single task of each job to one of them.
type fakeEntry struct {
	metrics *telemetry.Registry
	mu      sync.Mutex
	links   map[wire.Link]chan *wire.Result
}

func (e *fakeEntry) serveGuard(w http.ResponseWriter, r *http.Request) {
	l, err := wire.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer l.Close("done")
	if f, err := l.Recv(r.Context()); err != nil || f.Hello == nil || l.Send(&wire.Frame{Welcome: &wire.Welcome{Version: wire.Version, Incarnation: fakeIncarnation}}) != nil {
		return
	}
	results := make(chan *wire.Result, 1)
	e.mu.Lock()
	e.links[l] = results
	e.metrics.Set(telemetry.Guards, int64(len(e.links)))
	e.mu.Unlock()
	for {
		f, err := l.Recv(r.Context())
		if err != nil || f.StopNotice != nil {
			break
		}
		if f.Result != nil {
			results <- f.Result
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.links, l)
	e.metrics.Set(telemetry.Guards, int64(len(e.links)))
}

func (e *fakeEntry) serveJob(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l, results := range e.links {
		_ = l.Send(&wire.Frame{Start: &wire.Start{Ref: wire.Ref{Key: r.Header.Get("Idempotency-Key")}, Of: 1, Home: fakeIncarnation, LeftMs: 1000}})
		if (<-results).Status != http.StatusOK {
			w.WriteHeader(http.StatusBadGateway)
		}
		return
	}
}

func TestRunReportsEachSize(t *testing.T) {
	c := qt.New(t)
	e := &fakeEntry{metrics: telemetry.New(), links: make(map[wire.Link]chan *wire.Result)}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.GuardPath, e.serveGuard)
	mux.HandleFunc("POST /v1/jobs", e.serveJob)
	mux.Handle("GET /metrics", e.metrics)
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	o := Options{
		Target: Target{Inner: server.Listener.Addr().String(), Callers: server.URL, Admin: server.URL, Member: "m", Service: "s", InProcess: true},
		Guards: []int{5, 2}, Jobs: []int{1}, Idle: 10 * time.Millisecond, Load: 50 * time.Millisecond, Callers: 2, JSON: true, settleDelay: time.Millisecond,
	}
	c.Assert(Run(context.Background(), o, &out), qt.IsNil)
	var r Report
	c.Assert(json.Unmarshal(out.Bytes(), &r), qt.IsNil)
	c.Assert(r.Sizes, qt.HasLen, 2)
	for i, n := range []int{2, 5} {
		c.Check(r.Sizes[i].Guards, qt.Equals, n)
		l := r.Sizes[i].Loads[0]
		c.Check(l.Tasks > 0 && l.FailedJobs == 0, qt.IsTrue)
		c.Check(l.FramesPerTask, qt.Equals, 2.0)
		c.Check(l.BytesPerTask > 50 && l.WireBytesPerTask > l.BytesPerTask, qt.IsTrue)
		c.Check(l.CPUMicrosPerTask > 0, qt.IsTrue)
	}
	var table bytes.Buffer
	c.Assert(r.writeTable(&table), qt.IsNil)
	c.Assert(strings.Contains(table.String(), "5 guards"), qt.IsTrue)
}

func TestTooManyGuardsReturnsError(t *testing.T) {
	c := qt.New(t)
	err := Run(context.Background(), Options{Guards: []int{MaxGuards + 1}}, new(bytes.Buffer))
	c.Assert(err, qt.ErrorMatches, "capacity: want 1 to 1000 guards.*")
}
