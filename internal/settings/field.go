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

// field is one key of a settings file: its entry in the reference page, and how its value
// is parsed into a T.
type field[T any] struct {
	section, key string
	unit         string // empty for text
	defaultValue string // default value; empty for none
	allowed      string // allowed values, for the reference page
	doc          string
	required     bool
	set          func(*T, string) error
}

// qualifiedName returns "[section] key".
func (f *field[T]) qualifiedName() string { return "[" + f.section + "] " + f.key }

// markRequired returns f as a field without which a process cannot start.
func (f field[T]) markRequired() field[T] {
	f.required = true
	return f
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,48}$`)

func textField[T any](section, key, defaultValue, doc string, target func(*T) *string) field[T] {
	return field[T]{section: section, key: key, defaultValue: defaultValue, allowed: "any text", doc: doc,
		set: func(t *T, v string) error { *target(t) = v; return nil }}
}

// nameField is a name that is used in identities and records.
func nameField[T any](section, key, doc string, target func(*T) *string) field[T] {
	return field[T]{section: section, key: key, allowed: "1 to 49 lower-case letters, digits, hyphens", doc: doc,
		set: func(t *T, v string) error {
			if !namePattern.MatchString(v) {
				return fmt.Errorf("%q: want 1 to 49 lower-case letters, digits or hyphens", v)
			}
			*target(t) = v
			return nil
		}}
}

func choiceField[T any](section, key, defaultValue, doc string, choices []string, target func(*T) *string) field[T] {
	return field[T]{section: section, key: key, defaultValue: defaultValue, allowed: strings.Join(choices, ", "), doc: doc,
		set: func(t *T, v string) error {
			if !slices.Contains(choices, v) {
				return fmt.Errorf("%q is none of %s", v, strings.Join(choices, ", "))
			}
			*target(t) = v
			return nil
		}}
}

func boolField[T any](section, key, doc string, target func(*T) *bool) field[T] {
	return field[T]{section: section, key: key, defaultValue: "false", allowed: "true, false", doc: doc,
		set: func(t *T, v string) error {
			if v != "true" && v != "false" {
				return fmt.Errorf("%q: want true or false", v)
			}
			*target(t) = v == "true"
			return nil
		}}
}

func integerField[T any](section, key, unit string, defaultValue, minValue, maxValue int64, doc string, target func(*T) *int64) field[T] {
	return field[T]{section: section, key: key, unit: unit, defaultValue: strconv.FormatInt(defaultValue, 10),
		allowed: fmt.Sprintf("%d to %d", minValue, maxValue), doc: doc,
		set: func(t *T, v string) error {
			n, err := parseInteger(v, minValue, maxValue)
			*target(t) = n
			return err
		}}
}

// millisField is a duration given in whole milliseconds.
func millisField[T any](section, key string, defaultValue, minValue, maxValue int64, doc string, target func(*T) *time.Duration) field[T] {
	var n int64
	f := integerField(section, key, "ms", defaultValue, minValue, maxValue, doc, func(*T) *int64 { return &n })
	f.set = func(t *T, v string) error {
		n, err := parseInteger(v, minValue, maxValue)
		*target(t) = time.Duration(n) * time.Millisecond
		return err
	}
	return f
}

// secondsField is a duration given in seconds, optionally with a fraction.
func secondsField[T any](section, key, doc string, target func(*T) *time.Duration) field[T] {
	return field[T]{section: section, key: key, unit: "s", allowed: "0.1 to 3600", doc: doc,
		set: func(t *T, v string) error {
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n >= 0.1 && n <= 3600) {
				return fmt.Errorf("%q: want a number of seconds within 0.1 to 3600", v)
			}
			*target(t) = time.Duration(n * float64(time.Second))
			return nil
		}}
}

func parseInteger(v string, minValue, maxValue int64) (int64, error) {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q: want a whole number", v)
	}
	if n < minValue || n > maxValue {
		return 0, fmt.Errorf("%d is not within %d to %d", n, minValue, maxValue)
	}
	return n, nil
}

// addressField is a listening address: an IP address and a port.
func addressField[T any](section, key, defaultValue, doc string, target func(*T) *string) field[T] {
	return field[T]{section: section, key: key, defaultValue: defaultValue, allowed: "IP number:port", doc: doc,
		set: func(t *T, v string) error { *target(t) = v; return checkAddress(v) }}
}

func addressListField[T any](section, key, doc string, target func(*T) *[]string) field[T] {
	return field[T]{section: section, key: key, allowed: "IP number:port, separated by commas", doc: doc,
		set: func(t *T, v string) error {
			*target(t) = splitList(v)
			return checkEach(*target(t), checkAddress)
		}}
}

// urlListField is a list of base URLs such as "http://10.0.0.5:2379".
func urlListField[T any](section, key, doc string, target func(*T) *[]string) field[T] {
	return field[T]{section: section, key: key, allowed: "http or https URLs without path, separated by commas", doc: doc,
		set: func(t *T, v string) error {
			*target(t) = splitList(v)
			return checkEach(*target(t), checkURL)
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

// isLoopback reports whether only processes of this machine can reach an address.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}
