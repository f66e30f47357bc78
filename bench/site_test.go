package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"wigeontray/internal/capacity"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/tlsconf"
)

// Names of the member and service that all benchmarks use.
const (
	benchMember  = "bench"
	benchService = "echo"
)

// testbed is a store in the benchmark process, an entry in a process of its own, and their addresses.
type testbed struct {
	dir                   string
	store                 string // base URL
	callers, inner, admin string
	configKey             string // path of the configuration key file
	token                 string
	entry                 *process
	binaryDir             string
	storeCalls            atomic.Int64 // number of requests to the store so far
	serviceRevision       int64        // revision of the service record
}

// newTestbed starts a store with one member and one service, and an entry that uses it.
func newTestbed(b *testing.B) *testbed {
	b.Helper()
	kv := standin.New()
	tb := &testbed{
		dir: b.TempDir(), binaryDir: buildBinaries(b),
		callers: freeAddr(b), inner: freeAddr(b), admin: freeAddr(b),
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tb.storeCalls.Add(1)
		kv.ServeHTTP(w, r)
	}))
	b.Cleanup(func() { kv.Close(); server.Close() })
	token, err := tlsconf.NewToken()
	if err != nil {
		b.Fatal(err)
	}
	tb.store, tb.token = server.URL, token.Secret
	tb.putRecords(b, token.Hash)
	tb.configKey = tb.writeFile(b, "config.key", "the key of all entries\n")
	tb.entry = startProcess(b, filepath.Join(tb.binaryDir, "wigeontray"), "serve", "--config", tb.writeFile(b, "entry.ini", tb.entrySettings()))
	waitForMetric(b, tb.admin, "wigeontray_ready", 1)
	return tb
}

// putRecords writes the records of the member and the service to the store.
func (tb *testbed) putRecords(b *testing.B, hash string) {
	b.Helper()
	kv := store.NewEtcd(store.Options{Endpoints: []string{tb.store}, Timeout: time.Second})
	put := func(kind record.Kind, name, value string) int64 {
		revision, err := kv.Put(context.Background(), record.Key(kind, name), []byte(value), 0, 0)
		if err != nil {
			b.Fatal(err)
		}
		return revision
	}
	put(record.KindMember, benchMember, fmt.Sprintf(`{"kind":"member","name":%q,"schema":1,"token_sha256":[%q]}`, benchMember, hash))
	name := benchMember + "/" + benchService
	tb.serviceRevision = put(record.KindService, name, fmt.Sprintf(`{"kind":"service","name":%q,"schema":2}`, name))
}

func (tb *testbed) writeFile(b *testing.B, name, text string) string {
	b.Helper()
	file := filepath.Join(tb.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	return file
}

func (tb *testbed) entrySettings() string {
	return fmt.Sprintf(`[node]
name = entry-1
region = bench
failure_domain = a
[listen]
callers = %s
inner = %s
admin = %s
[store]
endpoints = %s
[fleet]
config_key_file = %s
`, tb.callers, tb.inner, tb.admin, tb.store, tb.configKey)
}

// guard starts a guard for the upstream and waits until the entry uses it.
func (tb *testbed) guard(b *testing.B, upstream string) (p *process, admin string) {
	b.Helper()
	admin = freeAddr(b)
	settings := fmt.Sprintf(`[node]
worker = worker-1
rack = rack-1
failure_domain = a
region = bench
[entries]
addresses = %s
[upstream]
url = %s
service = %s/%s
[listen]
admin = %s
`, tb.inner, upstream, benchMember, benchService, admin)
	p = startProcess(b, filepath.Join(tb.binaryDir, "wigeontray-guard"), "--config", tb.writeFile(b, "guard.ini", settings))
	waitForMetric(b, tb.admin, "wigeontray_guards", 1)
	return p, admin
}

// target returns the testbed as a measurement target for package capacity.
func (tb *testbed) target() capacity.Target {
	return capacity.Target{
		Inner: tb.inner, Callers: "http://" + tb.callers, Admin: "http://" + tb.admin,
		Token: tb.token, Member: benchMember, Service: benchService,
	}
}

// newJobRequest returns a request that submits a job. task is a task body, or several separated by
// commas.
func (tb *testbed) newJobRequest(b *testing.B, task string) *http.Request {
	b.Helper()
	body := fmt.Sprintf(`{"service":%q,"tasks":[%s]}`, benchService, task)
	req, err := http.NewRequest(http.MethodPost, "http://"+tb.callers+"/v1/jobs", bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+tb.token)
	req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	return req
}

// echo is the handler of an upstream that returns the body of each task.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
