package roster

import (
	"encoding/json"
	"fmt"
	"slices"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Version is one roster: the entries that own the plain identities born from
// FromMs on, until the FromMs of the next version. Everything but CeilingMs is
// fixed once it is in the store.
type Version struct {
	Version int64            `json:"version"`
	FromMs  int64            `json:"from_ms"` // births, milliseconds of the Unix epoch
	Members []wire.EntryAddr `json:"members"`
	// CeilingMs bounds every promise that a member makes under this version. It
	// is raised by compare-and-swap. An entry outside the roster may append a
	// version that begins at the ceiling, even though it cannot tell whether
	// the members are dead or only cut off from the store.
	CeilingMs int64 `json:"ceiling_ms"`
	// Gone are entries that this version declares gone for good. They start
	// nothing once they learn it, and are never members again.
	Gone []identity.Incarnation `json:"gone,omitempty"`
}

// History is the store's value: consecutive versions, oldest first.
type History struct {
	Versions []Version `json:"versions"`
}

// Encode gives the store value of h.
func (h History) Encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode roster history: %w", err)
	}
	return b, nil
}

// DecodeHistory reads a store value. It fails when the versions are not
// consecutive or their beginnings run backwards: an entry that obeyed such a
// history could own births that belong to another.
func DecodeHistory(b []byte) (History, error) {
	var h History
	if err := json.Unmarshal(b, &h); err != nil {
		return History{}, fmt.Errorf("decode roster history: %w", err)
	}
	if len(h.Versions) == 0 {
		return History{}, fmt.Errorf("decode roster history: no version")
	}
	for i := 1; i < len(h.Versions); i++ {
		prev, next := h.Versions[i-1], h.Versions[i]
		if next.Version != prev.Version+1 || next.FromMs < prev.FromMs {
			return History{}, fmt.Errorf("decode roster history: version %d does not follow %d", next.Version, prev.Version)
		}
	}
	return h, nil
}

// Message gives the form in which v is sent to a peer.
func (v Version) Message() *wire.Roster {
	return &wire.Roster{Version: v.Version, FromMs: v.FromMs, Members: v.Members, CeilingMs: v.CeilingMs, Gone: v.Gone}
}

func versionFromMessage(r *wire.Roster) Version {
	return Version{Version: r.Version, FromMs: r.FromMs, Members: r.Members, CeilingMs: r.CeilingMs, Gone: r.Gone}
}

// Has tells whether inc is a member of v.
func (v Version) Has(inc identity.Incarnation) bool {
	return slices.ContainsFunc(v.Members, func(m wire.EntryAddr) bool { return m.Incarnation == inc })
}

// trimVersions drops versions that end at or before floorMs and all beyond
// maxVersions. Births of a dropped version have no owner any more and are
// refused as expired.
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
