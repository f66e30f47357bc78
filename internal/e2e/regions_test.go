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

// front stands between some entries and the store, and can cut them off alone.
type front struct {
	*httptest.Server
	store http.Handler
	down  atomic.Bool
	// onWrite runs once, just before the next write of service ayni/reserva
	// reaches the store. Other writes pass: entries make some at any time.
	onWrite atomic.Pointer[func()]
	refused atomic.Int64
}

// newFront opens a front to the fleet's store.
func (f *fleet) newFront() *front {
	fr := &front{store: f.kv}
	fr.Server = httptest.NewServer(fr)
	f.t.Cleanup(func() {
		fr.cut()
		fr.Close()
	})
	return fr
}

// cut ends all connections and refuses new calls.
func (fr *front) cut() {
	fr.down.Store(true)
	fr.CloseClientConnections()
}

// ServeHTTP implements http.Handler.
func (fr *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fr.down.Load() {
		fr.refused.Add(1)
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == etcdjson.PathTxn {
		fr.beforeWrite(r)
	}
	fr.store.ServeHTTP(w, r)
}

func (fr *front) beforeWrite(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	key := base64.StdEncoding.EncodeToString([]byte(record.Key(record.KindService, "ayni/reserva")))
	if !bytes.Contains(body, []byte(key)) {
		return
	}
	if hook := fr.onWrite.Swap(nil); hook != nil {
		(*hook)()
	}
}

// another is a second region over the same store, reached through a front.
func (f *fleet) another(region, service string, fr *front) *fleet {
	g := *f
	g.region, g.service, g.kvURL = region, service, fr.URL
	g.entries, g.upstreams = make(map[string]*entryProcess), make(map[string]*sample.Upstream)
	return &g
}

const leeuwinToken = "leeuwin-test-token"

// A club's program calls the entries of Lima by mistake, where nobody may start
// its work: it must be sent home without a claim on earlier tries. Then
// wa-south is cut off from the store. Both regions go on, each by its own
// roster, with tickets and with plain keys.
func TestRegions(t *testing.T) {
	t.Parallel()
	lima := newFleet(t)
	hash := record.HashToken(leeuwinToken)
	lima.put(record.KindMember, "leeuwin", fmt.Sprintf(
		`{"kind":"member","name":"leeuwin","schema":1,"home_region":"wa-south","token_sha256":["%x"]}`, hash[:]), 0)
	lima.put(record.KindService, "leeuwin/clubcast", `{"kind":"service","name":"leeuwin/clubcast","schema":1,"path":"/clubcast/run"}`, 0)
	fr := lima.newFront()
	south := lima.another("wa-south", "leeuwin/clubcast", fr)
	a, b, c := lima.entry("lima-a"), south.entry("south-a"), south.entry("south-b")
	lima.worker("callao-1")
	south.worker("fremantle-1")
	lima.settled() // counts the entries of its region alone
	south.settled()

	body := `{"service":"clubcast","deadline_ms":20000,"tasks":[{"sleep_ms":10}]}`
	key := uuid.Must(uuid.NewV7()).String()
	r, err := lima.call(leeuwinToken, http.MethodPost, a.url()+"/v1/jobs", key, strings.NewReader(body))
	lima.Assert(err, qt.IsNil)
	lima.Assert(r.status, qt.Equals, http.StatusMisdirectedRequest)
	lima.Assert(r.Error.Kind, qt.Equals, "wrong_region")
	lima.Assert(r.Error.Ran, qt.Equals, "unknown")
	r, err = south.call(leeuwinToken, http.MethodPost, b.url()+"/v1/jobs", key, strings.NewReader(body))
	lima.Assert(err, qt.IsNil)
	lima.Assert(r.State, qt.Equals, "complete", qt.Commentf("%+v", r))

	fr.cut()
	lima.eventually("wa-south misses the store", func() bool { return fr.refused.Load() > 0 })
	for range 5 { // plain keys of any owner
		lima.serves(token, "reserva", a)
		south.serves(leeuwinToken, "clubcast", b, c)
	}
	lima.Assert(lima.starts(), qt.Equals, 10)
	lima.Assert(south.starts(), qt.Equals, 21)
}

// serves submits a job with a ticket and one with a plain key to each entry.
func (f *fleet) serves(token, service string, entries ...*entryProcess) {
	for _, e := range entries {
		c := caller(e)
		c.Token = token
		ticket, err := c.Ticket(f.t.Context())
		f.Assert(err, qt.IsNil)
		for _, key := range []string{ticket, uuid.Must(uuid.NewV7()).String()} {
			j := job(10, 1)
			j.Service = service
			ans := <-f.submitted(c, key, j)
			f.Assert(ans.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", ans.Body))
		}
	}
}
