package confsync

import (
	"errors"

	"wigeontray/internal/record"
)

// errNotSealed means that a guard sent a configuration without a sealed snapshot,
// or that this Sync has no key to open one.
var errNotSealed = errors.New("guard sent no sealed snapshot, or no sealing key is configured")

// encodedSnapshot caches the encoded form of a snapshot.
type encodedSnapshot struct {
	snapshot *record.Snapshot
	forPeers []byte
}

// Encoded returns the current snapshot, encoded for peers and sealed if there is a
// Sealer, and its revision. The slice is nil until Ready. The caller must not modify
// it.
func (s *Sync) Encoded() (b []byte, revision int64, err error) {
	enc, err := s.encodeCurrent()
	if enc == nil {
		return nil, 0, err
	}
	return enc.forPeers, enc.snapshot.Revision, nil
}

// EncodedForGuard returns the configuration for a guard of a service, and its
// revision. The configuration is nil until Ready.
func (s *Sync) EncodedForGuard(service string) (b []byte, revision int64, err error) {
	enc, err := s.encodeCurrent()
	if enc == nil {
		return nil, 0, err
	}
	sealed := enc.forPeers
	if s.opts.Sealer == nil {
		sealed = nil // unsealed, a guard could read other members' records
	}
	b, err = enc.snapshot.EncodeForGuard(service, sealed)
	return b, enc.snapshot.Revision, err
}

// encodeCurrent encodes the current snapshot once for all peers and guards.
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

// Offer installs a peer's snapshot, as returned by Encoded, if it is newer than the
// current one or adds fallback records. It reports whether it changed the current
// configuration.
func (s *Sync) Offer(b []byte) (bool, error) {
	if s.opts.Sealer != nil {
		plain, err := s.opts.Sealer.Open(b)
		if err != nil {
			s.count("offers.forged")
			return false, err
		}
		b = plain
	}
	return s.installEncoded(b)
}

// OfferFromGuard is like Offer for a configuration from a guard, as returned by
// EncodedForGuard. Without a Sealer it is rejected, since guards are not trusted.
func (s *Sync) OfferFromGuard(b []byte) (bool, error) {
	g, err := record.DecodeForGuard(b)
	if err != nil {
		s.count("offers.malformed")
		return false, err
	}
	if s.opts.Sealer == nil || len(g.Sealed) == 0 {
		s.count("offers.unsealed")
		return false, errNotSealed
	}
	return s.Offer(g.Sealed)
}

func (s *Sync) installEncoded(encoded []byte) (bool, error) {
	snap, err := record.Decode(s.current.Load(), encoded)
	if err != nil {
		s.count("offers.malformed")
		return false, err
	}
	if !s.install(snap) && !s.adoptFallbacks(encoded) {
		s.count("offers.old")
		return false, nil
	}
	s.count("offers.taken")
	return true, nil
}
