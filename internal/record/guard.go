package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// GuardConfig is what a guard holds of the configuration: its own service, and
// the whole in a form that it cannot read, for entries that need it.
type GuardConfig struct {
	Revision int64
	// Service is nil if the guard's service is not in force or its record
	// cannot be read by this version.
	Service *Service
	// Sealed is the sealed snapshot; empty if entries have no sealing key.
	Sealed []byte
}

// encodedGuardConfig is a GuardConfig on the wire.
type encodedGuardConfig struct {
	Revision int64  `cbor:"1,keyasint"`
	Service  Raw    `cbor:"2,keyasint,omitzero"`
	Sealed   []byte `cbor:"3,keyasint,omitempty"`
}

// EncodeForGuard gives the CBOR form of what a guard of a service holds, for
// wire.Config.
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

// OwnRecord gives the encoded record of the guard's own service in what
// EncodeForGuard wrote; nil if there is none.
func OwnRecord(b []byte) []byte {
	var e struct {
		Service cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	}
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil
	}
	return e.Service
}

// DecodeForGuard reads what EncodeForGuard wrote.
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
