// Package jsonlist decodes JSON arrays that must not have more than so many elements. encoding/json allocates the
// elements of an array before anything can count them; an array of a megabyte of empty objects takes a hundred
// megabytes.
//
// The package imports no other package of the project.
package jsonlist

import (
	"encoding/json"
	"fmt"
)

// TooLongError reports that an array has more elements than allowed.
type TooLongError struct {
	Count, Most int // elements
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("a list has %d elements, at most %d", e.Count, e.Most)
}

// Unmarshal decodes a valid JSON array, or null, into list. It fails with a *TooLongError before it allocates any
// element if there are more than most. It is meant to be called by UnmarshalJSON methods, whose input is valid.
func Unmarshal[T any](b []byte, list *[]T, most int) error {
	if n := count(b); n > most {
		return &TooLongError{Count: n, Most: most}
	}
	return json.Unmarshal(b, list)
}

// count returns the number of elements of a valid JSON array; 0 for any other value.
func count(b []byte) int {
	if len(b) == 0 || b[0] != '[' {
		return 0
	}
	depth, commas := 0, 0
	isInString, isEscaped, hasElement := false, false, false
	for _, c := range b {
		switch {
		case isEscaped:
			isEscaped = false
		case isInString:
			isEscaped, isInString = c == '\\', c != '"'
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
		case c == ']' || c == '}':
			depth--
		case depth == 1 && c == ',':
			commas++
		default:
			hasElement = hasElement || depth > 0
			isInString = c == '"'
			if c == '[' || c == '{' {
				depth++
			}
		}
	}
	if !hasElement {
		return 0
	}
	return commas + 1
}
