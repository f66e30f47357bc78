package record

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// maxRecords bounds the records of a snapshot that is read from a peer.
const maxRecords = 100_000

// encodedSnapshot is a snapshot on the wire. It carries the records as the store holds
// them, so that a process of another version reads them by its own schemas.
type encodedSnapshot struct {
	Revision int64 `cbor:"1,keyasint"`
	Records  []Raw `cbor:"2,keyasint"`
	// Held are the records that the sender obeys in place of ones that it
	// cannot read. A process that starts later takes them over.
	Fallbacks []Raw `cbor:"3,keyasint,omitempty"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxRecords, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode gives the CBOR form, for wire.Config. Equal snapshots give equal bytes.
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

// Decode reads what Encode wrote. before is the snapshot in force, or nil; its
// records stay in force where those of b cannot be read.
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

// AdoptFallbacks gives s with the records that only the sender of b still obeys. A
// process that starts while the store holds a record of a newer schema has
// never accepted one for that name; without this its callers would be refused
// as unknown at this process alone, until it is upgraded.
func (s *Snapshot) AdoptFallbacks(b []byte) (*Snapshot, bool) {
	e, err := decode(b)
	if err != nil || s.countWithoutFallback() == 0 {
		return s, false
	}
	adopted := Build(mergeFallbacks(s, e), slices.Collect(maps.Values(s.raw)), s.Revision)
	return adopted, adopted.countWithoutFallback() < s.countWithoutFallback()
}

// countWithoutFallback counts the rejected records in whose place nothing is obeyed.
func (s *Snapshot) countWithoutFallback() int {
	n := 0
	for _, rej := range s.rejected {
		if rej.FallbackRevision == 0 {
			n++
		}
	}
	return n
}

// mergeFallbacks adds to before what only the sender holds. A record that is newer
// there was accepted by the sender after ours.
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

// acceptedRecords gives the records that s obeys, by key.
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
