// Package seal owns the form in which configuration leaves the entries: sealed
// under the fleet's key, with AES-256-GCM of the standard library.
//
// Guards keep the newest snapshot, so that an entry that starts in a store
// outage can get it from them. But a guard runs beside a member's upstream, on
// a VM of that member. In the clear it would show rivals' records there, and a
// forged snapshot with a high revision would replace everybody's configuration.
//
// The package imports nothing of the project.
package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

// purpose separates this key from other uses of the fleet's key.
const purpose = "wigeontray configuration snapshot v1"

// ErrForged means that a snapshot was not sealed under the fleet's key, or not
// at the revision that it claims.
var ErrForged = errors.New("snapshot is not sealed by this fleet")

// Box seals and opens snapshots. It may be used from many goroutines.
type Box struct{ aead cipher.AEAD }

// New derives a box from the fleet's key. An empty key, which only a site on
// loopback has, gives a box that anybody can make.
func New(fleetKey string) (*Box, error) {
	key, err := hkdf.Key(sha256.New, []byte(fleetKey), nil, purpose, 32)
	if err != nil {
		return nil, fmt.Errorf("derive sealing key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("sealing cipher: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("sealing mode: %w", err)
	}
	return &Box{aead: aead}, nil
}

// Seal gives the sealed form of the snapshot at revision.
func (b *Box) Seal(revision int64, snapshot []byte) []byte {
	nonce := make([]byte, b.aead.NonceSize(), b.aead.NonceSize()+len(snapshot)+b.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		panic(err) // crypto/rand does not fail on the platforms we run on
	}
	return b.aead.Seal(nonce, nonce, snapshot, bound(revision))
}

// Open gives the snapshot back, or ErrForged.
func (b *Box) Open(revision int64, sealed []byte) ([]byte, error) {
	n := b.aead.NonceSize()
	if len(sealed) < n {
		return nil, ErrForged
	}
	out, err := b.aead.Open(nil, sealed[:n], sealed[n:], bound(revision))
	if err != nil {
		return nil, ErrForged
	}
	return out, nil
}

func bound(revision int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(revision)) }
