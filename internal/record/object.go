package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
)

// FieldError says what is wrong with one field. Path is the field's place in
// the record, such as "teams.kiosk.burst"; empty for the record as a whole.
type FieldError struct {
	Path    string
	Problem string
}

// Error joins path and problem.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// object reads the fields of one JSON object strictly: a field that is read
// counts as known, and done reports what is left over. A misspelt quota that
// was passed over in silence would leave a team without its limit.
type object struct {
	path   string
	fields map[string]json.RawMessage
	errs   *[]error
}

// parseObject splits b into fields. Problems are added to errs.
func parseObject(path string, b []byte, errs *[]error) *object {
	o := &object{path: path, errs: errs, fields: map[string]json.RawMessage{}}
	if err := o.split(b); err != nil {
		o.fail("", "%v", err)
	}
	return o
}

// split does what json.Unmarshal into a map does, but refuses a field that
// stands twice, since people and programs disagree about which one counts.
func (o *object) split(b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("want a JSON object")
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return fmt.Errorf("malformed JSON: %w", err)
		}
		name := t.(string) // a decoder gives nothing else in this place
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return fmt.Errorf("malformed JSON: %w", err)
		}
		if _, twice := o.fields[name]; twice {
			o.fail(name, "stands twice")
		}
		o.fields[name] = value
	}
	if _, err := d.Token(); err != nil {
		return fmt.Errorf("malformed JSON: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more follows after the JSON object")
	}
	return nil
}

func (o *object) at(field string) string {
	switch {
	case field == "":
		return o.path
	case o.path == "":
		return field
	}
	return o.path + "." + field
}

func (o *object) fail(field, format string, args ...any) {
	*o.errs = append(*o.errs, &FieldError{Path: o.at(field), Problem: fmt.Sprintf(format, args...)})
}

// take removes a field and decodes it; it tells whether it was there. Null is
// no value of any field.
func (o *object) take(field string, to any, want string) bool {
	raw, ok := o.fields[field]
	if !ok {
		return false
	}
	delete(o.fields, field)
	if string(raw) == "null" || json.Unmarshal(raw, to) != nil {
		o.fail(field, "want %s", want)
		return false
	}
	return true
}

// need reports fields that are missing.
func (o *object) need(fields ...string) {
	for _, field := range fields {
		if _, ok := o.fields[field]; !ok {
			o.fail(field, "missing")
		}
	}
}

func (o *object) text(field, standard string) string {
	v := standard
	o.take(field, &v, "a string")
	return v
}

func (o *object) choice(field, standard string, choices ...string) string {
	v := o.text(field, standard)
	if !slices.Contains(choices, v) {
		o.fail(field, "%q is none of %q", v, choices)
	}
	return v
}

func (o *object) integer(field string, standard, low, high int64) int64 {
	v := standard
	if o.take(field, &v, "a whole number") && (v < low || v > high) {
		o.fail(field, "%d is not within %d to %d", v, low, high)
	}
	return v
}

func (o *object) number(field string, standard, low, high float64) float64 {
	v := standard
	if o.take(field, &v, "a number") && !(v >= low && v <= high && !math.IsInf(v, 0)) {
		o.fail(field, "%v is not within %v to %v", v, low, high)
	}
	return v
}

func (o *object) strings(field string, limit int) []string {
	var v []string
	if o.take(field, &v, "a list of strings") && len(v) > limit {
		o.fail(field, "more than %d entries", limit)
		return nil
	}
	for i, s := range v {
		if slices.Contains(v[:i], s) {
			o.fail(field+"."+strconv.Itoa(i), "%q stands twice", s)
		}
	}
	return v
}

// object gives a nested object, empty if the field is missing.
func (o *object) object(field string) *object {
	raw, ok := o.fields[field]
	if !ok {
		return &object{path: o.at(field), errs: o.errs}
	}
	delete(o.fields, field)
	return parseObject(o.at(field), raw, o.errs)
}

// names lists the fields in order.
func (o *object) names() []string {
	var out []string
	for name := range o.fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// done reports the fields that nothing has read.
func (o *object) done() {
	for _, name := range o.names() {
		o.fail(name, "unknown field")
	}
}
