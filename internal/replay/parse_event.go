package replay

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
)

// processOps are the operations on a single process.
var processOps = []Op{OpKill, OpRestart, OpPause, OpResume, OpDrain, OpFailing, OpWorking, OpUnhealthy, OpHealthy, OpSlow, OpWarm}

func (t *Trace) readEvent(w *words) error {
	at, err := w.duration()
	if err != nil {
		return err
	}
	word, err := w.next()
	if err != nil {
		return err
	}
	ev := Event{At: at, Op: Op(word)}
	switch {
	case ev.Op == OpSubmit, ev.Op == OpResubmit:
		err = readSubmission(w, &ev)
	case ev.Op == OpCancel:
		err = readCancel(w, &ev)
	case ev.Op == OpCut, ev.Op == OpHeal, ev.Op == OpReset:
		if err = intoString(&ev.Target)(w); err == nil {
			err = intoString(&ev.Other)(w)
		}
	case ev.Op == OpStoreDown, ev.Op == OpStoreUp:
	case ev.Op == OpConfigure:
		err = t.readConfigure(w, &ev)
	case slices.Contains(processOps, ev.Op):
		err = intoString(&ev.Target)(w)
		if err == nil && ev.Op == OpSlow {
			err = intoFloat(&ev.SlowFactor)(w)
		}
	default:
		return fmt.Errorf("unknown event %q", word)
	}
	t.Events = append(t.Events, ev)
	return err
}

func readCancel(w *words, ev *Event) error {
	if err := intoString(&ev.Target)(w); err != nil {
		return err
	}
	if err := w.expect("at"); err != nil {
		return err
	}
	return intoString(&ev.Other)(w)
}

// readConfigure reads a change to the initial policy of the trace.
func (t *Trace) readConfigure(w *words, ev *Event) error {
	p := t.Policy
	ev.Policy = &p
	word, err := w.next()
	if err != nil {
		return err
	}
	if word == "policy" {
		return readPolicy(w, &p)
	}
	if word != "team" {
		return fmt.Errorf("want policy or team, got %q", word)
	}
	teams := make(map[string]dispatch.Quota)
	for name, q := range p.Teams {
		teams[name] = q
	}
	p.Teams = teams
	return readTeam(w, &p)
}

func readSubmission(w *words, ev *Event) error {
	if err := intoString(&ev.Target)(w); err != nil {
		return err
	}
	if err := w.expect("to"); err != nil {
		return err
	}
	if err := intoString(&ev.Other)(w); err != nil {
		return err
	}
	if ev.Op == OpSubmit {
		ev.Request = &Request{Job: ev.Target, Deadline: looseDeadline}
		if err := readRequest(w, ev.Request); err != nil {
			return err
		}
	}
	if len(*w) == 0 {
		return nil
	}
	if err := w.expect("expect"); err != nil {
		return err
	}
	return readExpected(w, ev)
}

func readRequest(w *words, r *Request) error {
	err := w.readSettings(map[string]settingReader{
		"team": intoString(&r.Team), "deadline": intoDuration(&r.Deadline), "declared": intoDuration(&r.Declared),
		"accelerators": intoInt(&r.Need.Accelerators), "memory_mb": intoInt(&r.Need.MemoryMB),
		"tasks": func(w *words) error { return readTasks(w, r) },
	})
	if err == nil && len(r.Tasks) == 0 {
		err = errors.New("submission has no tasks")
	}
	return err
}

// readTasks reads the run times of tasks: "80ms" for one task, "80ms*3" for three.
func readTasks(w *words, r *Request) error {
	for len(*w) > 0 && (*w)[0] != "expect" {
		text, countText, repeated := strings.Cut((*w)[0], "*")
		count := 1
		runTime, err := time.ParseDuration(text)
		if err == nil && repeated {
			count, err = strconv.Atoi(countText)
		}
		if err != nil {
			return fmt.Errorf("invalid task run time: %w", err)
		}
		for range count {
			r.Tasks = append(r.Tasks, runTime)
		}
		*w = (*w)[1:]
	}
	return nil
}

// Outcomes in a trace that are not error kinds: a complete answer and a lost
// connection.
const (
	outcomeOK   = "ok"
	outcomeLost = "lost"
)

// readExpected reads the stated outcome of a submission: error kinds, "ok" or
// "lost", separated by "|".
func readExpected(w *words, ev *Event) error {
	ev.ExpectedOutcome = &ExpectedOutcome{AnyRan: true}
	kinds, err := w.next()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(kinds, "|") {
		if name == outcomeLost {
			ev.ExpectedOutcome.ConnectionLost = true
			continue
		}
		k, ok := parseKind(name)
		if !ok {
			return fmt.Errorf("unknown outcome %q", name)
		}
		ev.ExpectedOutcome.Kinds = append(ev.ExpectedOutcome.Kinds, k)
	}
	return w.readSettings(map[string]settingReader{
		"before": intoDuration(&ev.ExpectedOutcome.Before),
		"ran": func(w *words) error {
			s, err := w.next()
			if err != nil {
				return err
			}
			for _, r := range []errkind.Ran{errkind.RanUnknown, errkind.RanNo, errkind.RanYes} {
				if r.String() == s {
					ev.ExpectedOutcome.Ran, ev.ExpectedOutcome.AnyRan = r, false
					return nil
				}
			}
			return fmt.Errorf("want no, yes or unknown, got %q", s)
		},
	})
}

func parseKind(name string) (errkind.Kind, bool) {
	if name == outcomeOK {
		return errkind.None, true
	}
	for _, k := range errkind.All() {
		if k.String() == name {
			return k, true
		}
	}
	return errkind.None, false
}
