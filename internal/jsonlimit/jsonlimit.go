// Package jsonlimit decodes JSON arrays and strings of limited length. encoding/json allocates them before anything can
// count them: an array of a megabyte of empty objects takes a hundred megabytes, and a long string that is refused
// afterwards has become garbage.
//
// The package imports no other package of the project.
package jsonlimit

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

// maxEscape is the size of the longest escape sequence of one byte of a string, \u0000.
const maxEscape = 6

// String decodes a valid JSON string, or null, of at most most bytes into s. A much longer one is refused before it is
// allocated. It is meant to be called by UnmarshalJSON methods, whose input is valid.
func String(b []byte, s *string, most int) error {
	length := len(b) - len(`""`)
	if length <= maxEscape*most {
		if err := json.Unmarshal(b, s); err != nil || len(*s) <= most {
			return err
		}
		length = len(*s)
	}
	return fmt.Errorf("a text has %d bytes, at most %d", length, most)
}

// List decodes a valid JSON array, or null, into list. It fails with a *TooLongError before it allocates any
// element if there are more than most. It is meant to be called by UnmarshalJSON methods, whose input is valid.
func List[T any](b []byte, list *[]T, most int) error {
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
