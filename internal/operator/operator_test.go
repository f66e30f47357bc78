package operator

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/confsync"
	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/recordapi"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
)

// testEntry is an entry's operator API that can close the connection before or
// after it executes an amendment.
type testEntry struct {
	*qt.C
	client                    *Client
	dropResponse, dropRequest bool
}

func withEntry(t *testing.T, test func(ctx context.Context, e *testEntry)) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		defer server.Close()
		sync := confsync.New(confsync.Options{Store: store.NewEtcd(store.Options{
			Endpoints: []string{"http://store"}, Transport: &standin.Transport{Handler: server},
		})})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = sync.Run(ctx) }()
		synctest.Wait()
		e := &testEntry{C: qt.New(t)}
		api := recordapi.New(recordapi.Options{Sync: sync, Authenticate: authenticate})
		e.client = New(Options{Address: "http://entry", Token: "consortium", Transport: &standin.Transport{Handler: e.withFaults(api)}})
		test(ctx, e)
	})
}

func authenticate(r *http.Request) (recordapi.Principal, error) {
	switch r.Header.Get("Authorization") {
	case "Bearer consortium":
		return recordapi.Principal{IsConsortiumOperator: true}, nil
	case "Bearer ayni":
		return recordapi.Principal{Member: "ayni"}, nil
	}
	return recordapi.Principal{}, errkind.New(errkind.Unauthenticated, "unknown token")
}

func (e *testEntry) withFaults(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && e.dropRequest {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodGet && e.dropResponse {
			api.ServeHTTP(&discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

var ayniRecord = []byte(`{"kind":"member","name":"ayni","schema":1}`)

func TestCommandsAndExitCodes(t *testing.T) {
	withEntry(t, func(ctx context.Context, e *testEntry) {
		put, err := e.client.Put(ctx, ayniRecord, 0)
		e.Assert(err, qt.IsNil)
		synctest.Wait()
		got, err := e.client.Get(ctx, record.KindMember, "ayni")
		e.Assert(err, qt.IsNil)
		e.Assert(got.Revision, qt.Equals, put.Revision)
		list, err := e.client.List(ctx, record.KindMember)
		e.Assert(err, qt.IsNil)
		e.Assert(list.Records, qt.HasLen, 1)

		_, err = e.client.Put(ctx, ayniRecord, 0)
		e.Assert(ExitCode(err), qt.Equals, ExitConflict)
		e.Assert(err, qt.ErrorMatches, `record_conflict \(status 412\): .*; amend revision 2`)
		_, err = e.client.Put(ctx, []byte(`{"kind":"member"}`), 0)
		e.Assert(ExitCode(err), qt.Equals, ExitInvalid)
		_, err = e.client.Get(ctx, record.KindService, "ayni/reserva")
		e.Assert(ExitCode(err), qt.Equals, ExitNotFound)
		_, err = e.client.Delete(ctx, record.KindMember, "ayni", put.Revision)
		e.Assert(ExitCode(err), qt.Equals, ExitOK)
		e.client.token = "wrong"
		_, err = e.client.List(ctx, "")
		e.Assert(ExitCode(err), qt.Equals, ExitRefused)
	})
}

// The connection to the entry breaks after the record was written. If the
// command reported a failure, the operator would amend the record again and get
// a conflict with their own write.
func TestPutSucceedsWhenTheResponseIsLost(t *testing.T) {
	withEntry(t, func(ctx context.Context, e *testEntry) {
		e.dropResponse = true
		put, err := e.client.Put(ctx, ayniRecord, 0)
		e.Assert(err, qt.IsNil)
		e.Assert(put.Revision, qt.Equals, int64(2))
	})
}

// The connection to the entry breaks before the entry has read the request. The
// command cannot detect that, so it must report an unknown outcome and not a
// failure.
func TestLostRequestHasUnknownOutcome(t *testing.T) {
	withEntry(t, func(ctx context.Context, e *testEntry) {
		e.dropRequest = true
		_, err := e.client.Put(ctx, ayniRecord, 0)
		e.Assert(ExitCode(err), qt.Equals, ExitUnknown)
		_, err = e.client.Delete(ctx, record.KindMember, "ayni", 2)
		e.Assert(ExitCode(err), qt.Equals, ExitUnknown)
	})
}

// No entry listens at the address. Nothing was sent, and the exit code says so.
func TestUnreachableEntryIsUnavailable(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	_, err = New(Options{Address: "http://" + listener.Addr().String()}).Put(t.Context(), ayniRecord, 0)
	c.Assert(ExitCode(err), qt.Equals, ExitUnavailable)
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	c := qt.New(t)
	for _, pattern := range []string{"*/*.ini", "*/records/*.json"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", pattern))
		c.Assert(err, qt.IsNil)
		c.Assert(len(files) >= 4, qt.IsTrue)
		checked, err := Check(files)
		c.Assert(err, qt.IsNil, qt.Commentf("%+v", checked))
	}
}

// Several files are not valid. The result must name each of them with every
// problem in it.
func TestCheckReportsEveryProblem(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		return file
	}
	checked, err := Check([]string{
		write("guard.ini", "[upstream]\nslots = 0\n"), write("record.json", `{"kind":"member","name":"a","schema":1,"x":1,"y":2}`),
		write("good.json", string(ayniRecord)), filepath.Join(dir, "none.json"),
	})
	c.Assert(ExitCode(err), qt.Equals, ExitInvalid)
	c.Assert(checked[0].Type, qt.Equals, FileGuard)
	c.Assert(checked[0].Problems[0], qt.Matches, `.*\[upstream\] slots: 0 is not within 1 to 1024`)
	c.Assert(checked[1].Problems, qt.DeepEquals, []string{"x: unknown field", "y: unknown field"})
	c.Assert(checked[2], qt.DeepEquals, CheckResult{File: checked[2].File, Type: FileRecord, Kind: record.KindMember, Name: "ayni", OK: true})
	c.Assert(checked[3].OK, qt.IsFalse)
	var out bytes.Buffer
	c.Assert(WriteJSON(&out, checked[2:3]), qt.IsNil)
	c.Assert(out.String(), qt.Contains, `"ok": true`)
}
