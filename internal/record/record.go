// Package record defines the operators' configuration records: their kinds, schema
// versions and validation, and the immutable snapshot of all records that a process
// uses.
//
// A record is a JSON object. Every kind has the fields "kind", "name" and
// "schema". The store holds it under RecordPrefix + kind + "/" + name. Records of
// several schema versions can be active at the same time; each is converted to the
// current form when it is parsed.
//
// The package may import errkind, dispatch (for its Policy) and store (for the
// names of keys), and does no input or output.
package record

import (
	"fmt"
	"regexp"
	"strings"

	"wigeontray/internal/store"
)

// Kind is a kind of record.
type Kind string

// Kinds of records.
const (
	KindMember  Kind = "member"
	KindService Kind = "service"
	KindPolicy  Kind = "policy"
	KindJob     Kind = "job"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{KindMember, KindService, KindPolicy, KindJob} }

// MaxSize is the maximum size of a record's JSON, in bytes. It is far below the
// megabyte that the store accepts, because every entry and guard holds all records.
const MaxSize = 64 << 10

const maxNamePartLen = 63

var (
	memberPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	// qualifiedPattern matches "member/name".
	qualifiedPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*/[a-z0-9][a-z0-9-]*$`)
)

// CheckName returns an error if name is not a valid name for a record of the kind.
func CheckName(kind Kind, name string) error {
	pattern, want := qualifiedPattern, "member/name"
	switch kind {
	case KindMember:
		pattern, want = memberPattern, "a member's name"
	case KindService, KindPolicy, KindJob:
	default:
		return fmt.Errorf("kind: %q is none of %v", kind, Kinds())
	}
	if !pattern.MatchString(name) {
		return fmt.Errorf("name: %q: want %s in lower-case letters, digits and hyphens", name, want)
	}
	for part := range strings.SplitSeq(name, "/") {
		if len(part) > maxNamePartLen {
			return fmt.Errorf("name: %q: a part is longer than %d", name, maxNamePartLen)
		}
	}
	return nil
}

// Key returns the store key of a record.
func Key(kind Kind, name string) string {
	return store.RecordPrefix + string(kind) + "/" + name
}

// ParseKey returns the kind and name in a record's store key.
func ParseKey(key string) (Kind, string, error) {
	rest, ok := strings.CutPrefix(key, store.RecordPrefix)
	if !ok {
		return "", "", fmt.Errorf("key %q: not a record", key)
	}
	kind, name, _ := strings.Cut(rest, "/")
	if err := CheckName(Kind(kind), name); err != nil {
		return "", "", fmt.Errorf("key %q: %w", key, err)
	}
	return Kind(kind), name, nil
}

// Owner returns the member that owns the record of the given name.
func Owner(name string) string {
	member, _, _ := strings.Cut(name, "/")
	return member
}
