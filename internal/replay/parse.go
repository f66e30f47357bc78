package replay

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"wigeontray/internal/dispatch"
)

// Parse reads a trace in its text form. Errors contain the line number.
func Parse(name string, r io.Reader) (*Trace, error) {
	t := &Trace{Name: name, Policy: dispatch.DefaultPolicy(), Delays: DefaultDelays}
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		text, _, _ := strings.Cut(sc.Text(), "#")
		w := words(strings.Fields(text))
		if len(w) == 0 {
			continue
		}
		if err := t.readLine(&w); err != nil {
			return nil, fmt.Errorf("%s line %d: %w", name, n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return t, nil
}

// readLine parses one line of a trace.
func (t *Trace) readLine(w *words) error {
	word, _ := w.next()
	var err error
	switch word {
	case "trace":
		err = intoString(&t.Name)(w)
	case "service":
		err = intoString(&t.Service)(w)
	case "delay":
		err = w.readSettings(map[string]settingReader{
			"client": intoDuration(&t.Delays.Client), "domain": intoDuration(&t.Delays.Domain), "local": intoDuration(&t.Delays.Local),
		})
	case "measure":
		err = w.readSettings(map[string]settingReader{"from": intoDuration(&t.MeasureFrom), "until": intoDuration(&t.MeasureUntil)})
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
		err = fmt.Errorf("unknown statement %q", word)
	}
	if err != nil {
		return err
	}
	return w.expectEnd()
}

func readPolicy(w *words, p *dispatch.Policy) error {
	return w.readSettings(map[string]settingReader{
		"weighting": func(w *words) error {
			s, err := w.next()
			p.Weighting = dispatch.PreferResponseTime
			if s == dispatch.PreferFewMessages.String() {
				p.Weighting = dispatch.PreferFewMessages
			}
			return err
		},
		"grace": intoDuration(&p.GracePeriod), "max-queued": intoInt(&p.MaxQueued), "retry-ratio": intoFloat(&p.RetryRatio),
	})
}

func readTeam(w *words, p *dispatch.Policy) error {
	name, err := w.next()
	if err != nil {
		return err
	}
	var quota dispatch.Quota
	if p.Teams == nil {
		p.Teams = make(map[string]dispatch.Quota)
	}
	err = w.readSettings(map[string]settingReader{
		"rate": intoFloat(&quota.StartsPerSecond), "burst": intoFloat(&quota.Burst), "weight": intoFloat(&quota.Weight),
	})
	p.Teams[name] = quota
	return err
}

func (t *Trace) readEntry(w *words) error {
	var e Entry
	if err := intoString(&e.Name)(w); err != nil {
		return err
	}
	t.Entries = append(t.Entries, e)
	return w.readSettings(map[string]settingReader{"domain": intoString(&t.Entries[len(t.Entries)-1].Domain)})
}

func (t *Trace) readWorker(w *words) error {
	worker := Worker{Slots: slotsPerWorker}
	if err := intoString(&worker.Name)(w); err != nil {
		return err
	}
	err := w.readSettings(map[string]settingReader{
		"rack": intoString(&worker.Rack), "domain": intoString(&worker.Domain), "slots": intoInt(&worker.Slots),
		"accelerators": intoInt(&worker.Accelerators), "memory_mb": intoInt(&worker.MemoryMB),
	})
	t.Workers = append(t.Workers, worker)
	return err
}

func (t *Trace) readLoad(w *words) error {
	l := Load{MinRunTime: minRunTime, MaxRunTime: maxRunTime, Deadline: looseDeadline}
	var seed int
	err := w.readSettings(map[string]settingReader{
		"from": intoDuration(&l.Start), "for": intoDuration(&l.Duration), "offered": intoFloat(&l.OfferedShare), "seed": intoInt(&seed),
		"deadline": intoDuration(&l.Deadline), "most": intoInt(&l.MaxTasksPerJob), "cancel": intoFloat(&l.CancelShare), "wave": intoDuration(&l.CancelInterval),
		"teams": func(w *words) error {
			s, err := w.next()
			l.Teams = strings.Split(s, ",")
			return err
		},
		"tasks": func(w *words) error {
			if err := intoDuration(&l.MinRunTime)(w); err != nil {
				return err
			}
			return intoDuration(&l.MaxRunTime)(w)
		},
	})
	l.Seed = uint64(seed)
	t.Loads = append(t.Loads, l)
	return err
}

func (t *Trace) readLimit(w *words) error {
	var l Limit
	if err := intoString(&l.Measure)(w); err != nil {
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
	if _, ok := new(Report).measureValue(l.Measure); !ok {
		return fmt.Errorf("unknown measure %q", l.Measure)
	}
	err = intoFloat(&l.Value)(w)
	t.Limits = append(t.Limits, l)
	return err
}
