package roster

import (
	"encoding/json"
	"fmt"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Version is one roster: the entries that own the plain identities born from FromMs
// until the FromMs of the next version. All fields except CeilingMs are immutable
// once the version is stored.
type Version struct {
	Version int64            `json:"version"`
	FromMs  int64            `json:"from_ms"` // lowest birth, in Unix milliseconds
	Members []wire.EntryAddr `json:"members"`
	// CeilingMs is the upper bound, in Unix milliseconds, of every promise that a
	// member makes under this version. It is raised by compare-and-swap. An entry
	// outside the roster may append a version that begins at the ceiling, even though
	// it cannot tell whether the members have failed or are only cut off from the
	// store.
	CeilingMs int64 `json:"ceiling_ms"`
	// Gone lists the entries that this version declares permanently gone. They start
	// nothing once they receive the version, and never become members again.
	Gone []identity.Incarnation `json:"gone,omitempty"`
}

// History is the value in the store: consecutive versions, oldest first.
type History struct {
	Versions []Version `json:"versions"`
}

// Encode returns h as stored.
func (h History) Encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode roster history: %w", err)
	}
	return b, nil
}

// DecodeHistory parses a stored history. It returns an error if there is no version,
// if versions are not consecutive or if their beginnings decrease: an entry that
// applied such a history could own births that belong to another entry.
func DecodeHistory(b []byte) (History, error) {
	var h History
	if err := json.Unmarshal(b, &h); err != nil {
		return History{}, fmt.Errorf("decode roster history: %w", err)
	}
	if len(h.Versions) == 0 {
		return History{}, fmt.Errorf("decode roster history: it has no version")
	}
	for i := 1; i < len(h.Versions); i++ {
		prev, next := h.Versions[i-1], h.Versions[i]
		if next.Version != prev.Version+1 || next.FromMs < prev.FromMs {
			return History{}, fmt.Errorf("decode roster history: version %d is no valid successor of version %d", next.Version, prev.Version)
		}
	}
	return h, nil
}

// Message returns v as sent to peers.
func (v Version) Message() *wire.Roster {
	return &wire.Roster{Version: v.Version, FromMs: v.FromMs, Members: v.Members, CeilingMs: v.CeilingMs, Gone: v.Gone}
}

func versionFromMessage(r *wire.Roster) Version {
	return Version{Version: r.Version, FromMs: r.FromMs, Members: r.Members, CeilingMs: r.CeilingMs, Gone: r.Gone}
}

// Has reports whether inc is a member of v.
func (v Version) Has(inc identity.Incarnation) bool {
	return slices.ContainsFunc(v.Members, func(m wire.EntryAddr) bool { return m.Incarnation == inc })
}

// trimVersions drops versions that end at or before cutoffMs, and the oldest beyond
// maxVersions. Births of a dropped version have no owner any more and are refused as
// expired.
func trimVersions(versions []Version, cutoffMs int64) []Version {
	first := 0
	for first+1 < len(versions) && versions[first+1].FromMs <= cutoffMs {
		first++
	}
	if excess := len(versions) - maxVersions; excess > first {
		first = excess
	}
	return versions[first:]
}
