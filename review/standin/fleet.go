package main

import (
	"bytes"
	"errors"
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

// Names of the stand-in deployment.
const (
	serviceName = "svc"
	zoneName    = "zone-1"
	hostName    = "h.example"
	pathPrefix  = "/q/"
)

// Bounds of the pages, and the short delay before a process is started again.
const (
	grace        = 6 * time.Second // grace_s
	restartDelay = 200 * time.Millisecond
)

// desiredState has one route to the only service, with one like those of the small deployments.
const desiredState = `{"version":7,"routes":[{"name":"r-1","host":"` + hostName + `","prefix":"` + pathPrefix + `","kind":"non_idempotent","timeout_ms":30000,` +
	`"target_completion_ms":60,"priority":0,"service":"` + serviceName + `","max_attempts":4,"stretch_factor":1.6}],` +
	`"services":[{"name":"` + serviceName + `","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":true,"standby":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// process is one process of the project.
type process struct {
	name     string
	args     []string
	settings string
	log      string
	cmd      *exec.Cmd
}

// entry is an entry process and its addresses.
type entry struct {
	process
	gate                                      *gate
	host, frontend, readiness, control, relay string
}

// guard is a guard process, and the worker beside it.
type guard struct {
	process
	host, control string
	worker        *worker
}

// fleet is a small deployment: entries, guards, workers and the store, on loopback addresses.
type fleet struct {
	rec     *record
	dir     string
	store   *kvStore
	entries []*entry
	guards  []*guard
	mu      sync.Mutex
	running []*process
}

// loopback returns an address that only this program uses.
func loopback(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>11&127, pid>>3&255, 32*(pid&7)+last)
}

func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// fleetSize describes a deployment. There is one guard and worker for each kind.
type fleetSize struct {
	entries int
	kinds   []string
	// relay makes guards reach entry 0 through a relay, which is the address that it advertises.
	relay *relay
}

// newFleet starts the processes, and waits until each entry is ready and sees all workers.
func newFleet(rec *record, size fleetSize) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: newStore()}
	f.store.put("op/config", desiredState)
	for i := range size.entries {
		if err := f.addEntry(i, size.relay); err != nil {
			return f, err
		}
	}
	for i, kind := range size.kinds {
		if err := f.addGuard(i, kind); err != nil {
			return f, err
		}
	}
	for _, e := range f.entries {
		if err := f.start(&e.process); err != nil {
			return f, err
		}
	}
	for _, g := range f.guards {
		if err := f.start(&g.process); err != nil {
			return f, err
		}
		go g.worker.keepReporting()
	}
	for _, e := range f.entries {
		if err := f.waitReady(e); err != nil {
			return f, err
		}
	}
	time.Sleep(6 * time.Second) // all links are up and all entries know one another
	return f, nil
}

func (f *fleet) addEntry(i int, r *relay) (err error) {
	e := &entry{host: loopback(1 + i)}
	for _, a := range []*string{&e.frontend, &e.readiness, &e.control} {
		if *a, err = freeAddress(e.host); err != nil {
			return err
		}
	}
	if e.gate, err = f.store.listen(e.host); err != nil {
		return err
	}
	e.relay = e.control
	extra := ""
	if r != nil && i == 0 {
		if err := r.listen(loopback(30), e.control); err != nil {
			return err
		}
		e.relay = r.address
		extra = "[listen]\nlinks_advertised = " + r.address + "\n"
	}
	e.process = process{name: fmt.Sprintf("edge-%d", i+1), args: []string{"target/wigeontray", "platform"}}
	f.entries = append(f.entries, e)
	return f.render(&e.process, "platform/entry.ini.tmpl", extra, map[string]string{
		"node_name": e.name, "zone": zoneName, "ip": e.host, "listen.frontend": e.frontend, "listen.readiness": e.readiness,
		"listen.control": e.control, "platform.addr": e.gate.address, "bounds.grace_s": "6", "bounds.retry_delay_ms": "1300", "limits.memory_mb": "284",
	})
}

func (f *fleet) addGuard(i int, kind string) (err error) {
	g := &guard{host: loopback(10 + i)}
	if g.control, err = freeAddress(g.host); err != nil {
		return err
	}
	texts, err := freeAddress(g.host)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(texts)
	if err != nil {
		return err
	}
	storeGate, err := f.store.listen(g.host)
	if err != nil {
		return err
	}
	if g.worker, err = newWorker(f.rec, fmt.Sprintf("w%d", i+1), kind, g.host); err != nil {
		return err
	}
	g.worker.reportTo = g.control
	var seeds []string
	for _, e := range f.entries {
		seeds = append(seeds, e.relay)
	}
	g.process = process{name: fmt.Sprintf("side-%d", i+1), args: []string{"target/wigeontray-guard", "--platform"}}
	f.guards = append(f.guards, g)
	return f.render(&g.process, "platform/guard.ini.tmpl", "", map[string]string{
		"node_name": g.name, "zone": zoneName, "ip": g.host, "seeds": strings.Join(seeds, ","), "listen.control": g.control, "port_range.0": port,
		"app": g.worker.listener.Addr().String(), "platform.addr": storeGate.address, "bounds.grace_s": "6", "bounds.retry_delay_ms": "1300",
		"bounds.hold_max_ms": "1000", "limits.memory_mb": "152",
	})
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// render fills a template of the project in, as the platform does.
func (f *fleet) render(p *process, template, extra string, values map[string]string) error {
	b, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text := sectionPattern.ReplaceAllStringFunc(string(b), func(match string) string {
		m := sectionPattern.FindStringSubmatch(match)
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(match string) string { return values[strings.Trim(match, "{}")] })
	p.settings, p.log = filepath.Join(f.dir, p.name+".ini"), filepath.Join(f.dir, p.name+".log")
	return os.WriteFile(p.settings, []byte(text+extra), 0o600)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONTRAY_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, p)
	return nil
}

// kill kills a process and waits for its end.
func (f *fleet) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	_ = p.cmd.Wait()
}

// restart stops a process as planned, and starts it again when it has ended, after grace_s at the latest.
func (f *fleet) restart(p *process) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	overdue := time.AfterFunc(grace, func() { _ = p.cmd.Process.Signal(syscall.SIGKILL) }) // as the platform does
	_ = p.cmd.Wait()
	overdue.Stop()
	time.Sleep(restartDelay)
	return f.start(p)
}

// stop ends all processes, and keeps their logs where REVIEW_LOGS says.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.running {
		f.kill(p)
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir)) // only for a look at a failure
	}
	_ = os.RemoveAll(f.dir)
}

// waitReady waits until an entry's readiness probe is answered with 200.
func (f *fleet) waitReady(e *entry) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + e.readiness + "/wigeontray/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			f.rec.add("%s is ready", e.name)
			return nil
		}
	}
	return errors.New(e.name + " does not become ready")
}

// answer is the answer to a call; status is 0 if there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes a client's call to an entry, on a channel of its own, and records it.
func (f *fleet) call(e *entry, method, id, body string, limit time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+e.frontend+pathPrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the address is our own
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	f.rec.add("client sends %s %s to %s %s", method, id, e.name, body)
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		f.rec.add("client gets no answer to %s %s from %s: %v", method, id, e.name, err)
		return answer{at: time.Now()}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		f.rec.add("client gets a broken answer to %s %s from %s: %v", method, id, e.name, err)
		return answer{at: time.Now()}
	}
	f.rec.add("client gets %d %s to %s %s from %s", res.StatusCode, strings.TrimSpace(string(b)), method, id, e.name)
	return answer{status: res.StatusCode, body: string(b), at: time.Now()}
}

// callLater makes a call in the background.
func (f *fleet) callLater(e *entry, method, id, body string, limit time.Duration) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- f.call(e, method, id, body, limit) }()
	return out
}
