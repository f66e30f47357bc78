// Package identity owns the names under which callers submit jobs and the
// names under which processes of the system are known.
//
// A job's identity is the caller's Idempotency-Key. It carries a time of birth
// (it is, or ends in, a UUIDv7), so that a process can refuse an identity that
// is older than its memory in place of running it a second time. A ticket also
// names the one entry that may ever start it.
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

// MaxKeyLen bounds an Idempotency-Key, in bytes.
const MaxKeyLen = 128

var incarnationPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Incarnation names one run of one process: its configured name and a random
// suffix, so that a restarted process is never taken for its predecessor.
type Incarnation string

// NewIncarnation draws an incarnation for the process called name.
func NewIncarnation(name string) Incarnation {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on the platforms we run on
	}
	return Incarnation(name + "-" + hex.EncodeToString(b[:]))
}

// Key is a parsed identity. The text is what the caller sent, and two
// submissions are the same job when member and text are equal.
type Key struct {
	Text string
	Home Incarnation // empty for a plain key
	UUID uuid.UUID
	// BirthMs is the identity's own time of birth, in milliseconds of the Unix
	// epoch by the clock that made it. It never changes between submissions.
	BirthMs int64
}

// Parse reads an Idempotency-Key: a UUIDv7, or "home.UUIDv7".
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

// NewTicket mints an identity that only the entry home may start.
func NewTicket(home Incarnation, now time.Time) Key {
	u := uuid.Must(uuid.NewV7())
	setTimestampMs(&u, now.UnixMilli())
	return Key{Text: string(home) + "." + u.String(), Home: home, UUID: u, BirthMs: now.UnixMilli()}
}

// timestampMs reads the 48-bit millisecond timestamp of a UUIDv7 (RFC 9562, 5.7).
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
