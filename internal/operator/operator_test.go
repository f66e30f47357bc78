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

// site is an entry's API that cuts the connection after or before an amendment.
type site struct {
	*qt.C
	client               *Client
	loseAnswer, loseCall bool
}

func run(t *testing.T, test func(ctx context.Context, s *site)) {
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
		s := &site{C: qt.New(t)}
		api := recordapi.New(recordapi.Options{Sync: sync, Authenticate: authenticate})
		s.client = New(Options{Address: "http://entry", Token: "consortium", Transport: &standin.Transport{Handler: s.faulty(api)}})
		test(ctx, s)
	})
}

func authenticate(r *http.Request) (recordapi.Principal, error) {
	switch r.Header.Get("Authorization") {
	case "Bearer consortium":
		return recordapi.Principal{Consortium: true}, nil
	case "Bearer ayni":
		return recordapi.Principal{Member: "ayni"}, nil
	}
	return recordapi.Principal{}, errkind.New(errkind.Unauthenticated, "unknown token")
}

func (s *site) faulty(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && s.loseCall {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodGet && s.loseAnswer {
			api.ServeHTTP(&discard{}, r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	})
}

// discard takes an answer that nobody gets.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

var ayni = []byte(`{"kind":"member","name":"ayni","schema":1}`)

func TestCommandsAndExitCodes(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		put, err := s.client.Put(ctx, ayni, 0)
		s.Assert(err, qt.IsNil)
		synctest.Wait()
		got, err := s.client.Get(ctx, record.KindMember, "ayni")
		s.Assert(err, qt.IsNil)
		s.Assert(got.Revision, qt.Equals, put.Revision)
		list, err := s.client.List(ctx, record.KindMember)
		s.Assert(err, qt.IsNil)
		s.Assert(list.Records, qt.HasLen, 1)

		_, err = s.client.Put(ctx, ayni, 0)
		s.Assert(ExitCode(err), qt.Equals, ExitConflict)
		s.Assert(err, qt.ErrorMatches, `record_conflict \(status 412\): .*; amend revision 2`)
		_, err = s.client.Put(ctx, []byte(`{"kind":"member"}`), 0)
		s.Assert(ExitCode(err), qt.Equals, ExitInvalid)
		_, err = s.client.Get(ctx, record.KindService, "ayni/reserva")
		s.Assert(ExitCode(err), qt.Equals, ExitNotFound)
		_, err = s.client.Delete(ctx, record.KindMember, "ayni", put.Revision)
		s.Assert(ExitCode(err), qt.Equals, ExitOK)
		s.client.token = "wrong"
		_, err = s.client.List(ctx, "")
		s.Assert(ExitCode(err), qt.Equals, ExitRefused)
	})
}

// The connection to the entry breaks after the record was written. The command
// must not report a failure; the operator would amend again and meet a conflict
// with itself.
func TestAnswerOfTheEntryIsLost(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		s.loseAnswer = true
		put, err := s.client.Put(ctx, ayni, 0)
		s.Assert(err, qt.IsNil)
		s.Assert(put.Revision, qt.Equals, int64(2))
	})
}

// The connection to the entry breaks before the entry has read the request. The
// command cannot know that, and must say so rather than "failed".
func TestCallToTheEntryIsLost(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		s.loseCall = true
		_, err := s.client.Put(ctx, ayni, 0)
		s.Assert(ExitCode(err), qt.Equals, ExitUnknown)
		_, err = s.client.Delete(ctx, record.KindMember, "ayni", 2)
		s.Assert(ExitCode(err), qt.Equals, ExitUnknown)
	})
}

// No entry listens at the address. Nothing was sent, and the command says so.
func TestEntryThatIsNotThere(t *testing.T) {
	c := qt.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed.Close()
	_, err = New(Options{Address: "http://" + closed.Addr().String()}).Put(t.Context(), ayni, 0)
	c.Assert(ExitCode(err), qt.Equals, ExitUnavailable)
}

func TestCheckAcceptsTheSamples(t *testing.T) {
	c := qt.New(t)
	for _, pattern := range []string{"*/*.ini", "*/records/*.json"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", pattern))
		c.Assert(err, qt.IsNil)
		c.Assert(len(files) >= 4, qt.IsTrue)
		checked, err := Check(files)
		c.Assert(err, qt.IsNil, qt.Commentf("%+v", checked))
	}
}

// Several files have slips; each is named, with every problem in it.
func TestCheckNamesEverySlip(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		return file
	}
	checked, err := Check([]string{
		write("guard.ini", "[upstream]\nslots = 0\n"), write("record.json", `{"kind":"member","name":"a","schema":1,"x":1,"y":2}`),
		write("good.json", string(ayni)), filepath.Join(dir, "none.json"),
	})
	c.Assert(ExitCode(err), qt.Equals, ExitInvalid)
	c.Assert(checked[0].Type, qt.Equals, FileGuard)
	c.Assert(checked[0].Problems[0], qt.Matches, `.*\[upstream\] slots: 0 is not within 1 to 1024`)
	c.Assert(checked[1].Problems, qt.DeepEquals, []string{"x: unknown field", "y: unknown field"})
	c.Assert(checked[2], qt.DeepEquals, Checked{File: checked[2].File, Type: FileRecord, Kind: record.KindMember, Name: "ayni", OK: true})
	c.Assert(checked[3].OK, qt.IsFalse)
	var out bytes.Buffer
	c.Assert(WriteJSON(&out, checked[2:3]), qt.IsNil)
	c.Assert(out.String(), qt.Contains, `"ok": true`)
}
