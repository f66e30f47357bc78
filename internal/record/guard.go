package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// GuardConfig is the configuration that a guard holds: the record of its own
// service, and the whole snapshot, sealed, for entries that need to load it.
type GuardConfig struct {
	Revision int64
	// Service is nil if the guard's service is not active or its record cannot
	// be read by this version.
	Service *Service
	// Sealed is the sealed snapshot; empty if entries have no sealing key.
	Sealed []byte
}

// encodedGuardConfig is the wire form of a GuardConfig.
type encodedGuardConfig struct {
	Revision int64  `cbor:"1,keyasint"`
	Service  Raw    `cbor:"2,keyasint,omitzero"`
	Sealed   []byte `cbor:"3,keyasint,omitempty"`
}

// EncodeForGuard returns the CBOR form of the configuration for a guard of a
// service, for wire.Config. sealed is the sealed snapshot or nil.
func (s *Snapshot) EncodeForGuard(service string, sealed []byte) ([]byte, error) {
	e := encodedGuardConfig{Revision: s.Revision, Sealed: sealed}
	if _, ok := s.Service(service); ok {
		e.Service, _ = s.acceptedRecord(Key(KindService, service))
	}
	b, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode guard's configuration: %w", err)
	}
	return b, nil
}

// GuardServiceRecord returns the encoded record of the guard's own service from the
// result of EncodeForGuard; nil if there is none.
func GuardServiceRecord(b []byte) []byte {
	var e struct {
		Service cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	}
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil
	}
	return e.Service
}

// DecodeForGuard decodes the result of EncodeForGuard.
func DecodeForGuard(b []byte) (*GuardConfig, error) {
	var e encodedGuardConfig
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("decode guard's configuration: %w", err)
	}
	if e.Revision <= 0 {
		return nil, fmt.Errorf("decode guard's configuration: revision %d", e.Revision)
	}
	g := &GuardConfig{Revision: e.Revision, Sealed: e.Sealed}
	if p, err := parseRaw(e.Service); err == nil {
		g.Service = p.Service
	}
	return g, nil
}
