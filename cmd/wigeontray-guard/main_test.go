package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/sample"
	"wigeontray/internal/wire"
)

// runAsGuardEnv is the environment variable that makes the test binary run as the guard,
// so that the test needs no separate build.
const runAsGuardEnv = "WIGEONTRAY_TEST_AS_GUARD"

func TestMain(m *testing.M) {
	if os.Getenv(runAsGuardEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a lost result on SIGTERM while the upstream executes a task. The caller must
// still receive the result, and the process must exit afterwards; otherwise the platform
// kills it together with all tasks in flight.
func TestSIGTERMCompletesRunningTasks(t *testing.T) {
	frames := make(chan *wire.Frame, 16)
	links := make(chan wire.Link, 1)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := wire.Accept(w, r, nil)
		qt.Check(t, err, qt.IsNil)
		links <- link
		for f, err := link.Recv(t.Context()); err == nil; f, err = link.Recv(t.Context()) {
			frames <- f
		}
	}))
	defer entry.Close()
	sampleUpstream := sample.New("w1", 1)
	upstream := httptest.NewServer(sampleUpstream)
	defer upstream.Close()
	guard := exec.Command(os.Args[0], "--config", writeSettings(t, entry.Listener.Addr().String(), upstream.URL))
	guard.Env, guard.Stderr = append(os.Environ(), runAsGuardEnv+"=1"), os.Stderr
	qt.Assert(t, guard.Start(), qt.IsNil)
	defer func() { _ = guard.Process.Kill() }()

	const home = identity.Incarnation("entry-a-1")
	link := <-links
	waitForFrame(t, frames, func(f *wire.Frame) bool { return f.Hello != nil && f.Hello.Worker == "w1" })
	qt.Assert(t, link.Send(&wire.Frame{Welcome: &wire.Welcome{Version: wire.Version, Incarnation: home}}), qt.IsNil)
	waitForFrame(t, frames, func(f *wire.Frame) bool { return f.Load != nil && f.Load.Healthy })
	ref := wire.Ref{Member: "ayni", Key: identity.NewTicket(home, time.Now()).Text}
	start := &wire.Start{Ref: ref, Home: home, LeftMs: 10_000, Body: []byte(`{"sleep_ms":500}`)}
	qt.Assert(t, link.Send(&wire.Frame{Start: start}), qt.IsNil)
	for len(sampleUpstream.StartCounts()) == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, guard.Process.Signal(syscall.SIGTERM), qt.IsNil)
	waitForFrame(t, frames, func(f *wire.Frame) bool { return f.StopNotice != nil })
	waitForFrame(t, frames, func(f *wire.Frame) bool { return f.Result != nil && f.Result.Status == http.StatusOK })
	qt.Assert(t, guard.Wait(), qt.IsNil)
}

// writeSettings writes the guard's settings file and returns its path.
func writeSettings(t *testing.T, entry, upstream string) string {
	path := filepath.Join(t.TempDir(), "guard.ini")
	ini := fmt.Sprintf(`[node]
worker = w1
rack = r1
failure_domain = callao-a
region = lima
[entries]
addresses = %s
[upstream]
url = %s
path = /
health_path = %s
service = ayni/reserva
[listen]
admin = 127.0.0.1:0
`, entry, upstream, sample.HealthPath)
	qt.Assert(t, os.WriteFile(path, []byte(ini), 0o600), qt.IsNil)
	return path
}

// waitForFrame discards frames until one matches, and fails the test after 10 s.
func waitForFrame(t *testing.T, frames <-chan *wire.Frame, matches func(*wire.Frame) bool) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case f := <-frames:
			if matches(f) {
				return
			}
		case <-timeout:
			t.Fatal("timed out after 10 s waiting for the frame")
		}
	}
}
