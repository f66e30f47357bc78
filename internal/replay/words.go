package replay

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// errLineTooShort reports a line that ends too early.
var errLineTooShort = errors.New("the line ends too early")

// words are the words of one line that were not read yet.
type words []string

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

// expect passes over a word that must come next.
func (w *words) expect(word string) error {
	s, err := w.next()
	if err == nil && s != word {
		err = fmt.Errorf("want %q, got %q", word, s)
	}
	return err
}

// settingReader reads the value of one named setting.
type settingReader func(*words) error

func intoDuration(d *time.Duration) settingReader {
	return func(w *words) (err error) { *d, err = w.duration(); return err }
}

func intoFloat(f *float64) settingReader {
	return func(w *words) (err error) { *f, err = w.number(); return err }
}

func intoString(s *string) settingReader {
	return func(w *words) (err error) { *s, err = w.next(); return err }
}

func intoInt(n *int) settingReader {
	return func(w *words) error {
		f, err := w.number()
		*n = int(f)
		return err
	}
}

// readSettings reads pairs of a name and its value until the line ends or a word
// comes that is no name.
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

// expectEnd fails if words are left.
func (w *words) expectEnd() error {
	if len(*w) > 0 {
		return fmt.Errorf("unknown word %q", (*w)[0])
	}
	return nil
}
