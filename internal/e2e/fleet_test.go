// Package e2e holds a few end-to-end tests that start the two real binaries and stop them
// with real signals. They cover only the communication between processes; the decision logic is
// tested in other packages with a simulated clock.
package e2e

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/client"
	"wigeontray/internal/proctest"
	"wigeontray/internal/record"
	"wigeontray/internal/sample"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/tlsconf"
)

// waitTimeout limits every wait for real processes. It is far above the usual duration of a wait,
// so that load on the machine does not change the test result.
const waitTimeout = 60 * time.Second

const memberToken = "ayni-test-token"

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wigeontray-e2e-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	if err := proctest.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running binary with its log output.
type process struct {
	*proctest.Process
	log *proctest.Buffer
}

// fleet is a deployment under test: a store stand-in and upstreams in the test process, and
// entries and guards as processes of their own.
type fleet struct {
	*qt.C
	t              *testing.T
	dir            string
	kv             *standin.Server
	kvURL          string
	fleetKey       string // path of the fleet's key file; empty for none
	memberRevision int64  // revision of ayni's record
	certDir        string // folder of the fleet's certificates; empty for no TLS
	entries        map[string]*entryProcess
	upstreams      map[string]*sample.Upstream
	urls           map[string]string // base URLs of the upstreams, by worker
	slots          map[string]int    // by worker; 0 for the default
	region         string
	service        string // service of the workers
	entrySettings  string // further sections of the settings of entries
	descriptors    int    // most that a process may open; 0 for the limit of the test process
}

type entryProcess struct {
	*process
	callers, inner, admin string // host:port
	rootCAs               *x509.CertPool
}

// parseAddresses reads the entry's listen addresses from its log and reports whether they are
// there yet. The entry listens on free ports, so they are not known in advance.
func (e *entryProcess) parseAddresses() bool {
	for line := range strings.Lines(e.log.String()) {
		var l struct{ Msg, Callers, Inner, Admin string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "entry serves" {
			e.callers, e.inner, e.admin = l.Callers, l.Inner, l.Admin
			return true
		}
	}
	return false
}

func (e *entryProcess) url() string {
	if e.rootCAs != nil {
		return "https://" + e.callers
	}
	return "http://" + e.callers
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		C: qt.New(t), t: t, dir: t.TempDir(), kv: standin.New(),
		entries: make(map[string]*entryProcess), upstreams: make(map[string]*sample.Upstream),
		urls: make(map[string]string), slots: make(map[string]int),
		region: "lima", service: "ayni/reserva",
	}
	srv := httptest.NewServer(f.kv)
	t.Cleanup(func() {
		f.kv.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	f.kvURL = srv.URL
	hash := record.HashToken(memberToken)
	f.updateMember(fmt.Sprintf(`"token_sha256":["%x"]`, hash[:]))
	f.writeRecord(record.KindService, "ayni/reserva", `{"kind":"service","name":"ayni/reserva","schema":1,"path":"/reserva/run"}`, 0)
	return f
}

// writeRecord writes a record to the store and returns its new revision. revision is the current
// one, 0 for a new record.
func (f *fleet) writeRecord(kind record.Kind, name, value string, revision int64) int64 {
	kv := store.NewEtcd(store.Options{Endpoints: []string{f.kvURL}})
	newRevision, err := kv.Put(context.Background(), record.Key(kind, name), []byte(value), revision, 0)
	f.Assert(err, qt.IsNil)
	return newRevision
}

// updateMember replaces the fields of ayni's member record.
func (f *fleet) updateMember(fields string) {
	f.memberRevision = f.writeRecord(record.KindMember, "ayni", `{"kind":"member","name":"ayni","schema":1,`+fields+`}`, f.memberRevision)
}

// generateCerts generates a certificate authority (CA) and certificates in a new folder with the
// command "keys fleet" and returns the folder.
func (f *fleet) generateCerts(name string) string {
	dir := filepath.Join(f.dir, name)
	out, err := exec.Command(filepath.Join(binaries, "wigeontray"), "keys", "fleet", dir, "127.0.0.1").CombinedOutput()
	f.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return dir
}

// tls returns the content of the settings section [tls] for the certificate in dir, empty if dir is
// empty. The CA is always the fleet's, even if another one signed the certificate.
func (f *fleet) tls(dir, cert, key string) string {
	if dir == "" {
		return ""
	}
	return fmt.Sprintf("cert = %s\nkey = %s\nclient_ca = %s", filepath.Join(dir, cert), filepath.Join(dir, key),
		filepath.Join(f.certDir, tlsconf.CACertFile))
}

// rootCAs returns the certificate pool with the fleet's CA; nil without TLS.
func (f *fleet) rootCAs() *x509.CertPool {
	if f.certDir == "" {
		return nil
	}
	pem, err := os.ReadFile(filepath.Join(f.certDir, tlsconf.CACertFile))
	f.Assert(err, qt.IsNil)
	pool := x509.NewCertPool()
	f.Assert(pool.AppendCertsFromPEM(pem), qt.IsTrue)
	return pool
}

func (f *fleet) startProcess(binary string, args ...string) *process {
	log := new(proctest.Buffer)
	started, err := proctest.StartWithDescriptors(f.descriptors, log, nil, filepath.Join(binaries, binary), args...)
	f.Assert(err, qt.IsNil)
	p := &process{Process: started, log: log}
	f.t.Cleanup(func() {
		p.Kill()
		if f.t.Failed() {
			f.t.Logf("%s %s:\n%s", binary, strings.Join(args, " "), p.log)
		}
	})
	return p
}

func (f *fleet) file(name, content string) string {
	path := filepath.Join(f.dir, name)
	f.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// startEntry starts an entry whose peers are the entries started so far, and waits until it is ready.
func (f *fleet) startEntry(name string) *entryProcess {
	var peers []string
	for _, p := range f.entries {
		peers = append(peers, p.inner)
	}
	ini := fmt.Sprintf(`[node]
name = %s
region = %s
failure_domain = callao-a
[listen]
callers = 127.0.0.1:0
inner = 127.0.0.1:0
admin = 127.0.0.1:0
[peers]
addresses = %s
[store]
endpoints = %s
[fleet]
key_file = %s
[tls]
%s
[log]
format = json
%s`, name, f.region, strings.Join(peers, ","), f.kvURL, f.fleetKey, f.tls(f.certDir, tlsconf.EntryCertFile, tlsconf.EntryKeyFile), f.entrySettings)
	e := &entryProcess{process: f.startProcess("wigeontray", "serve", "--config", f.file(name+".ini", ini)), rootCAs: f.rootCAs()}
	f.eventually("entry "+name+" logs its addresses", e.parseAddresses)
	f.entries[name] = e
	f.eventually("entry "+name+" is ready", func() bool { return f.adminStatus(e, "/readyz") == http.StatusOK })
	return e
}

// waitForRosters waits until the roster of every entry contains all entries, and all are linked.
func (f *fleet) waitForRosters() {
	for name, e := range f.entries {
		f.eventually("the roster is complete at "+name, func() bool {
			var st struct {
				Roster struct {
					Members, Linked []string
				}
			}
			if json.Unmarshal([]byte(f.getAdmin(e, "/v1/status")), &st) != nil {
				return false
			}
			return len(st.Roster.Members) == len(f.entries) && len(st.Roster.Linked) == len(f.entries)-1
		})
	}
}

// startWorker starts an upstream in the test process and a guard for it, and waits until every entry
// uses the guard.
func (f *fleet) startWorker(name string) *process {
	upstream := sample.New(name, 1)
	mux := http.NewServeMux()
	mux.Handle("/reserva/run", upstream) // the paths in the service records
	mux.Handle("/clubcast/run", upstream)
	srv := httptest.NewServer(mux)
	f.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	f.upstreams[name], f.urls[name] = upstream, srv.URL
	return f.startGuard(name, srv.URL)
}

func (f *fleet) startGuard(name, upstream string) *process {
	p := f.launchGuard(name, upstream, f.fleetKey, f.certDir)
	for id, e := range f.entries {
		f.eventually("guard "+name+" is used by "+id, func() bool { return f.usesGuard(e, name) })
	}
	return p
}

// usesGuard reports whether an entry lists a guard in its status.
func (f *fleet) usesGuard(e *entryProcess, guard string) bool {
	return strings.Contains(f.getAdmin(e, "/v1/status"), `"`+guard+`-`)
}

// launchGuard starts a guard with the given key file and the certificate in the folder certs. It
// does not wait until entries use the guard.
func (f *fleet) launchGuard(name, upstream, keyFile, certs string) *process {
	var entries []string
	for _, e := range f.entries {
		entries = append(entries, e.inner)
	}
	ini := fmt.Sprintf(`[node]
worker = %s
rack = r1
failure_domain = callao-a
region = %s
[entries]
addresses = %s
[upstream]
url = %s
service = %s
%s
[listen]
admin = 127.0.0.1:0
[fleet]
key_file = %s
[tls]
%s
`, name, f.region, strings.Join(entries, ","), upstream, f.service, f.slotsSetting(name), keyFile, f.tls(certs, tlsconf.GuardCertFile, tlsconf.GuardKeyFile))
	return f.startProcess("wigeontray-guard", "--config", f.file(name+".ini", ini))
}

// slotsSetting returns the settings line for a worker's slots, empty for the default.
func (f *fleet) slotsSetting(worker string) string {
	if n := f.slots[worker]; n > 0 {
		return fmt.Sprintf("slots = %d", n)
	}
	return ""
}

// eventually polls ok until it returns true, and fails the test after waitTimeout.
func (f *fleet) eventually(condition string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %v: %s", waitTimeout, condition)
		}
		time.Sleep(20 * time.Millisecond) // a simulated clock cannot control another process
	}
}

// getAdmin returns the body of a GET request to the admin address of an entry, empty if the request
// fails.
func (f *fleet) getAdmin(e *entryProcess, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+e.admin+path, nil)
	f.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(resp.Body)
	return body.String()
}

// isCounterNonZero reports whether an entry exposes a counter with a value other than 0.
func (f *fleet) isCounterNonZero(e *entryProcess, counter string) bool {
	metrics := f.getAdmin(e, "/metrics")
	return strings.Contains(metrics, "\n"+counter+" ") && !strings.Contains(metrics, "\n"+counter+" 0\n")
}

// adminStatus returns the HTTP status of a GET request to the admin address of an entry, 0 if the
// request fails.
func (f *fleet) adminStatus(e *entryProcess, path string) int {
	resp, err := http.Get("http://" + e.admin + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// newClient returns a client of ayni that calls the given entries.
func newClient(entries ...*entryProcess) *client.Client {
	conf := &tls.Config{RootCAs: entries[0].rootCAs}
	c := &client.Client{Token: memberToken, HTTP: &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}}
	for _, e := range entries {
		c.Entries = append(c.Entries, e.url())
	}
	return c
}

// newJob returns a job whose tasks each take sleepMs at the upstream.
func newJob(sleepMs int, tasks int) *client.Job {
	j := &client.Job{Service: "reserva", DeadlineMs: 20_000}
	for range tasks {
		j.Tasks = append(j.Tasks, json.RawMessage(fmt.Sprintf(`{"sleep_ms":%d}`, sleepMs)))
	}
	return j
}

// submitAsync submits a job in the background. The channel receives the last answer, or nil if
// there was none. Errors are logged.
func (f *fleet) submitAsync(c *client.Client, key string, j *client.Job) <-chan *client.Response {
	out := make(chan *client.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		a, err := c.Submit(ctx, key, j)
		if err != nil {
			f.t.Logf("submit %s: %v", key, err)
		}
		out <- a
	}()
	return out
}

func (f *fleet) fetchTicket(e *entryProcess) string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	key, err := newClient(e).FetchTicket(ctx)
	f.Assert(err, qt.IsNil)
	return key
}

// startsByTask returns the number of starts of each task, summed over all upstreams.
func (f *fleet) startsByTask() map[string]int {
	out := make(map[string]int)
	for _, upstream := range f.upstreams {
		for task, n := range upstream.StartCounts() {
			out[task] += n
		}
	}
	return out
}

// countStartedTasks returns the number of tasks that were started. It fails the test if a task was
// started twice, at the same upstream or at different ones.
func (f *fleet) countStartedTasks() int {
	startsByTask := f.startsByTask()
	for task, n := range startsByTask {
		f.Assert(n, qt.Equals, 1, qt.Commentf("number of starts of %s", task))
	}
	return len(startsByTask)
}
