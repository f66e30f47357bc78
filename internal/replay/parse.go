package replay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
)

// errEnd reports a line that ends too early.
var errEnd = errors.New("the line ends too early")

// words are the words of one line that were not read yet.
type words []string

func (w *words) next() (string, error) {
	if len(*w) == 0 {
		return "", errEnd
	}
	first := (*w)[0]
	*w = (*w)[1:]
	return first, nil
}

func (w *words) duration() (time.Duration, error) {
	s, err := w.next()
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("want a duration: %w", err)
	}
	return d, nil
}

func (w *words) number() (float64, error) {
	s, err := w.next()
	if err != nil {
		return 0, err
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("want a number: %w", err)
	}
	return f, nil
}

// skip passes over a word that must come next.
func (w *words) skip(word string) error {
	s, err := w.next()
	if err == nil && s != word {
		err = fmt.Errorf("want %q, got %q", word, s)
	}
	return err
}

// setting reads the value of one named setting.
type setting func(*words) error

func toDuration(d *time.Duration) setting {
	return func(w *words) (err error) { *d, err = w.duration(); return err }
}

func toFloat(f *float64) setting {
	return func(w *words) (err error) { *f, err = w.number(); return err }
}

func toString(s *string) setting {
	return func(w *words) (err error) { *s, err = w.next(); return err }
}

func toInt(n *int) setting {
	return func(w *words) error {
		f, err := w.number()
		*n = int(f)
		return err
	}
}

// settings reads pairs of a name and its value until the line ends or a word
// comes that is no name.
func (w *words) settings(known map[string]setting) error {
	for len(*w) > 0 {
		read, ok := known[(*w)[0]]
		if !ok {
			return nil
		}
		name := (*w)[0]
		*w = (*w)[1:]
		if err := read(w); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// done fails if words are left.
func (w *words) done() error {
	if len(*w) > 0 {
		return fmt.Errorf("unknown word %q", (*w)[0])
	}
	return nil
}

// Parse reads the text form of a trace. Errors name the line.
func Parse(name string, r io.Reader) (*Trace, error) {
	t := &Trace{Name: name, Policy: dispatch.DefaultPolicy(), Delays: DefaultDelays}
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		text, _, _ := strings.Cut(sc.Text(), "#")
		w := words(strings.Fields(text))
		if len(w) == 0 {
			continue
		}
		if err := t.line(&w); err != nil {
			return nil, fmt.Errorf("%s line %d: %w", name, n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return t, nil
}

func (t *Trace) line(w *words) error {
	word, _ := w.next()
	var err error
	switch word {
	case "trace":
		err = toString(&t.Name)(w)
	case "service":
		err = toString(&t.Service)(w)
	case "delay":
		err = w.settings(map[string]setting{
			"client": toDuration(&t.Delays.Client), "domain": toDuration(&t.Delays.Domain), "local": toDuration(&t.Delays.Local),
		})
	case "measure":
		err = w.settings(map[string]setting{"from": toDuration(&t.From), "until": toDuration(&t.Until)})
	case "policy":
		err = readPolicy(w, &t.Policy)
	case "team":
		err = readTeam(w, &t.Policy)
	case "entry":
		err = t.readEntry(w)
	case "worker":
		err = t.readWorker(w)
	case "load":
		err = t.readLoad(w)
	case "limit":
		err = t.readLimit(w)
	case "at":
		err = t.readEvent(w)
	default:
		err = fmt.Errorf("unknown line %q", word)
	}
	if err != nil {
		return err
	}
	return w.done()
}

func readPolicy(w *words, p *dispatch.Policy) error {
	return w.settings(map[string]setting{
		"weighting": func(w *words) error {
			s, err := w.next()
			p.Weighting = dispatch.WeighResponse
			if s == dispatch.WeighMessages.String() {
				p.Weighting = dispatch.WeighMessages
			}
			return err
		},
		"grace": toDuration(&p.Grace), "max-queued": toInt(&p.MaxQueued), "retry-ratio": toFloat(&p.RetryRatio),
	})
}

func readTeam(w *words, p *dispatch.Policy) error {
	name, err := w.next()
	if err != nil {
		return err
	}
	var q dispatch.Quota
	if p.Teams == nil {
		p.Teams = make(map[string]dispatch.Quota)
	}
	err = w.settings(map[string]setting{
		"rate": toFloat(&q.StartsPerSecond), "burst": toFloat(&q.Burst), "weight": toFloat(&q.Weight),
	})
	p.Teams[name] = q
	return err
}

func (t *Trace) readEntry(w *words) error {
	var e Entry
	if err := toString(&e.Name)(w); err != nil {
		return err
	}
	t.Entries = append(t.Entries, e)
	return w.settings(map[string]setting{"domain": toString(&t.Entries[len(t.Entries)-1].Domain)})
}

func (t *Trace) readWorker(w *words) error {
	d := Worker{Slots: todaySlots}
	if err := toString(&d.Name)(w); err != nil {
		return err
	}
	err := w.settings(map[string]setting{
		"rack": toString(&d.Rack), "domain": toString(&d.Domain), "slots": toInt(&d.Slots),
		"accelerators": toInt(&d.Accelerators), "memory_mb": toInt(&d.MemoryMB),
	})
	t.Workers = append(t.Workers, d)
	return err
}

func (t *Trace) readLoad(w *words) error {
	l := Load{MinTask: minTask, MaxTask: maxTask, Deadline: roomy}
	var seed int
	err := w.settings(map[string]setting{
		"from": toDuration(&l.From), "for": toDuration(&l.For), "offered": toFloat(&l.Offered), "seed": toInt(&seed),
		"deadline": toDuration(&l.Deadline), "most": toInt(&l.MaxJob), "cancel": toFloat(&l.Cancel), "wave": toDuration(&l.Wave),
		"teams": func(w *words) error {
			s, err := w.next()
			l.Teams = strings.Split(s, ",")
			return err
		},
		"tasks": func(w *words) error {
			if err := toDuration(&l.MinTask)(w); err != nil {
				return err
			}
			return toDuration(&l.MaxTask)(w)
		},
	})
	l.Seed = uint64(seed)
	t.Loads = append(t.Loads, l)
	return err
}

func (t *Trace) readLimit(w *words) error {
	var l Limit
	if err := toString(&l.Measure)(w); err != nil {
		return err
	}
	sign, err := w.next()
	if err != nil {
		return err
	}
	if sign != ">=" && sign != "<=" {
		return fmt.Errorf("want >= or <=, got %q", sign)
	}
	l.AtLeast = sign == ">="
	if _, ok := new(Report).measure(l.Measure); !ok {
		return fmt.Errorf("unknown measure %q", l.Measure)
	}
	err = toFloat(&l.Value)(w)
	t.Limits = append(t.Limits, l)
	return err
}

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
