package settings

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Error reports which setting is invalid and why.
type Error struct {
	File, Section, Key string
	Problem            string
}

// Error returns "file: [section] key: problem".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File + ": ")
	if e.Section != "" {
		b.WriteString("[" + e.Section + "] ")
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	return b.String() + e.Problem
}

// iniOptions reads values verbatim, without line continuation and without comments after a
// value. A key that occurs twice is reported as an error; by default the second occurrence
// would silently replace the first.
var iniOptions = ini.LoadOptions{
	KeyValueDelimiters:         "=",
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// load reads source (a path or bytes) into t. It reports all problems found, joined, each
// as an *Error.
func load[T any](file string, source any, fields []field[T], t *T) error {
	parsed, err := ini.LoadSources(iniOptions, source)
	if err != nil {
		return &Error{File: file, Problem: err.Error()}
	}
	l := loader[T]{file: file, fieldsByName: map[string]*field[T]{}, isSet: map[string]bool{}}
	for i := range fields {
		l.fieldsByName[fields[i].qualifiedName()] = &fields[i]
	}
	for _, section := range parsed.Sections() {
		l.section(section, t)
	}
	for i := range fields {
		if f := &fields[i]; f.required && !l.isSet[f.qualifiedName()] {
			l.addError(f.section, f.key, "missing")
		}
	}
	return errors.Join(l.errs...)
}

type loader[T any] struct {
	file         string
	fieldsByName map[string]*field[T]
	isSet        map[string]bool
	errs         []error
}

func (l *loader[T]) addError(section, key, format string, args ...any) {
	l.errs = append(l.errs, &Error{File: l.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (l *loader[T]) section(s *ini.Section, t *T) {
	if !l.hasSection(s.Name()) && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
		l.addError(s.Name(), "", "unknown section")
		return
	}
	for _, key := range s.Keys() {
		l.key(s.Name(), key, t)
	}
}

func (l *loader[T]) hasSection(name string) bool {
	for _, f := range l.fieldsByName {
		if f.section == name {
			return true
		}
	}
	return false
}

func (l *loader[T]) key(section string, key *ini.Key, t *T) {
	f := l.fieldsByName["["+section+"] "+key.Name()]
	if f == nil {
		l.addError(section, key.Name(), "unknown key")
		return
	}
	if len(key.ValueWithShadows()) > 1 {
		l.addError(section, key.Name(), "stands twice")
		return
	}
	// Value, unlike String, does not expand %(name)s.
	v := key.Value()
	if v == "" {
		if f.defaultValue != "" {
			l.addError(section, key.Name(), "empty; leave the key out for its default")
		}
		return
	}
	l.isSet[f.qualifiedName()] = true
	if err := f.set(t, v); err != nil {
		l.addError(section, key.Name(), "%v", err)
	}
}

// applyDefaults sets t to the default values of the table.
func applyDefaults[T any](fields []field[T], t *T) {
	for _, f := range fields {
		if f.defaultValue == "" {
			continue
		}
		if err := f.set(t, f.defaultValue); err != nil {
			panic(fmt.Sprintf("default of %s: %v", f.qualifiedName(), err)) // the table is constant
		}
	}
}

// IsGuard reports whether a file is meant for a guard: it has a section that only guards
// have. It does not validate the file.
func IsGuard(file string) bool {
	parsed, err := ini.LoadSources(iniOptions, file)
	return err == nil && (parsed.HasSection("upstream") || parsed.HasSection("entries"))
}
