package cli

import (
	"compress/gzip"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against compressed logs that are read as if they contained no line about a job.
func TestLogCommandsReadCompressedLogs(t *testing.T) {
	name := filepath.Join(t.TempDir(), "entry.log.gz")
	f, err := os.Create(name)
	qt.Assert(t, err, qt.IsNil)
	w := gzip.NewWriter(f)
	_, err = w.Write([]byte(`{"time":"2026-01-01T00:00:01Z","msg":"job refused","node":"edge-1","job":"j1","reason":"overloaded"}` + "\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Close(), qt.IsNil)
	qt.Assert(t, f.Close(), qt.IsNil)
	for _, args := range [][]string{{"explain", "j1", name}, {"summarize", name}, {"summarize", "--json", name}} {
		code, stdout, _ := run(t, args...)
		qt.Check(t, code, qt.Equals, 0)
		qt.Check(t, stdout, qt.Contains, "overloaded")
	}
	broken := filepath.Join(t.TempDir(), "broken.gz")
	qt.Assert(t, os.WriteFile(broken, []byte("not compressed"), 0o600), qt.IsNil)
	code, _, stderr := run(t, "summarize", broken)
	qt.Check(t, code, qt.Not(qt.Equals), 0)
	qt.Check(t, stderr, qt.Contains, "broken.gz")
}
