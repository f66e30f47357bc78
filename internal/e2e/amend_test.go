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

// putRecord writes a service of ayni by the operators' command, and gives its
// exit code and the revision that it printed.
func (f *fleet) putRecord(e *entryProcess, maxTasks int, revision int64) (code int, printed int64) {
	file := f.file("service.json", fmt.Sprintf(
		`{"kind":"service","name":"ayni/reserva","schema":1,"path":"/reserva/run","max_tasks":%d}`, maxTasks))
	cmd := exec.Command(filepath.Join(binaries, "wigeontray"), "record", "put", "--entry", e.url(),
		"--token-file", f.file("token", token), "--revision", fmt.Sprint(revision), file)
	out, err := cmd.Output()
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		return exit.ExitCode(), 0
	}
	f.Assert(err, qt.IsNil)
	var r struct{ Revision int64 }
	f.Assert(json.Unmarshal(out, &r), qt.IsNil, qt.Commentf("%s", out))
	return operator.ExitOK, r.Revision
}

// The store carries an operator's amendment out and its answer is lost. Told
// "failed", he would amend again and meet his own write as a conflict; told
// "done" of a write that nobody can look up, he would rely on a guess.
func TestAmendmentWhoseAnswerIsLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	fr := f.newFront()
	f.kvURL = fr.URL
	e := f.entry("entry-a")
	op := operator.New(operator.Options{Address: e.url(), Token: token})
	was, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)

	lose := func() { f.kv.LoseAnswers(1) }
	fr.onWrite.Store(&lose)
	code, revision := f.putRecord(e, 7, was.Revision)
	f.Assert(code, qt.Equals, operator.ExitOK)
	now, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
	f.Assert(err, qt.IsNil)
	f.Assert(now.Revision, qt.Equals, revision)
	f.Assert(revision > was.Revision, qt.IsTrue)
	f.Assert(string(now.Value), qt.Contains, `"max_tasks":7`)
	f.Assert(f.counted(e, "wigeontray_config_amend_recovered"), qt.IsTrue)

	code, _ = f.putRecord(e, 8, was.Revision)
	f.Assert(code, qt.Equals, operator.ExitConflict)

	loseAndGo := func() {
		f.kv.LoseAnswers(1)
		fr.down.Store(true)
	}
	fr.onWrite.Store(&loseAndGo)
	code, _ = f.putRecord(e, 9, revision)
	f.Assert(code, qt.Equals, operator.ExitUnknown)
	fr.down.Store(false)
	f.eventually("the write that took effect is in force", func() bool {
		got, err := op.Get(t.Context(), record.KindService, "ayni/reserva")
		return err == nil && strings.Contains(string(got.Value), `"max_tasks":9`)
	})
}
