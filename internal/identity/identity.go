// Package identity defines the identities of jobs, which callers choose, and of
// the processes of the system.
//
// A job's identity is the caller's Idempotency-Key. It is, or ends in, a UUIDv7
// and so contains the time at which it was created, its birth. A process refuses
// an identity that is older than the records it keeps, instead of running the job
// a second time. A ticket is an identity that also names its home, the only entry
// that may ever start the job.
package identity

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyLen is the maximum length of an Idempotency-Key in bytes.
const MaxKeyLen = 128

var incarnationPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Incarnation identifies one run of one process. It consists of the configured
// name and a random suffix, so that a restarted process is never mistaken for its
// predecessor.
type Incarnation string

// NewIncarnation returns a new random incarnation of the process with the given
// name.
func NewIncarnation(name string) Incarnation {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on the supported platforms
	}
	return Incarnation(name + "-" + hex.EncodeToString(b[:]))
}

// Key is a parsed job identity. Two submissions are the same job if their members
// and their Texts are equal.
type Key struct {
	Text string      // as the caller sent it
	Home Incarnation // the only entry that may start the job; empty for a plain key
	UUID uuid.UUID
	// BirthMs is the creation time of the identity in Unix milliseconds, by the
	// clock of the process that created it. It is the same in every submission.
	BirthMs int64
}

// Parse parses an Idempotency-Key of the form UUIDv7 or "home.UUIDv7", with the UUID
// in lower case. Any other form, or a text longer than MaxKeyLen, is an error.
func Parse(text string) (Key, error) {
	if len(text) > MaxKeyLen {
		return Key{}, fmt.Errorf("identity longer than %d bytes", MaxKeyLen)
	}
	home, id := "", text
	if i := strings.LastIndexByte(text, '.'); i >= 0 {
		home, id = text[:i], text[i+1:]
		if !incarnationPattern.MatchString(home) {
			return Key{}, fmt.Errorf("identity %q: malformed home", text)
		}
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.String() != id {
		return Key{}, fmt.Errorf("identity %q: want a lower-case UUIDv7 or home.UUIDv7", text)
	}
	return Key{Text: text, Home: Incarnation(home), UUID: u, BirthMs: timestampMs(u)}, nil
}

// NewTicket creates an identity with birth now that only the entry home may start.
func NewTicket(home Incarnation, now time.Time) Key {
	u := uuid.Must(uuid.NewV7())
	setTimestampMs(&u, now.UnixMilli())
	return Key{Text: string(home) + "." + u.String(), Home: home, UUID: u, BirthMs: now.UnixMilli()}
}

// timestampMs returns the 48-bit timestamp of a UUIDv7 in Unix milliseconds (RFC
// 9562, section 5.7).
func timestampMs(u uuid.UUID) int64 {
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

func setTimestampMs(u *uuid.UUID, ms int64) {
	for i := 5; i >= 0; i-- {
		u[i] = byte(ms)
		ms >>= 8
	}
}
