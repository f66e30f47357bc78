package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "desk"
	queueHost   = "desk.example"
	queuePrefix = "/jobs/"
)

// fleet is a small deployment on loopback addresses: the project's programs and the stand-ins.
type fleet struct {
	rec     *recorder
	dir     string // temporary folder for settings and logs
	network string // first three bytes of the addresses
	lastIP  int

	admitsAll bool // workers start whatever they are told to start
	store     *kvStore
	storeAddr string
	workers   []*worker
	mu        sync.Mutex
	processes []*process
	client    *http.Client
}

// process is one program of the project, started with the command of the deploy file.
type process struct {
	fleet    *fleet
	name     string
	args     []string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{
		rec: rec, dir: dir, network: fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255), store: newStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.storeAddr, err = f.store.listen(f.newIP())
	return f, err
}

// newIP returns a loopback address of its own, as each process serves its metrics on the same port.
func (f *fleet) newIP() string {
	f.lastIP++
	return fmt.Sprintf("%s.%d", f.network, f.lastIP)
}

// newAddr returns a free port of an address.
func newAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newAddrs returns n different free ports of an address.
func newAddrs(ip string, n int) ([]string, error) {
	var listeners []net.Listener
	var addrs []string
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listeners, addrs = append(listeners, l), append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, w := range f.workers {
		w.close()
	}
	_ = os.RemoveAll(f.dir)
}

// setConfig writes the operators' configuration, with one queue.
func (f *fleet) setConfig(version int, targetMs int, admissionControl bool) error {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q", "host": queueHost, "prefix": queuePrefix, "service": serviceName, "timeout_ms": 60000,
			"priority": 0, "max_attempts": 4, "stretch_factor": 1.6, "target_completion_ms": targetMs,
		}},
		"services": []any{map[string]any{"name": serviceName, "admission_control": admissionControl}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	f.store.put("op/config", b)
	return nil
}

var (
	templateSection = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	templateValue   = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

// render fills in a template of the deploy file as DEPLOY.md tells.
func render(path string, values map[string]string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := templateSection.ReplaceAllStringFunc(string(b), func(match string) string {
		m := templateSection.FindStringSubmatch(match)
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return templateValue.ReplaceAllStringFunc(text, func(m string) string { return values[strings.Trim(m, "{}")] }), nil
}

// newProcess prepares a program with a rendered template; extra is added to its settings.
func (f *fleet) newProcess(name, template, extra string, args []string, values map[string]string) (*process, error) {
	for key, value := range map[string]string{
		"node_name": name, "bounds.grace_s": "6", "bounds.retry_delay_ms": "1300", "bounds.hold_max_ms": "1000", "platform.addr": f.storeAddr,
	} {
		values[key] = value
	}
	text, err := render(template, values)
	if err != nil {
		return nil, err
	}
	p := &process{fleet: f, name: name, args: args, settings: filepath.Join(f.dir, name+".ini")}
	if err := os.WriteFile(p.settings, []byte(text+extra), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// entryAddrs are the addresses of an entry.
type entryAddrs struct {
	callers, readiness, links string
	process                   *process
	proxy                     *proxy // in front of links
}

// startEntry starts an entry whose links to guards pass a proxy. The entry advertises the address of the
// proxy, as one behind a relay.
func (f *fleet) startEntry(name, zone string) (*entryAddrs, error) {
	ip := f.newIP()
	addrs, err := newAddrs(ip, 3)
	if err != nil {
		return nil, err
	}
	e := &entryAddrs{callers: addrs[0], readiness: addrs[1], links: addrs[2]}
	if e.proxy, err = newProxy(f.newIP(), e.links); err != nil {
		return nil, err
	}
	e.process, err = f.newProcess(name, "platform/entry.ini.tmpl", "", []string{"target/wigeontray", "platform"}, map[string]string{
		"zone": zone, "ip": ip, "listen.frontend": e.callers, "listen.readiness": e.readiness, "listen.control": e.links, "limits.memory_mb": "284",
	})
	if err != nil {
		return nil, err
	}
	if err := e.process.advertise(e.proxy.addr()); err != nil {
		return nil, err
	}
	return e, e.process.start()
}

// isListening reports whether an entry accepts the channels of clients.
func (e *entryAddrs) isListening() bool {
	c, err := net.DialTimeout("tcp", e.callers, 50*time.Millisecond)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// advertise adds the address at which guards reach the links of an entry to its settings.
func (p *process) advertise(addr string) error {
	b, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), "[listen]\n", "[listen]\nlinks_advertised = "+addr+"\n", 1)
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// side is a guard and its worker.
type side struct {
	guard  *process
	worker *worker
}

// startSide starts a guard and boots its worker.
func (f *fleet) startSide(name, zone, kind string, capacity int64, entries ...*entryAddrs) (*side, error) {
	ip := f.newIP()
	addrs, err := newAddrs(ip, 2)
	if err != nil {
		return nil, err
	}
	w := &worker{rec: f.rec, name: "w-" + name, addr: addrs[0], control: addrs[1], zone: zone, rack: "r-" + name, capacity: capacity, stopTime: 20 * time.Millisecond, given: make(chan struct{}, 1), admitsAll: f.admitsAll}
	seeds := make([]string, 0, len(entries))
	for _, e := range entries {
		seeds = append(seeds, e.proxy.addr())
	}
	texts, err := newAddr(ip)
	if err != nil {
		return nil, err
	}
	_, textsPort, err := net.SplitHostPort(texts)
	if err != nil {
		return nil, err
	}
	g, err := f.newProcess("g-"+name, "platform/guard.ini.tmpl", "", []string{"target/wigeontray-guard", "--platform"}, map[string]string{
		"zone": zone, "ip": ip, "listen.control": w.control, "app": w.addr, "seeds": strings.Join(seeds, ","), "limits.memory_mb": "152", "port_range.0": textsPort,
	})
	if err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	f.workers = append(f.workers, w)
	return &side{guard: g, worker: w}, w.start(kind)
}

// start starts the process.
func (p *process) start() error {
	logs, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = []string{"WIGEONTRAY_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(exited)
	}()
	p.fleet.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.fleet.mu.Unlock()
	p.fleet.rec.logf("harness", "%s started", p.name)
	return nil
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	p.fleet.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.fleet.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Kill()
	<-exited
	p.fleet.rec.logf("harness", "%s killed", p.name)
}

// waitReady waits until an entry is ready.
func (f *fleet) waitReady(e *entryAddrs) error {
	for range 200 {
		res, err := f.client.Get("http://" + e.readiness + "/wigeontray/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// step is a step of a job.
type step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemMB        int64 `json:"mem_mb"`
	EstRuntimeMs int64 `json:"est_runtime_ms"`
}

// submit posts a job of one step and returns the status and body of the answer; status 0 is no answer.
func (f *fleet) submit(e *entryAddrs, id string, s step, runMs int64, deadline time.Duration) (int, string) {
	spec, err := json.Marshal(taskSpec{Ms: runMs, CPU: s.CPU})
	if err != nil {
		panic(err) // plain values
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "best_effort": true, "steps": []step{s}})
	if err != nil {
		panic(err) // plain values
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+queuePrefix+id, strings.NewReader(string(body)))
	if err != nil {
		panic(err) // the address is valid
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	f.rec.logf("client", "POST %s: %d tasks of %d ms", id, s.Count, runMs)
	client := &http.Client{Transport: f.client.Transport, Timeout: deadline}
	res, err := client.Do(req)
	if err != nil {
		f.rec.logf("client", "%s: no answer: %v", id, err)
		return 0, ""
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		f.rec.logf("client", "%s: the answer breaks off: %v", id, err)
		return 0, ""
	}
	f.rec.logf("client", "%s: %d %s", id, res.StatusCode, answer)
	return res.StatusCode, string(answer)
}

// waitFor waits until condition holds.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// runsOf returns the number of runs that a worker has had, of jobs whose id begins with prefix.
func (w *worker) runsOf(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.history {
		if strings.HasPrefix(r.task, prefix) {
			n++
		}
	}
	return n
}

// cancel sends a DELETE for a job and returns the status of the answer; 0 is no answer.
func (f *fleet) cancel(e *entryAddrs, id string) int {
	req, err := http.NewRequest(http.MethodDelete, "http://"+e.callers+queuePrefix+id, nil)
	if err != nil {
		panic(err) // the address is valid
	}
	req.Host = queueHost
	f.rec.logf("client", "DELETE %s", id)
	res, err := f.client.Do(req)
	if err != nil {
		f.rec.logf("client", "DELETE %s: no answer: %v", id, err)
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	f.rec.logf("client", "DELETE %s: %d", id, res.StatusCode)
	return res.StatusCode
}

// killAll sends SIGKILL to all processes and waits for their ends.
func (f *fleet) killAll() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, p := range processes {
		all.Add(1)
		go func() {
			defer all.Done()
			p.kill()
		}()
	}
	all.Wait()
}

// startAll starts all processes again.
func (f *fleet) startAll() error {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// startsAfter returns how many tasks of a job have started after a time.
func (f *fleet) startsAfter(id string, after time.Time) int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		for _, r := range w.history {
			if strings.HasPrefix(r.task, id) && r.startedAt.After(after) {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}
