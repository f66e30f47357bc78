package confsync

import (
	"errors"

	"wigeontray/internal/record"
)

// errUnsealed means that an offer is not sealed although it has to be.
var errUnsealed = errors.New("offer of a guard without a sealed snapshot")

// shared is the snapshot in the forms that go to other processes.
type shared struct {
	snapshot *record.Snapshot
	peer     []byte
}

// Encoded gives the snapshot in force for peers, sealed if there is a Sealer,
// and its revision; nil before Ready. The slice must not be changed.
func (s *Sync) Encoded() (b []byte, revision int64, err error) {
	sh, err := s.share()
	if sh == nil {
		return nil, 0, err
	}
	return sh.peer, sh.snapshot.Revision, nil
}

// EncodedFor gives the configuration for a guard of a service, and its
// revision; nil before Ready.
func (s *Sync) EncodedFor(service string) (b []byte, revision int64, err error) {
	sh, err := s.share()
	if sh == nil {
		return nil, 0, err
	}
	sealed := sh.peer
	if s.o.Sealer == nil {
		sealed = nil // a guard must not read other members' records
	}
	b, err = sh.snapshot.EncodeForGuard(service, sealed)
	return b, sh.snapshot.Revision, err
}

// share encodes the snapshot once, however many guards it goes to.
func (s *Sync) share() (*shared, error) {
	snap := s.Current()
	if snap == nil {
		return nil, nil
	}
	if sh := s.shared.Load(); sh != nil && sh.snapshot == snap {
		return sh, nil
	}
	b, err := snap.Encode()
	if err != nil {
		return nil, err
	}
	if s.o.Sealer != nil {
		b = s.o.Sealer.Seal(b)
	}
	sh := &shared{snapshot: snap, peer: b}
	s.shared.Store(sh)
	return sh, nil
}

// Offer takes the snapshot that a peer holds, as its Encoded gave it. It tells
// whether it is now in force.
func (s *Sync) Offer(b []byte) (bool, error) {
	if s.o.Sealer != nil {
		plain, err := s.o.Sealer.Open(b)
		if err != nil {
			s.count("offers.forged")
			return false, err
		}
		b = plain
	}
	return s.take(b)
}

// OfferFromGuard takes what a guard holds, as EncodedFor gave it to it. Without
// a Sealer nothing that a guard says can be trusted, and it is refused.
func (s *Sync) OfferFromGuard(b []byte) (bool, error) {
	g, err := record.DecodeForGuard(b)
	if err != nil {
		s.count("offers.malformed")
		return false, err
	}
	if s.o.Sealer == nil || len(g.Sealed) == 0 {
		s.count("offers.unsealed")
		return false, errUnsealed
	}
	return s.Offer(g.Sealed)
}

func (s *Sync) take(encoded []byte) (bool, error) {
	snap, err := record.Decode(s.current.Load(), encoded)
	if err != nil {
		s.count("offers.malformed")
		return false, err
	}
	if !s.install(snap) && !s.adopt(encoded) {
		s.count("offers.old")
		return false, nil
	}
	s.count("offers.taken")
	return true, nil
}
