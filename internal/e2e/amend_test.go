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

// putService writes a service of ayni by the operators' command, and gives its
// exit code and the revision that it printed.
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

// The store carries an operator's amendment out and its answer is lost. Told
// "failed", he would amend again and meet his own write as a conflict; told
// "done" of a write that nobody can look up, he would rely on a guess.
func TestRecordPutWithLostStoreResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	proxy := f.startStoreProxy()
	f.kvURL = proxy.URL
	e := f.startEntry("entry-a")
	op := operator.New(operator.Options{Address: e.url(), Token: memberToken})
	before, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)

	loseAnswer := func() { f.kv.LoseAnswers(1) }
	proxy.beforeServiceWrite.Store(&loseAnswer)
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

	loseAnswerAndStop := func() {
		f.kv.LoseAnswers(1)
		proxy.down.Store(true)
	}
	proxy.beforeServiceWrite.Store(&loseAnswerAndStop)
	code, _ = f.putService(e, 9, revision)
	f.Assert(code, qt.Equals, operator.ExitUnknown)
	proxy.down.Store(false)
	f.eventually("the write that took effect is in force", func() bool {
		got, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
		return err == nil && strings.Contains(string(got.Value), `"max_tasks":9`)
	})
}
