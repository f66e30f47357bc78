package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// The reader of a process's log stops reading. Requests must continue; lines that do not
// fit are dropped and counted, and a line reports their number when the reader resumes.
func TestLogWriteDoesNotBlockOnItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		q := NewLogQueue(w, LogLimits{BytesPerSecond: 1 << 20, QueueBytes: 1000})
		line := []byte(strings.Repeat("x", 99) + "\n")
		for range 50 {
			_, _ = q.Write(line)
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		qt.Assert(t, q.Dropped() >= 30, qt.IsTrue)
		close(w.unblock)
		synctest.Wait()
		_, _ = q.Write([]byte("after\n"))
		q.Close(time.Second)
		qt.Assert(t, strings.Contains(w.buf.String(), "log lines dropped count="), qt.IsTrue)
		qt.Assert(t, strings.HasSuffix(w.buf.String(), "after\n"), qt.IsTrue)
	})
}

// Under load routine lines use up their share of the volume. A failure logged among them
// must still be written.
func TestRoutineLinesLeaveRoomForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		q := NewLogQueue(&out, LogLimits{BytesPerSecond: 1000, QueueBytes: 2000})
		routine := q.RoutineWriter()
		for range 100 {
			_, _ = routine.Write([]byte(strings.Repeat("r", 99) + "\n"))
		}
		_, _ = q.Write([]byte("failure\n"))
		q.Close(time.Second)
		qt.Assert(t, strings.Contains(out.String(), "failure\n"), qt.IsTrue)
		qt.Assert(t, strings.Count(out.String(), "rrr\n"), qt.Equals, 10)
	})
}

// The sustained log volume stays within its limit.
func TestLogVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		q := NewLogQueue(&out, LogLimits{BytesPerSecond: 1000, QueueBytes: 2000})
		for range 1000 {
			_, _ = q.Write([]byte(strings.Repeat("x", 99) + "\n"))
			time.Sleep(10 * time.Millisecond)
		}
		q.Close(time.Second)
		qt.Assert(t, out.Len() <= 2000+10*1000+1000, qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
		qt.Assert(t, out.Len() >= 10*900, qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
	})
}

func BenchmarkLogLine(b *testing.B) {
	q := NewLogQueue(io.Discard, LogLimits{BytesPerSecond: 1 << 40, QueueBytes: 1 << 30})
	l, err := NewLogger(LogJSON, "info", q)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Info("job ended", "job", "5c0e7a21d94b36f8", "outcome", "timed_out", "ran", "unknown", "cause", "the deadline passed", "took", time.Second)
	}
	q.Close(time.Second)
}
