package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file and to standard output.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// logf writes one line: seconds since the start, who observed it, and what.
func (r *recorder) logf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *recorder) close() { _ = r.file.Close() }
