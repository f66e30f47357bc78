package seal

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A guard on a rival's VM changes the snapshot that it holds, or claims a
// higher revision for an old one, and offers it to an entry that has just
// started. The entry would obey it, and nobody's records would be safe.
func TestForgedSnapshotIsRefused(t *testing.T) {
	c := qt.New(t)
	ours, err := New("fleet")
	c.Assert(err, qt.IsNil)
	theirs, err := New("another")
	c.Assert(err, qt.IsNil)
	sealed := ours.Seal(7, []byte("records"))
	got, err := ours.Open(7, sealed)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "records")
	c.Assert(bytes.Contains(sealed, []byte("records")), qt.IsFalse)
	spoilt := bytes.Clone(sealed)
	spoilt[len(spoilt)-1]++
	for _, tt := range []struct {
		box      *Box
		revision int64
		sealed   []byte
	}{{ours, 8, sealed}, {ours, 7, spoilt}, {theirs, 7, sealed}, {ours, 7, nil}, {ours, 7, sealed[:20]}} {
		_, err := tt.box.Open(tt.revision, tt.sealed)
		c.Check(err, qt.ErrorIs, ErrForged)
	}
}
