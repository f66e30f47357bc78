package tlsconf

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// tokenBytes is the size of a member's token before encoding. It has as many bits
// as the SHA-256 hash of the token that is stored in records.
const tokenBytes = 32

// Token is a new token of a member.
type Token struct {
	Secret string // given to the member and stored nowhere else
	Hash   string // SHA-256 of Secret in lower-case hex, stored in the member's record
}

// NewToken generates a random token.
func NewToken() (Token, error) {
	var b [tokenBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Token{}, fmt.Errorf("generate token: %w", err)
	}
	secret := base64.RawURLEncoding.EncodeToString(b[:])
	sum := sha256.Sum256([]byte(secret))
	return Token{Secret: secret, Hash: hex.EncodeToString(sum[:])}, nil
}
