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
	cmd := exec.Command("go", append(args, "wigeontray/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// Process is one started binary.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts a binary. Both its outputs go to out; env is added to this process's
// environment.
func Start(out io.Writer, env []string, binary string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with a killed test
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", binary, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal. With SIGSTOP it returns when every thread has stopped.
func (p *Process) Signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // one that has ended needs none
	if sig == syscall.SIGSTOP {
		p.waitStopped()
	}
}

// waitStopped waits until every thread of the process has stopped. The signal
// is on its way when the call that sent it returns, and a thread that still runs
// would take a request that the test meant for a frozen process.
func (p *Process) waitStopped() {
	for !p.allThreadsStopped() {
		select {
		case <-p.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (p *Process) allThreadsStopped() bool {
	statFiles, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid)) // the pattern is well formed
	for _, name := range statFiles {
		stat, err := os.ReadFile(name)
		_, state, _ := strings.Cut(string(stat), ") ") // after the name in brackets
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(statFiles) > 0
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Wait waits for the end and tells how it was; nil for success.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Kill ends the process at once, also when it is stopped, and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Buffer collects the output of a process.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String gives what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
