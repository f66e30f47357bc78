// Package proctest builds this project's binaries, starts them as child processes of a test and
// sends them real signals. Only tests import it, and it imports no other package of the project.
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

// Build builds both binaries into the folder dir. flags are passed to go build.
func Build(dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir}, flags...)
	cmd := exec.Command("go", append(args, "wigeontray/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// Process is a running binary.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts a binary. Its stdout and stderr go to out, and env is appended to the environment
// of the test process.
func Start(out io.Writer, env []string, binary string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills it if the test is killed
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", binary, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// StartWithDescriptors is Start with a limit on the open descriptors of the process; 0 for that of the test
// process.
func StartWithDescriptors(limit int, out io.Writer, env []string, binary string, args ...string) (*Process, error) {
	if limit == 0 {
		return Start(out, env, binary, args...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit)
	return Start(out, env, "/bin/sh", append([]string{"-c", script, binary}, args...)...)
}

// Signal sends a signal. For SIGSTOP it returns after every thread has stopped.
func (p *Process) Signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // fails only if the process has already exited
	if sig == syscall.SIGSTOP {
		p.waitStopped()
	}
}

// waitStopped waits until every thread of the process has stopped. The signal may still be
// pending when the system call that sends it returns, and a thread that still runs could accept
// a request that the test intends for a stopped process.
func (p *Process) waitStopped() {
	for !p.allThreadsStopped() {
		select {
		case <-p.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// allThreadsStopped reports whether all threads of the process are in state T (stopped).
func (p *Process) allThreadsStopped() bool {
	statFiles, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid)) // fails only for a malformed pattern
	for _, name := range statFiles {
		stat, err := os.ReadFile(name)
		_, state, _ := strings.Cut(string(stat), ") ") // the state follows the process name in parentheses
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(statFiles) > 0
}

// Ended returns a channel that is closed when the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Wait waits until the process has exited and returns its exit error, or nil for exit code 0.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Kill sends SIGKILL, which also terminates a stopped process, and waits for the exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Buffer collects the output of a process. It is safe for concurrent use.
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

// String returns the output so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
