package bench

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a running binary. Its log is printed if the benchmark fails.
type process struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

// buildBinaries compiles both binaries into a temporary folder, which is removed after the benchmark.
func buildBinaries(b *testing.B) string {
	b.Helper()
	dir := b.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/wigeontray", "../cmd/wigeontray-guard").CombinedOutput()
	if err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// startProcess starts a binary that runs until the end of the benchmark.
func startProcess(b *testing.B, path string, args ...string) *process {
	b.Helper()
	p := &process{cmd: exec.Command(path, args...)}
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		b.Fatalf("start %s: %v", path, err)
	}
	b.Cleanup(func() { p.stop(b) })
	return p
}

// stop sends SIGTERM, and SIGKILL after stopTimeout, and waits for the exit.
func (p *process) stop(b *testing.B) {
	const stopTimeout = 20 * time.Second
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		b.Errorf("%s: %v", filepath.Base(p.cmd.Path), err)
	}
	if b.Failed() {
		b.Logf("%s:\n%s", filepath.Base(p.cmd.Path), p.log.String())
	}
}

// cpuTime returns the CPU time that all live threads have used so far.
func (p *process) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		b.Fatalf("no threads of process %d: %v", p.cmd.Process.Pid, err)
	}
	var sum int64
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has exited
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		sum += ns
	}
	return time.Duration(sum)
}

// residentBytes returns the resident set size in bytes.
func (p *process) residentBytes(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages) * float64(os.Getpagesize())
}

// freeAddr returns a loopback address whose port is currently free.
func freeAddr(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// waitForMetric polls the metrics endpoint of an admin address until a metric has the value want.
func waitForMetric(b *testing.B, admin, name string, want float64) {
	b.Helper()
	const (
		waitTimeout  = 15 * time.Second
		pollInterval = 20 * time.Millisecond
	)
	var got float64
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if v, err := readMetric(admin, name); err == nil {
			if got = v; got == want {
				return
			}
		}
	}
	b.Fatalf("metric %s at %s is %v, want %v", name, admin, got, want)
}

// readMetric returns the value of a metric without labels.
func readMetric(admin, name string) (float64, error) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("metric %s not found", name)
}

// sendRequest sends a request and reads the whole response. A status other than 200 is an error.
func sendRequest(client *http.Client, req *http.Request) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return nil
}
