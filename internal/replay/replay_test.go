package replay

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

const testSeed = 1

var notRunError = errkind.New(errkind.NotRun, "sabotage")

func traceFiles(t *testing.T) []string {
	files, err := filepath.Glob("../../traces/*.trace")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 8, qt.IsTrue)
	return files
}

// The first lines of each trace describe its failure, how it comes about and its
// effect on callers. Guards against a change that breaks an outcome which a trace
// states. The outcomes must hold for any random choices.
func TestTraces(t *testing.T) {
	for _, path := range traceFiles(t) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			trace, err := LoadFile(path)
			qt.Assert(t, err, qt.IsNil)
			r, err := Run(trace, Options{Seed: testSeed})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.Violations, qt.HasLen, 0)
			qt.Check(t, r.Unmet, qt.HasLen, 0)
			qt.Check(t, r.StatedCount > 0, qt.IsTrue)
		})
	}
}

// Guards against invariants that hold only with one seed, placement or weighting
// and break when one of these changes. They must hold in the failure workloads
// with every placement, and with the weightings of both sites.
func TestInvariantsHoldForEveryPlacement(t *testing.T) {
	traces := []*Trace{Ayni.guardRestart(), Ayni.cancelWaves(), Leeuwin.domainReturn(), Leeuwin.overload200()}
	for _, trace := range traces {
		trace.Loads[0].Duration = warmUpTime + 5*second
		if trace.Loads[0].OfferedShare > 1 {
			trace.Loads[0].Duration = 2 * second // limits the run time of the test: each refused task costs eleven messages
		}
		for i, p := range placements {
			t.Run(trace.Name+"/"+p.String(), func(t *testing.T) {
				t.Parallel()
				r, err := Run(trace, Options{Seed: uint64(i), Placement: &p})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, r.Violations, qt.HasLen, 0)
			})
		}
	}
}

// Guards against replays that depend on anything but trace and seed. Their
// measures could not be compared, and their failures not reproduced.
func TestReplayIsDeterministic(t *testing.T) {
	var first string
	files := traceFiles(t)
	for range 2 {
		var out bytes.Buffer
		err := RunFiles(&out, files, testSeed, true)
		qt.Assert(t, err, qt.IsNil)
		if first == "" {
			first = out.String()
		}
		qt.Assert(t, out.String() == first, qt.IsTrue)
	}
}

// newBusySimulation returns a small simulation in which a job of two tasks is
// running.
func newBusySimulation(t *testing.T) (*simulation, *call) {
	trace, err := Parse("busy", strings.NewReader(`
service ayni/reserva
entry e1 domain a
worker w01 rack r1 domain a slots 1
worker w02 rack r2 domain b slots 1
`))
	qt.Assert(t, err, qt.IsNil)
	sim := newSimulation(trace, Options{Seed: testSeed})
	for sim.clock.step(sim.traceStart) {
	}
	sim.clock.now = sim.traceStart
	sim.submit(&Event{Op: OpSubmit, Target: "job", Other: "e1", Request: &Request{
		Job: "job", Deadline: time.Second, Tasks: []time.Duration{300 * time.Millisecond, 300 * time.Millisecond},
	}})
	for sim.clock.step(sim.traceStart.Add(100 * time.Millisecond)) {
	}
	qt.Assert(t, sim.counters.runs, qt.Equals, 2)
	return sim, sim.calls[0]
}

// Guards against checks that miss violations. The checker must detect a running
// task that is started on another guard, a running task that is reported as not
// run, and answers that are incomplete, duplicate, late, missing or delayed.
func TestCheckerDetectsViolations(t *testing.T) {
	ref := func(c *call) wire.Ref { return wire.Ref{Member: "ayni", Key: c.job.key, Task: 0} }
	cases := map[string]func(*simulation, *call){
		"started on": func(sim *simulation, c *call) {
			for _, g := range sim.guards {
				g.ledger.Drain(sim.clock.now, "") // frees no slot, as both are in use
				sim.recordStart(g, ref(c))
			}
		},
		"but was reported as not run": func(sim *simulation, c *call) {
			sim.checkOutcome(&dispatch.Outcome{ID: c.job.id(), Err: notRunError, Failures: []dispatch.TaskFailure{{Task: 0, Ran: notRunError.Ran}}})
		},
		"of 2 results": func(sim *simulation, c *call) { sim.answer(c, &answer{results: make([]dispatch.TaskResult, 1)}) },
		"2 times": func(sim *simulation, c *call) {
			sim.answer(c, unknownAnswer)
			sim.answer(c, unknownAnswer)
		},
		"after the deadline": func(sim *simulation, c *call) {
			sim.clock.after(3*time.Second, func() { sim.answer(c, unknownAnswer) })
		},
		"never answered": func(sim *simulation, _ *call) { sim.checker.checkUnanswered(sim.calls) },
		"answer delayed": func(sim *simulation, c *call) {
			sim.checkOutcome(&dispatch.Outcome{ID: c.job.id(), Results: make([]dispatch.TaskResult, 2)})
		},
	}
	for want, inject := range cases {
		t.Run(want, func(t *testing.T) {
			sim, c := newBusySimulation(t)
			inject(sim, c)
			for sim.clock.step(sim.traceStart.Add(5 * time.Second)) {
			}
			qt.Assert(t, strings.Join(sim.checker.violations, "\n"), qt.Contains, want)
		})
	}
}

// Guards against typing errors in traces that the parser ignores, so that the
// trace checks less than intended. The error must contain the line number.
func TestParseErrorsIncludeLineNumber(t *testing.T) {
	for text, want := range map[string]string{
		"entry e1 domain a\nworkers w1":                    "line 2: unknown statement",
		"at soon submit j to e1 tasks 1s":                  "line 1: want a duration",
		"at 1s submit j to e1 deadline 1s":                 "line 1: submission has no tasks",
		"at 1s submit j to e1 tasks 1s expect fine":        "unknown outcome",
		"at 1s submit j to e1 tasks 1s expect ok ran some": "want no, yes or unknown",
		"at 1s explode w01":                                "unknown event",
		"limit speed >= 1":                                 "unknown measure",
	} {
		_, err := Parse("x", strings.NewReader(text))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+want+".*", qt.Commentf("%s", text))
	}
}

// Guards against a replay command that succeeds despite unmet outcomes: CI would
// pass, with the failure only in its output.
func TestUnmetOutcomeReturnsError(t *testing.T) {
	trace, err := Parse("x", strings.NewReader("service a/b\nentry e1 domain a\nat 1s submit j to e1 tasks 10ms expect ok\nworker w1 domain a"))
	qt.Assert(t, err, qt.IsNil)
	trace.Events[0].ExpectedOutcome.Before = time.Millisecond
	r, err := Run(trace, Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Unmet, qt.HasLen, 1)
	qt.Assert(t, checkReports([]*Report{r}), qt.ErrorIs, ErrUnmet)
}
