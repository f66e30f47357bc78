package e2e

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"wigeontray/internal/record"
	"wigeontray/internal/sample"
	"wigeontray/internal/store/etcdjson"
)

// storeProxy is an HTTP proxy between some entries and the store. It can disconnect these entries
// from the store while other entries stay connected.
type storeProxy struct {
	*httptest.Server
	store http.Handler
	down  atomic.Bool
	// beforeServiceWrite is called once, just before the next write of service ayni/reserva
	// reaches the store. Other writes do not trigger it, because entries may write at any time.
	beforeServiceWrite atomic.Pointer[func()]
	refusedRequests    atomic.Int64
}

// startStoreProxy starts a proxy for the fleet's store.
func (f *fleet) startStoreProxy() *storeProxy {
	proxy := &storeProxy{store: f.kv}
	proxy.Server = httptest.NewServer(proxy)
	f.t.Cleanup(func() {
		proxy.disconnect()
		proxy.Close()
	})
	return proxy
}

// disconnect closes all connections and makes the proxy abort all further requests.
func (p *storeProxy) disconnect() {
	p.down.Store(true)
	p.CloseClientConnections()
}

// ServeHTTP implements http.Handler.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.down.Load() {
		p.refusedRequests.Add(1)
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == etcdjson.PathTxn {
		p.runWriteHook(r)
	}
	p.store.ServeHTTP(w, r)
}

// runWriteHook calls beforeServiceWrite if the transaction r writes service ayni/reserva.
func (p *storeProxy) runWriteHook(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	key := base64.StdEncoding.EncodeToString([]byte(record.Key(record.KindService, "ayni/reserva")))
	if !bytes.Contains(body, []byte(key)) {
		return
	}
	if hook := p.beforeServiceWrite.Swap(nil); hook != nil {
		(*hook)()
	}
}

// inRegion returns a fleet for a second region, which uses the same store through a proxy.
func (f *fleet) inRegion(region, service string, proxy *storeProxy) *fleet {
	other := *f
	other.region, other.service, other.kvURL = region, service, proxy.URL
	other.entries, other.upstreams = make(map[string]*entryProcess), make(map[string]*sample.Upstream)
	return &other
}

const leeuwinMemberToken = "leeuwin-test-token"

// Guards against two faults with two regions. An entry in lima that gets a job of a wa-south member
// must answer wrong_region, without a claim whether earlier attempts ran. When wa-south loses the
// store, both regions must serve on with their own rosters, for tickets and plain keys.
func TestRegions(t *testing.T) {
	t.Parallel()
	lima := newFleet(t)
	hash := record.HashToken(leeuwinMemberToken)
	lima.writeRecord(record.KindMember, "leeuwin", fmt.Sprintf(
		`{"kind":"member","name":"leeuwin","schema":1,"home_region":"wa-south","token_sha256":["%x"]}`, hash[:]), 0)
	lima.writeRecord(record.KindService, "leeuwin/clubcast", `{"kind":"service","name":"leeuwin/clubcast","schema":1,"path":"/clubcast/run"}`, 0)
	proxy := lima.startStoreProxy()
	south := lima.inRegion("wa-south", "leeuwin/clubcast", proxy)
	a, b, c := lima.startEntry("lima-a"), south.startEntry("south-a"), south.startEntry("south-b")
	lima.startWorker("callao-1")
	south.startWorker("fremantle-1")
	lima.waitForRosters() // counts only the entries of its own region
	south.waitForRosters()

	body := `{"service":"clubcast","deadline_ms":20000,"tasks":[{"sleep_ms":10}]}`
	key := uuid.Must(uuid.NewV7()).String()
	r, err := lima.sendRequest(leeuwinMemberToken, http.MethodPost, a.url()+"/v1/jobs", key, strings.NewReader(body))
	lima.Assert(err, qt.IsNil)
	lima.Assert(r.status, qt.Equals, http.StatusMisdirectedRequest)
	lima.Assert(r.Error.Kind, qt.Equals, "wrong_region")
	lima.Assert(r.Error.Ran, qt.Equals, "unknown")
	r, err = south.sendRequest(leeuwinMemberToken, http.MethodPost, b.url()+"/v1/jobs", key, strings.NewReader(body))
	lima.Assert(err, qt.IsNil)
	lima.Assert(r.State, qt.Equals, "complete", qt.Commentf("%+v", r))

	proxy.disconnect()
	lima.eventually("wa-south has lost its connection to the store", func() bool { return proxy.refusedRequests.Load() > 0 })
	for range 5 { // enough plain keys that different entries own them
		lima.checkServes(memberToken, "reserva", a)
		south.checkServes(leeuwinMemberToken, "clubcast", b, c)
	}
	lima.Assert(lima.countStartedTasks(), qt.Equals, 10)
	lima.Assert(south.countStartedTasks(), qt.Equals, 21)
}

// checkServes submits two jobs to each entry, one with a ticket and one with a plain key, and checks
// that both succeed.
func (f *fleet) checkServes(token, service string, entries ...*entryProcess) {
	for _, e := range entries {
		c := newClient(e)
		c.Token = token
		ticket, err := c.FetchTicket(f.t.Context())
		f.Assert(err, qt.IsNil)
		for _, key := range []string{ticket, uuid.Must(uuid.NewV7()).String()} {
			j := newJob(10, 1)
			j.Service = service
			ans := <-f.submitAsync(c, key, j)
			f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
		}
	}
}
