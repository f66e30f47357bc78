package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wigeontray/internal/record"
	"wigeontray/internal/settings"
)

// Types of a checked file.
const (
	FileEntry  = "entry"  // settings of `wigeontray serve`
	FileGuard  = "guard"  // settings of wigeontray-guard
	FileRecord = "record" // a configuration record
)

// CheckResult is the result of checking one file.
type CheckResult struct {
	File string `json:"file"`
	// Type is one of the File constants. Kind and Name are set for a record.
	Type     string      `json:"type"`
	Kind     record.Kind `json:"kind,omitempty"`
	Name     string      `json:"name,omitempty"`
	OK       bool        `json:"ok"`
	Problems []string    `json:"problems,omitempty"`
}

// ErrInvalid means that a checked file is not valid.
var ErrInvalid = errors.New("not valid")

// isValidationError reports whether err means that a file or record is not
// valid.
func isValidationError(err error) bool {
	_, isFieldError := errors.AsType[*record.FieldError](err)
	return isFieldError || errors.Is(err, ErrInvalid) || errors.Is(err, record.ErrSchemaTooNew)
}

// Check validates settings and record files. A file whose name ends in ".json"
// is a record. An INI file with a section [upstream] or [entries] holds
// settings of a guard, any other file settings of an entry. The error is
// ErrInvalid if any file is not valid.
func Check(files []string) ([]CheckResult, error) {
	out := make([]CheckResult, 0, len(files))
	var err error
	for _, file := range files {
		c := checkFile(file)
		if !c.OK {
			err = fmt.Errorf("%s: %w", file, ErrInvalid)
		}
		out = append(out, c)
	}
	return out, err
}

func checkFile(file string) CheckResult {
	c := CheckResult{File: file, Type: FileEntry}
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
	c.Problems = problemTexts(err)
	return c
}

func checkRecord(file string, c *CheckResult) error {
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

// problemTexts returns the texts of all errors joined in err.
func problemTexts(err error) []string {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var out []string
	for _, e := range joined.Unwrap() {
		out = append(out, problemTexts(e)...)
	}
	return out
}
