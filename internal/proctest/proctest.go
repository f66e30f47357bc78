// Package proctest starts this project's binaries as processes of a test and ends
// them with real signals. Tests alone import it; it imports nothing of the project.
package proctest

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Build puts both binaries into a folder. Extra words go to go build.
func Build(dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir}, flags...)
	build := exec.Command("go", append(args, "wigeontray/cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// Process is one started binary.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Start starts a binary. Both its outputs go to out; env is added to this process's
// environment.
func Start(out io.Writer, env []string, binary string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with a killed test
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", binary, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal. With SIGSTOP it returns when every thread has stopped.
func (p *Process) Signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // one that has ended needs none
	if sig == syscall.SIGSTOP {
		p.awaitStopped()
	}
}

// awaitStopped waits until every thread of the process has stopped. The signal
// is on its way when the call that sent it returns, and a thread that still runs
// would take a request that the test meant for a frozen process.
func (p *Process) awaitStopped() {
	for !p.stopped() {
		select {
		case <-p.ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (p *Process) stopped() bool {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid)) // the pattern is well formed
	for _, name := range tasks {
		stat, err := os.ReadFile(name)
		_, state, _ := strings.Cut(string(stat), ") ") // after the name in brackets
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(tasks) > 0
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the end and tells how it was; nil for success.
func (p *Process) Wait() error {
	<-p.ended
	return p.err
}

// Kill ends the process at once, also when it is stopped, and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Buffer collects the output of a process.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *Buffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String gives what was written so far.
func (s *Buffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
