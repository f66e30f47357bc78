package replay

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// errLineTooShort is returned for a line that lacks a word.
var errLineTooShort = errors.New("unexpected end of line")

// words are the remaining unread words of a line.
type words []string

// next removes and returns the first word.
func (w *words) next() (string, error) {
	if len(*w) == 0 {
		return "", errLineTooShort
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

// expect removes the next word, which must be the given one.
func (w *words) expect(word string) error {
	s, err := w.next()
	if err == nil && s != word {
		err = fmt.Errorf("want %q, got %q", word, s)
	}
	return err
}

// settingReader reads the value of a named setting.
type settingReader func(*words) error

// intoDuration returns a reader that stores a duration in d.
func intoDuration(d *time.Duration) settingReader {
	return func(w *words) (err error) { *d, err = w.duration(); return err }
}

// intoFloat returns a reader that stores a number in f.
func intoFloat(f *float64) settingReader {
	return func(w *words) (err error) { *f, err = w.number(); return err }
}

// intoString returns a reader that stores a word in s.
func intoString(s *string) settingReader {
	return func(w *words) (err error) { *s, err = w.next(); return err }
}

// intoInt returns a reader that stores the integer part of a number in n.
func intoInt(n *int) settingReader {
	return func(w *words) error {
		f, err := w.number()
		*n = int(f)
		return err
	}
}

// readSettings reads pairs of a name and a value, up to the end of the line or a
// word that is not the name of a setting.
func (w *words) readSettings(readers map[string]settingReader) error {
	for len(*w) > 0 {
		read, ok := readers[(*w)[0]]
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

// expectEnd returns an error if there are unread words.
func (w *words) expectEnd() error {
	if len(*w) > 0 {
		return fmt.Errorf("unexpected word %q", (*w)[0])
	}
	return nil
}
