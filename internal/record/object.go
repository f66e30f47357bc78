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

// FieldError describes a problem with one field. Path is the field's path in the
// record, such as "teams.kiosk.burst"; empty for the record as a whole.
type FieldError struct {
	Path    string
	Problem string
}

// Error returns the path and the problem.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// objectReader reads the fields of one JSON object strictly. Each read removes the
// field, and checkNoFieldsLeft reports the rest as unknown. If a misspelt quota
// were ignored, the team would have no limit.
type objectReader struct {
	path   string
	fields map[string]json.RawMessage
	errs   *[]error
}

// parseObject returns a reader of the JSON object b. Problems are added to errs.
func parseObject(path string, b []byte, errs *[]error) *objectReader {
	o := &objectReader{path: path, errs: errs, fields: map[string]json.RawMessage{}}
	if err := o.splitFields(b); err != nil {
		o.addError("", "%v", err)
	}
	return o
}

// splitFields is like json.Unmarshal into a map, but rejects duplicate fields,
// since people and programs disagree about which one counts.
func (o *objectReader) splitFields(b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("want a JSON object")
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return fmt.Errorf("malformed JSON: %w", err)
		}
		name := t.(string) // the decoder only returns strings here
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return fmt.Errorf("malformed JSON: %w", err)
		}
		if _, isDuplicate := o.fields[name]; isDuplicate {
			o.addError(name, "stands twice")
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

func (o *objectReader) fieldPath(field string) string {
	switch {
	case field == "":
		return o.path
	case o.path == "":
		return field
	}
	return o.path + "." + field
}

func (o *objectReader) addError(field, format string, args ...any) {
	*o.errs = append(*o.errs, &FieldError{Path: o.fieldPath(field), Problem: fmt.Sprintf(format, args...)})
}

// takeField removes a field, decodes it into dest and reports whether it had a
// valid value. Null is not valid for any field.
func (o *objectReader) takeField(field string, dest any, wantedType string) bool {
	raw, ok := o.fields[field]
	if !ok {
		return false
	}
	delete(o.fields, field)
	if string(raw) == "null" || json.Unmarshal(raw, dest) != nil {
		o.addError(field, "want %s", wantedType)
		return false
	}
	return true
}

// requireFields adds an error for each missing field.
func (o *objectReader) requireFields(fields ...string) {
	for _, field := range fields {
		if _, ok := o.fields[field]; !ok {
			o.addError(field, "missing")
		}
	}
}

func (o *objectReader) stringField(field, defaultValue string) string {
	v := defaultValue
	o.takeField(field, &v, "a string")
	return v
}

func (o *objectReader) enumField(field, defaultValue string, choices ...string) string {
	v := o.stringField(field, defaultValue)
	if !slices.Contains(choices, v) {
		o.addError(field, "%q is none of %q", v, choices)
	}
	return v
}

func (o *objectReader) intField(field string, defaultValue, minValue, maxValue int64) int64 {
	v := defaultValue
	if o.takeField(field, &v, "a whole number") && (v < minValue || v > maxValue) {
		o.addError(field, "%d is not within %d to %d", v, minValue, maxValue)
	}
	return v
}

func (o *objectReader) floatField(field string, defaultValue, minValue, maxValue float64) float64 {
	v := defaultValue
	if o.takeField(field, &v, "a number") && !(v >= minValue && v <= maxValue && !math.IsInf(v, 0)) {
		o.addError(field, "%v is not within %v to %v", v, minValue, maxValue)
	}
	return v
}

func (o *objectReader) strings(field string, maxLen int) []string {
	var v []string
	if o.takeField(field, &v, "a list of strings") && len(v) > maxLen {
		o.addError(field, "more than %d entries", maxLen)
		return nil
	}
	for i, s := range v {
		if slices.Contains(v[:i], s) {
			o.addError(field+"."+strconv.Itoa(i), "%q stands twice", s)
		}
	}
	return v
}

// objectReader removes a field and returns a reader of the nested object in it, empty
// if the field is missing.
func (o *objectReader) objectReader(field string) *objectReader {
	raw, ok := o.fields[field]
	if !ok {
		return &objectReader{path: o.fieldPath(field), errs: o.errs}
	}
	delete(o.fields, field)
	return parseObject(o.fieldPath(field), raw, o.errs)
}

// fieldNames returns the sorted names of the remaining fields.
func (o *objectReader) fieldNames() []string {
	var out []string
	for name := range o.fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// checkNoFieldsLeft adds an error for each field that was not read.
func (o *objectReader) checkNoFieldsLeft() {
	for _, name := range o.fieldNames() {
		o.addError(name, "unknown field")
	}
}
