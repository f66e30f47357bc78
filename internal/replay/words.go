package replay

import (
	"errors"
	"fmt"
	"strconv"
	"time"
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
