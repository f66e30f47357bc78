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

// faults are the operations that name one process.
var faults = []Op{OpKill, OpRestart, OpPause, OpResume, OpDrain, OpFailing, OpWorking, OpUnhealthy, OpHealthy, OpSlow, OpWarm}

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
		if err = toString(&ev.Target)(w); err == nil {
			err = toString(&ev.Other)(w)
		}
	case ev.Op == OpStoreDown, ev.Op == OpStoreUp:
	case ev.Op == OpConfigure:
		err = t.readConfigure(w, &ev)
	case slices.Contains(faults, ev.Op):
		err = toString(&ev.Target)(w)
		if err == nil && ev.Op == OpSlow {
			err = toFloat(&ev.Factor)(w)
		}
	default:
		return fmt.Errorf("unknown event %q", word)
	}
	t.Events = append(t.Events, ev)
	return err
}

func readCancel(w *words, ev *Event) error {
	if err := toString(&ev.Target)(w); err != nil {
		return err
	}
	if err := w.skip("at"); err != nil {
		return err
	}
	return toString(&ev.Other)(w)
}

// readConfigure reads an amendment of the policy that the trace begins with.
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
	if err := toString(&ev.Target)(w); err != nil {
		return err
	}
	if err := w.skip("to"); err != nil {
		return err
	}
	if err := toString(&ev.Other)(w); err != nil {
		return err
	}
	if ev.Op == OpSubmit {
		ev.Request = &Request{Job: ev.Target, Deadline: roomy}
		if err := readRequest(w, ev.Request); err != nil {
			return err
		}
	}
	if len(*w) == 0 {
		return nil
	}
	if err := w.skip("expect"); err != nil {
		return err
	}
	return readWant(w, ev)
}

func readRequest(w *words, r *Request) error {
	err := w.settings(map[string]setting{
		"team": toString(&r.Team), "deadline": toDuration(&r.Deadline), "declared": toDuration(&r.Declared),
		"accelerators": toInt(&r.Need.Accelerators), "memory_mb": toInt(&r.Need.MemoryMB),
		"tasks": func(w *words) error { return readTasks(w, r) },
	})
	if err == nil && len(r.Tasks) == 0 {
		err = errors.New("a submission without tasks")
	}
	return err
}

// readTasks reads run times, each as "80ms" or, for several, "80ms*3".
func readTasks(w *words, r *Request) error {
	for len(*w) > 0 && (*w)[0] != "expect" {
		text, times, repeated := strings.Cut((*w)[0], "*")
		n := 1
		d, err := time.ParseDuration(text)
		if err == nil && repeated {
			n, err = strconv.Atoi(times)
		}
		if err != nil {
			return fmt.Errorf("want run times: %w", err)
		}
		for range n {
			r.Tasks = append(r.Tasks, d)
		}
		*w = (*w)[1:]
	}
	return nil
}

// wordOK and wordLost stand for a whole answer and for a broken connection.
const (
	wordOK   = "ok"
	wordLost = "lost"
)

// readWant reads the stated outcome: kinds joined by "|", or ok, or lost.
func readWant(w *words, ev *Event) error {
	ev.Want = &Want{AnyRan: true}
	kinds, err := w.next()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(kinds, "|") {
		if name == wordLost {
			ev.Want.Lost = true
			continue
		}
		k, ok := kindNamed(name)
		if !ok {
			return fmt.Errorf("unknown outcome %q", name)
		}
		ev.Want.Kinds = append(ev.Want.Kinds, k)
	}
	return w.settings(map[string]setting{
		"before": toDuration(&ev.Want.Before),
		"ran": func(w *words) error {
			s, err := w.next()
			if err != nil {
				return err
			}
			for _, r := range []errkind.Ran{errkind.RanUnknown, errkind.RanNo, errkind.RanYes} {
				if r.String() == s {
					ev.Want.Ran, ev.Want.AnyRan = r, false
					return nil
				}
			}
			return fmt.Errorf("want no, yes or unknown, got %q", s)
		},
	})
}

func kindNamed(name string) (errkind.Kind, bool) {
	if name == wordOK {
		return errkind.None, true
	}
	for _, k := range errkind.All() {
		if k.String() == name {
			return k, true
		}
	}
	return errkind.None, false
}
