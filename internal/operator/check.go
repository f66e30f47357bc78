package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wigeontray/internal/record"
	"wigeontray/internal/settings"
)

// What a checked file is.
const (
	FileEntry  = "entry"  // settings of `wigeontray serve`
	FileGuard  = "guard"  // settings of wigeontray-guard
	FileRecord = "record" // a record
)

// Checked is the result of checking one file.
type Checked struct {
	File string `json:"file"`
	// Type is one of the File constants, Kind and Name are a record's.
	Type     string      `json:"type"`
	Kind     record.Kind `json:"kind,omitempty"`
	Name     string      `json:"name,omitempty"`
	OK       bool        `json:"ok"`
	Problems []string    `json:"problems,omitempty"`
}

// ErrInvalid means that a checked file is not valid.
var ErrInvalid = errors.New("not valid")

func isInvalid(err error) bool {
	_, field := errors.AsType[*record.FieldError](err)
	return field || errors.Is(err, ErrInvalid) || errors.Is(err, record.ErrSchemaTooNew)
}

// Check checks settings and record files. A file that ends in ".json" is a
// record; an INI file with a section [upstream] or [entries] is a guard's, any
// other an entry's. The error is ErrInvalid if any file is not valid.
func Check(files []string) ([]Checked, error) {
	out := make([]Checked, 0, len(files))
	var err error
	for _, file := range files {
		c := checkOne(file)
		if !c.OK {
			err = fmt.Errorf("%s: %w", file, ErrInvalid)
		}
		out = append(out, c)
	}
	return out, err
}

func checkOne(file string) Checked {
	c := Checked{File: file, Type: FileEntry}
	var err error
	switch {
	case filepath.Ext(file) == ".json":
		c.Type = FileRecord
		err = checkRecord(file, &c)
	case settings.IsGuard(file):
		c.Type = FileGuard
		_, err = settings.LoadGuard(file)
	default:
		_, err = settings.LoadEntry(file)
	}
	c.OK = err == nil
	c.Problems = problems(err)
	return c
}

func checkRecord(file string, c *Checked) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	p, err := record.Parse(b)
	if err == nil {
		c.Kind, c.Name = p.Kind, p.Name
	}
	return err
}

// problems takes a joined error apart.
func problems(err error) []string {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var out []string
	for _, e := range joined.Unwrap() {
		out = append(out, problems(e)...)
	}
	return out
}
