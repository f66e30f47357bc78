package record

import (
	"testing"
)

// Any caller with a token can send arbitrary bytes as a record, and the store
// distributes them to every entry. A panic would crash the whole fleet. Setting the
// write ID must not change how the record parses.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Parse(b)
		if err != nil {
			return
		}
		withID, err := WithWriteID(b, "w")
		if err != nil {
			t.Fatalf("cannot set the write ID of an accepted record: %v", err)
		}
		reparsed, err := ParseAs(p.Kind, p.Name, withID)
		if err != nil && len(withID) <= MaxSize {
			t.Fatalf("accepted record is rejected after its write ID was set: %v", err)
		}
		if err == nil && (reparsed.WriteID != "w" || WriteID(withID) != "w") {
			t.Fatalf("got write ID %q", reparsed.WriteID)
		}
	})
}

// A peer that runs another version or is faulty can send arbitrary bytes as a
// snapshot.
func FuzzDecodeSnapshot(f *testing.F) {
	s := Build(nil, []Raw{memberWithToken("ayni", "t"), rawRecord(KindService, "ayni/reserva", `{"kind":"service","name":"ayni/reserva","schema":2}`, 2)}, 2)
	b, err := s.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	guard, err := s.EncodeForGuard("ayni/reserva", b)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(guard)
	f.Fuzz(func(t *testing.T, b []byte) {
		if g, err := DecodeForGuard(b); err == nil && g.Revision <= 0 {
			t.Fatalf("decoded an invalid revision: %d", g.Revision)
		}
		got, err := Decode(s, b)
		if err != nil {
			return
		}
		if _, err := got.Encode(); err != nil {
			t.Fatalf("cannot encode the decoded snapshot: %v", err)
		}
		got.MemberByToken("t")
		got.Services()
		s.AdoptFallbacks(b)
	})
}
