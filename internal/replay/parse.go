package replay

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"wigeontray/internal/dispatch"
)

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
