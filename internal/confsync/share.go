package confsync

import (
	"errors"

	"wigeontray/internal/record"
)

// errNotSealed means that an offer is not sealed although it has to be.
var errNotSealed = errors.New("offer of a guard without a sealed snapshot")

// encodedSnapshot is the snapshot in the forms that go to other processes.
type encodedSnapshot struct {
	snapshot *record.Snapshot
	forPeers []byte
}

// Encoded gives the snapshot in force for peers, sealed if there is a Sealer,
// and its revision; nil before Ready. The slice must not be changed.
func (s *Sync) Encoded() (b []byte, revision int64, err error) {
	enc, err := s.encodeCurrent()
	if enc == nil {
		return nil, 0, err
	}
	return enc.forPeers, enc.snapshot.Revision, nil
}

// EncodedFor gives the configuration for a guard of a service, and its
// revision; nil before Ready.
func (s *Sync) EncodedFor(service string) (b []byte, revision int64, err error) {
	enc, err := s.encodeCurrent()
	if enc == nil {
		return nil, 0, err
	}
	sealed := enc.forPeers
	if s.opts.Sealer == nil {
		sealed = nil // a guard must not read other members' records
	}
	b, err = enc.snapshot.EncodeForGuard(service, sealed)
	return b, enc.snapshot.Revision, err
}

// encodeCurrent encodes the snapshot once, however many guards it goes to.
func (s *Sync) encodeCurrent() (*encodedSnapshot, error) {
	snap := s.Current()
	if snap == nil {
		return nil, nil
	}
	if enc := s.encodedSnapshot.Load(); enc != nil && enc.snapshot == snap {
		return enc, nil
	}
	b, err := snap.Encode()
	if err != nil {
		return nil, err
	}
	if s.opts.Sealer != nil {
		b = s.opts.Sealer.Seal(b)
	}
	enc := &encodedSnapshot{snapshot: snap, forPeers: b}
	s.encodedSnapshot.Store(enc)
	return enc, nil
}

// Offer takes the snapshot that a peer holds, as its Encoded gave it. It tells
// whether it is now in force.
func (s *Sync) Offer(b []byte) (bool, error) {
	if s.opts.Sealer != nil {
		plain, err := s.opts.Sealer.Open(b)
		if err != nil {
			s.incrementCounter("offers.forged")
			return false, err
		}
		b = plain
	}
	return s.installEncoded(b)
}

// OfferFromGuard takes what a guard holds, as EncodedFor gave it to it. Without
// a Sealer nothing that a guard says can be trusted, and it is refused.
func (s *Sync) OfferFromGuard(b []byte) (bool, error) {
	g, err := record.DecodeForGuard(b)
	if err != nil {
		s.incrementCounter("offers.malformed")
		return false, err
	}
	if s.opts.Sealer == nil || len(g.Sealed) == 0 {
		s.incrementCounter("offers.unsealed")
		return false, errNotSealed
	}
	return s.Offer(g.Sealed)
}

func (s *Sync) installEncoded(encoded []byte) (bool, error) {
	snap, err := record.Decode(s.current.Load(), encoded)
	if err != nil {
		s.incrementCounter("offers.malformed")
		return false, err
	}
	if !s.install(snap) && !s.adoptFallbacks(encoded) {
		s.incrementCounter("offers.old")
		return false, nil
	}
	s.incrementCounter("offers.taken")
	return true, nil
}
