package record

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// maxRecords limits the records in a snapshot received from a peer.
const maxRecords = 100_000

// encodedSnapshot is the wire form of a snapshot. It contains the records as they
// are stored, so that a process of another version parses them by its own schemas.
type encodedSnapshot struct {
	Revision int64 `cbor:"1,keyasint"`
	Records  []Raw `cbor:"2,keyasint"`
	// Fallbacks are the records that the sender uses in place of stored ones
	// that it cannot read. A process that starts later takes them over.
	Fallbacks []Raw `cbor:"3,keyasint,omitempty"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxRecords, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constants
	}
	return m
}()

// Encode returns the CBOR form of s for wire.Config. It is deterministic: equal
// snapshots have equal encodings.
func (s *Snapshot) Encode() ([]byte, error) {
	e := encodedSnapshot{Revision: s.Revision, Records: sortedByKey(s.raw), Fallbacks: sortedByKey(s.fallbacks)}
	b, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

func sortedByKey(m map[string]Raw) []Raw {
	return slices.SortedFunc(maps.Values(m), func(a, b Raw) int { return strings.Compare(a.Key, b.Key) })
}

// Decode decodes the result of Encode. previous is the current snapshot, or nil;
// its records remain in use where those of b cannot be read.
func Decode(previous *Snapshot, b []byte) (*Snapshot, error) {
	e, err := decode(b)
	if err != nil {
		return nil, err
	}
	return Build(mergeFallbacks(previous, e), e.Records, e.Revision), nil
}

func decode(b []byte) (e encodedSnapshot, err error) {
	if err := decMode.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("decode snapshot: %w", err)
	}
	if e.Revision <= 0 {
		return e, fmt.Errorf("decode snapshot: revision %d", e.Revision)
	}
	return e, nil
}

// AdoptFallbacks returns s extended by the fallback records of the encoded snapshot
// b, and whether that added any. If the store holds a record of a newer schema when
// a process starts, that process has never accepted a version of the record.
// Without the sender's version, this process alone would reject the affected
// callers as unknown until it is upgraded.
func (s *Snapshot) AdoptFallbacks(b []byte) (*Snapshot, bool) {
	e, err := decode(b)
	if err != nil || s.countWithoutFallback() == 0 {
		return s, false
	}
	adopted := Build(mergeFallbacks(s, e), slices.Collect(maps.Values(s.raw)), s.Revision)
	return adopted, adopted.countWithoutFallback() < s.countWithoutFallback()
}

// countWithoutFallback counts the rejected records that have no fallback.
func (s *Snapshot) countWithoutFallback() int {
	n := 0
	for _, rej := range s.rejected {
		if rej.FallbackRevision == 0 {
			n++
		}
	}
	return n
}

// mergeFallbacks returns previous with the sender's fallback records added. The
// version with the higher revision wins, since it was accepted later.
func mergeFallbacks(previous *Snapshot, e encodedSnapshot) *Snapshot {
	if len(e.Fallbacks) == 0 {
		return previous
	}
	merged := &Snapshot{fallbacks: previous.acceptedRecords()}
	for _, r := range e.Fallbacks {
		if merged.fallbacks[r.Key].ModRevision < r.ModRevision {
			merged.fallbacks[r.Key] = r
		}
	}
	return merged
}

// acceptedRecords returns the records that s uses, fallbacks included, by key.
func (s *Snapshot) acceptedRecords() map[string]Raw {
	if s == nil {
		return map[string]Raw{}
	}
	out := maps.Clone(s.raw)
	for _, rej := range s.rejected {
		delete(out, rej.Key)
	}
	maps.Copy(out, s.fallbacks)
	return out
}
