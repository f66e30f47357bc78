package record

import (
	"testing"
)

// Anybody with a token can send any bytes as a record, and the store hands them
// to every entry. A panic would take down the fleet, and a record that reads
// differently after the write identity was set would not be the operator's.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Parse(b)
		if err != nil {
			return
		}
		withID, err := WithWriteID(b, "w")
		if err != nil {
			t.Fatalf("accepted record takes no write identity: %v", err)
		}
		reparsed, err := ParseAs(p.Kind, p.Name, withID)
		if err != nil && len(withID) <= MaxSize {
			t.Fatalf("accepted record is refused with a write identity: %v", err)
		}
		if err == nil && (reparsed.WriteID != "w" || WriteID(withID) != "w") {
			t.Fatalf("write identity is %q", reparsed.WriteID)
		}
	})
}

// A peer of another version, or a broken one, can send any bytes as a snapshot.
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
			t.Fatalf("revision %d", g.Revision)
		}
		got, err := Decode(s, b)
		if err != nil {
			return
		}
		if _, err := got.Encode(); err != nil {
			t.Fatalf("decoded snapshot does not encode: %v", err)
		}
		got.MemberByToken("t")
		got.Services()
		s.AdoptFallbacks(b)
	})
}
