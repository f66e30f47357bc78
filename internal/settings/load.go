package settings

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Error says which setting is wrong and why.
type Error struct {
	File, Section, Key string
	Problem            string
}

// Error gives "file: [section] key: problem".
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

// iniOptions reads values as they stand: no continuation lines, no comments
// behind a value, and a key that stands twice is noticed, not overruled.
var iniOptions = ini.LoadOptions{
	KeyValueDelimiters:         "=",
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// load reads source (a path or bytes) into t by its table. It reports every
// problem that it finds, joined, each as an *Error.
func load[T any](file string, source any, fields []field[T], t *T) error {
	parsed, err := ini.LoadSources(iniOptions, source)
	if err != nil {
		return &Error{File: file, Problem: err.Error()}
	}
	l := loader[T]{file: file, known: map[string]*field[T]{}, given: map[string]bool{}}
	for i := range fields {
		l.known[fields[i].name()] = &fields[i]
	}
	for _, section := range parsed.Sections() {
		l.section(section, t)
	}
	for i := range fields {
		if f := &fields[i]; f.required && !l.given[f.name()] {
			l.fail(f.section, f.key, "missing")
		}
	}
	return errors.Join(l.errs...)
}

type loader[T any] struct {
	file  string
	known map[string]*field[T]
	given map[string]bool
	errs  []error
}

func (l *loader[T]) fail(section, key, format string, args ...any) {
	l.errs = append(l.errs, &Error{File: l.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

func (l *loader[T]) section(s *ini.Section, t *T) {
	if !l.hasSection(s.Name()) && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
		l.fail(s.Name(), "", "unknown section")
		return
	}
	for _, key := range s.Keys() {
		l.key(s.Name(), key, t)
	}
}

func (l *loader[T]) hasSection(name string) bool {
	for _, f := range l.known {
		if f.section == name {
			return true
		}
	}
	return false
}

func (l *loader[T]) key(section string, key *ini.Key, t *T) {
	f := l.known["["+section+"] "+key.Name()]
	if f == nil {
		l.fail(section, key.Name(), "unknown key")
		return
	}
	if len(key.ValueWithShadows()) > 1 {
		l.fail(section, key.Name(), "stands twice")
		return
	}
	// Value, not String: the latter would expand %(name)s.
	v := key.Value()
	if v == "" {
		if f.standard != "" {
			l.fail(section, key.Name(), "empty; leave the key out for its default")
		}
		return
	}
	l.given[f.name()] = true
	if err := f.set(t, v); err != nil {
		l.fail(section, key.Name(), "%v", err)
	}
}

// defaults fills t with what the table says.
func defaults[T any](fields []field[T], t *T) {
	for _, f := range fields {
		if f.standard == "" {
			continue
		}
		if err := f.set(t, f.standard); err != nil {
			panic(fmt.Sprintf("default of %s: %v", f.name(), err)) // the table is constant
		}
	}
}

// IsGuard tells whether a file is meant for a guard: it has a section that only
// guards have. It says nothing about whether the file is valid.
func IsGuard(file string) bool {
	parsed, err := ini.LoadSources(iniOptions, file)
	return err == nil && (parsed.HasSection("upstream") || parsed.HasSection("entries"))
}
