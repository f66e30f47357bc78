package record

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"
)

// Parameters of the sealing key's derivation.
const (
	sealKeyInfo = "wigeontray configuration snapshot 1"
	sealKeyLen  = 32 // bytes: AES-256
)

// Sealer encrypts and authenticates snapshots under a key that only entries have.
// Guards run on members' machines and hold a snapshot for entries that start during
// an outage of the store. Without sealing, a member could read other members'
// records there, or give an entry a forged configuration.
type Sealer struct{ aead cipher.AEAD }

// NewSealer returns a Sealer with a key derived from the entries' key.
func NewSealer(key string) (*Sealer, error) {
	derived, err := hkdf.Key(sha256.New, []byte(key), nil, sealKeyInfo, sealKeyLen)
	if err != nil {
		return nil, fmt.Errorf("sealing key: %w", err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, fmt.Errorf("sealing key: %w", err)
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, fmt.Errorf("sealing key: %w", err)
	}
	return &Sealer{aead}, nil
}

// Seal returns the encrypted form of an encoded snapshot.
func (s *Sealer) Seal(b []byte) []byte { return s.aead.Seal(nil, nil, b, nil) }

// Open returns the encoded snapshot that was sealed, or an error if it was not
// sealed under this key.
func (s *Sealer) Open(b []byte) ([]byte, error) {
	plain, err := s.aead.Open(nil, nil, b, nil)
	if err != nil {
		return nil, fmt.Errorf("sealed snapshot: %w", err)
	}
	return plain, nil
}
