package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is one key of a settings file: what the reference says about it, and
// how its text is read into a T.
type field[T any] struct {
	section, key string
	unit         string // empty for text
	standard     string // default; empty for none
	bounds       string // allowed values, for people
	doc          string
	required     bool
	set          func(*T, string) error
}

// name gives "[section] key".
func (f *field[T]) name() string { return "[" + f.section + "] " + f.key }

// need marks a field without which a process cannot start.
func (f field[T]) need() field[T] {
	f.required = true
	return f
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,48}$`)

func text[T any](section, key, standard, doc string, at func(*T) *string) field[T] {
	return field[T]{section: section, key: key, standard: standard, bounds: "any text", doc: doc,
		set: func(t *T, v string) error { *at(t) = v; return nil }}
}

// name is text that stands in identities and in records.
func name[T any](section, key, doc string, at func(*T) *string) field[T] {
	return field[T]{section: section, key: key, bounds: "1 to 49 lower-case letters, digits, hyphens", doc: doc,
		set: func(t *T, v string) error {
			if !nameForm.MatchString(v) {
				return fmt.Errorf("%q: want 1 to 49 lower-case letters, digits or hyphens", v)
			}
			*at(t) = v
			return nil
		}}
}

func choice[T any](section, key, standard, doc string, choices []string, at func(*T) *string) field[T] {
	return field[T]{section: section, key: key, standard: standard, bounds: strings.Join(choices, ", "), doc: doc,
		set: func(t *T, v string) error {
			if !slices.Contains(choices, v) {
				return fmt.Errorf("%q is none of %s", v, strings.Join(choices, ", "))
			}
			*at(t) = v
			return nil
		}}
}

func flag[T any](section, key, doc string, at func(*T) *bool) field[T] {
	return field[T]{section: section, key: key, standard: "false", bounds: "true, false", doc: doc,
		set: func(t *T, v string) error {
			if v != "true" && v != "false" {
				return fmt.Errorf("%q: want true or false", v)
			}
			*at(t) = v == "true"
			return nil
		}}
}

func integer[T any](section, key, unit string, standard, low, high int64, doc string, at func(*T) *int64) field[T] {
	return field[T]{section: section, key: key, unit: unit, standard: strconv.FormatInt(standard, 10),
		bounds: fmt.Sprintf("%d to %d", low, high), doc: doc,
		set: func(t *T, v string) error {
			n, err := parseInteger(v, low, high)
			*at(t) = n
			return err
		}}
}

// millis is a time that the file gives in whole milliseconds.
func millis[T any](section, key string, standard, low, high int64, doc string, at func(*T) *time.Duration) field[T] {
	var n int64
	f := integer(section, key, "ms", standard, low, high, doc, func(*T) *int64 { return &n })
	f.set = func(t *T, v string) error {
		n, err := parseInteger(v, low, high)
		*at(t) = time.Duration(n) * time.Millisecond
		return err
	}
	return f
}

// seconds is a time that the file gives in seconds, with or without a fraction.
func seconds[T any](section, key, doc string, at func(*T) *time.Duration) field[T] {
	return field[T]{section: section, key: key, unit: "s", bounds: "0.1 to 3600", doc: doc,
		set: func(t *T, v string) error {
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n >= 0.1 && n <= 3600) {
				return fmt.Errorf("%q: want a number of seconds within 0.1 to 3600", v)
			}
			*at(t) = time.Duration(n * float64(time.Second))
			return nil
		}}
}

func parseInteger(v string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q: want a whole number", v)
	}
	if n < low || n > high {
		return 0, fmt.Errorf("%d is not within %d to %d", n, low, high)
	}
	return n, nil
}

// address is where a process listens: an IP number and a port.
func address[T any](section, key, standard, doc string, at func(*T) *string) field[T] {
	return field[T]{section: section, key: key, standard: standard, bounds: "IP number:port", doc: doc,
		set: func(t *T, v string) error { *at(t) = v; return checkAddress(v) }}
}

func addresses[T any](section, key, doc string, at func(*T) *[]string) field[T] {
	return field[T]{section: section, key: key, bounds: "IP number:port, separated by commas", doc: doc,
		set: func(t *T, v string) error {
			*at(t) = splitList(v)
			return checkEach(*at(t), checkAddress)
		}}
}

// urls are base addresses such as "http://10.0.0.5:2379".
func urls[T any](section, key, doc string, at func(*T) *[]string) field[T] {
	return field[T]{section: section, key: key, bounds: "http or https URLs without path, separated by commas", doc: doc,
		set: func(t *T, v string) error {
			*at(t) = splitList(v)
			return checkEach(*at(t), checkURL)
		}}
}

func splitList(v string) []string {
	var out []string
	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func checkEach(list []string, check func(string) error) error {
	for i, v := range list {
		if slices.Contains(list[:i], v) {
			return fmt.Errorf("%q stands twice", v)
		}
		if err := check(v); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q: want an IP number and a port", v)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(n, 10) != port {
		return fmt.Errorf("%q: port: want 0 to 65535", v)
	}
	return nil
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
		return fmt.Errorf("%q: want an http or https URL", v)
	}
	if u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Errorf("%q: want a URL without path, query or fragment", v)
	}
	return nil
}

// isLoopback tells whether only processes of this machine reach an address.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}
