package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/operator"
	"wigeontray/internal/record"
)

// putService writes the record of service ayni/reserva with the command "record put". It returns the
// exit code and the new revision that the command printed.
func (f *fleet) putService(e *entryProcess, maxTasks int, revision int64) (code int, printed int64) {
	file := f.file("service.json", fmt.Sprintf(
		`{"kind":"service","name":"ayni/reserva","schema":1,"path":"/reserva/run","max_tasks":%d}`, maxTasks))
	cmd := exec.Command(filepath.Join(binaries, "wigeontray"), "record", "put", "--entry", e.url(),
		"--token-file", f.file("token", memberToken), "--revision", fmt.Sprint(revision), file)
	out, err := cmd.Output()
	if exitErr, ok := errors.AsType[*exec.ExitError](err); ok {
		return exitErr.ExitCode(), 0
	}
	f.Assert(err, qt.IsNil)
	var r struct{ Revision int64 }
	f.Assert(json.Unmarshal(out, &r), qt.IsNil, qt.Commentf("%s", out))
	return operator.ExitOK, r.Revision
}

// Guards against a wrong result of a write that took effect but whose store response is lost. After a
// false failure, the operator repeats it and conflicts with their own write. If the entry cannot
// read the record back, success would be unfounded: the exit code must be ExitUnknown.
func TestRecordPutWithLostStoreResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	proxy := f.startStoreProxy()
	f.kvURL = proxy.URL
	e := f.startEntry("entry-a")
	op := operator.New(operator.Options{Address: e.url(), Token: memberToken})
	before, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)

	dropResponse := func() { f.kv.DropResponses(1) }
	proxy.beforeServiceWrite.Store(&dropResponse)
	code, revision := f.putService(e, 7, before.Revision)
	f.Assert(code, qt.Equals, operator.ExitOK)
	after, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)
	f.Assert(after.Revision, qt.Equals, revision)
	f.Assert(revision > before.Revision, qt.IsTrue)
	f.Assert(string(after.Value), qt.Contains, `"max_tasks":7`)
	f.Assert(f.isCounterNonZero(e, "wigeontray_config_amend_recovered"), qt.IsTrue)

	code, _ = f.putService(e, 8, before.Revision)
	f.Assert(code, qt.Equals, operator.ExitConflict)

	dropResponseAndStop := func() {
		f.kv.DropResponses(1)
		proxy.down.Store(true)
	}
	proxy.beforeServiceWrite.Store(&dropResponseAndStop)
	code, _ = f.putService(e, 9, revision)
	f.Assert(code, qt.Equals, operator.ExitUnknown)
	proxy.down.Store(false)
	f.eventually("the write that the store applied is active", func() bool {
		got, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
		return err == nil && strings.Contains(string(got.Value), `"max_tasks":9`)
	})
}
