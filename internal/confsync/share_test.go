package confsync

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/record"
)

// newSealedSync returns a Sync with a sealing key and without a running watch.
func (f *fixture) newSealedSync(key string) *Sync {
	sealer, err := record.NewSealer(key)
	f.Assert(err, qt.IsNil)
	return New(Options{Store: f.newStoreClient(), Sealer: sealer})
}

// Guards against a new entry without configuration when only guards still hold it, as all entries
// and the store are gone. A guard runs on a member's machine: it must be able to read its own
// service's record, but no record of another member.
func TestNewEntryLoadsSealedSnapshotFromGuard(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		_, err := f.newStoreClient().Put(f.t.Context(), record.Key(record.KindService, "ayni/reserva"),
			[]byte(`{"kind":"service","name":"ayni/reserva","schema":2,"path":"/own"}`), 0, 0)
		f.Assert(err, qt.IsNil)
		revision := f.writeMember("secret-region", 0)
		b, _, err := f.sync.Encoded()
		f.Assert(err, qt.IsNil)
		old := f.newSealedSync("key of the entries")
		_, err = old.installEncoded(b)
		f.Assert(err, qt.IsNil)

		held, encodedRevision, err := old.EncodedForGuard("ayni/reserva")
		f.Assert(err, qt.IsNil)
		f.Assert(encodedRevision, qt.Equals, revision)
		f.Assert(bytes.Contains(held, []byte("secret-region")), qt.IsFalse)
		g, err := record.DecodeForGuard(held)
		f.Assert(err, qt.IsNil)
		f.Assert(g.Service.Path, qt.Equals, "/own")

		late := f.newSealedSync("key of the entries")
		taken, err := late.OfferFromGuard(held)
		f.Assert(err, qt.IsNil)
		f.Assert(taken, qt.IsTrue)
		f.Assert(region(late), qt.Equals, "secret-region")
		f.Assert(late.Revision(), qt.Equals, revision)
	})
}

// A member forges a configuration on its guard's machine and offers it with a
// revision above all others. An entry that accepted it would use the member's
// configuration instead of the operators', permanently.
func TestForgedSnapshotIsRejected(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.writeMember("lima", 0)
		forged := record.Build(nil, []record.Raw{{Key: record.Key(record.KindMember, "ayni"), Value: memberJSON("forged"), ModRevision: 1}}, 1<<60)
		plain, err := forged.Encode()
		f.Assert(err, qt.IsNil)
		other := f.newSealedSync("a key that the member chose")
		_, err = other.installEncoded(plain)
		f.Assert(err, qt.IsNil)
		sealedByOther, _, _ := other.EncodedForGuard("ayni/reserva")
		unsealed, err := forged.EncodeForGuard("ayni/reserva", plain)
		f.Assert(err, qt.IsNil)

		victim := f.newSealedSync("key of the entries")
		for _, b := range [][]byte{sealedByOther, unsealed, plain, nil} {
			_, err := victim.OfferFromGuard(b)
			f.Assert(err, qt.IsNotNil)
		}
		_, err = victim.Offer(plain)
		f.Assert(err, qt.IsNotNil)
		_, err = f.sync.OfferFromGuard(unsealed) // no sealing key
		f.Assert(err, qt.IsNotNil)
		f.Assert(victim.Ready(), qt.IsFalse)
		f.Assert(region(f.sync), qt.Equals, "lima")
	})
}
