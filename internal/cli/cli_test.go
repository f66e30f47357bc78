package cli

import (
	"bytes"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/operator"
	"wigeontray/internal/telemetry"
)

// run executes a wigeontray command line and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestVersion(t *testing.T) {
	code, out, _ := run(t, "version")
	qt.Assert(t, code, qt.Equals, operator.ExitOK)
	qt.Assert(t, out, qt.Equals, "wigeontray "+telemetry.Version+"\n")
	var guard bytes.Buffer
	code = GuardMain(t.Context(), []string{"--version"}, &guard, &guard)
	qt.Assert(t, code, qt.Equals, operator.ExitOK)
	qt.Assert(t, guard.String(), qt.Equals, "wigeontray-guard "+telemetry.Version+"\n")
}

// Guards against a usage error, such as a misspelt flag or file name, that a script cannot
// distinguish from a command that ran and failed.
func TestUsageErrorExitCode(t *testing.T) {
	for _, args := range [][]string{
		{}, {"fly"}, {"serve"}, {"serve", "--config", "no-such-file.ini"}, {"replay"}, {"replay", "no-such-file"},
		{"submit", "--entry", "http://127.0.0.1:1", "--token-file", "no-such-file", "--service", "s", "1"},
	} {
		code, out, errs := run(t, args...)
		qt.Check(t, code, qt.Equals, operator.ExitUsage, qt.Commentf("%v", args))
		qt.Check(t, out, qt.Equals, "")
		qt.Check(t, errs, qt.Not(qt.Equals), "")
	}
}

func TestCheckExamples(t *testing.T) {
	code, out, errs := run(t, "check", filepath.Join("..", "..", "examples"))
	qt.Assert(t, code, qt.Equals, operator.ExitOK, qt.Commentf("%s", errs))
	qt.Assert(t, strings.Count(out, `"ok": true`), qt.Equals, 16)
	invalid := filepath.Join(t.TempDir(), "entry.ini")
	qt.Assert(t, os.WriteFile(invalid, []byte("[node]\nnmae = x\n"), 0o600), qt.IsNil)
	code, out, _ = run(t, "check", invalid)
	qt.Assert(t, code, qt.Equals, operator.ExitInvalid)
	qt.Assert(t, out, qt.Contains, "nmae")
}

// Guards against exit code 0 for a trace whose expected outcome is not met: a script
// would take the failure for a pass.
func TestReplayFailsOnUnmetOutcome(t *testing.T) {
	trace := filepath.Join("..", "..", "traces", "cancel-races-start.trace")
	code, _, errs := run(t, "replay", trace)
	qt.Assert(t, code, qt.Equals, operator.ExitOK, qt.Commentf("%s", errs))
	b, err := os.ReadFile(trace)
	qt.Assert(t, err, qt.IsNil)
	wrong := strings.Replace(string(b), "expect ok", "expect over_quota", 1)
	qt.Assert(t, wrong, qt.Not(qt.Equals), string(b))
	path := filepath.Join(t.TempDir(), "wrong.trace")
	qt.Assert(t, os.WriteFile(path, []byte(wrong), 0o600), qt.IsNil)
	code, _, _ = run(t, "replay", path)
	qt.Assert(t, code, qt.Equals, operator.ExitFailed)
}

// Guards against a broken quickstart: the README gives this command as the first one to run.
func TestStandaloneCompletesSampleJobs(t *testing.T) {
	code, out, errs := run(t, "standalone")
	qt.Assert(t, code, qt.Equals, operator.ExitOK, qt.Commentf("%s", errs))
	qt.Assert(t, strings.Count(out, `"state":"complete"`), qt.Equals, 2)
}

// Guards against a platform process that is terminated during startup by SIGHUP, the signal for
// changed settings, because its default action is still in effect.
func TestSIGHUPIsIgnoredBeforeSettingsAreRead(t *testing.T) {
	t.Setenv(configPathEnv, "no-such-file.ini")
	for _, start := range []func() int{
		func() int { return Main(t.Context(), []string{"platform"}, io.Discard, io.Discard) },
		func() int { return GuardMain(t.Context(), []string{"--platform"}, io.Discard, io.Discard) },
	} {
		restoreSIGHUP()
		qt.Check(t, start() != operator.ExitOK, qt.IsTrue)
		qt.Check(t, signal.Ignored(syscall.SIGHUP), qt.IsTrue)
	}
	restoreSIGHUP()
}

// restoreSIGHUP restores the default action of SIGHUP. signal.Reset would leave it ignored.
func restoreSIGHUP() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	signal.Stop(signals)
}
