package tlsconf

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// tokenBytes is the size of a member's token before encoding: as many bits as
// the hash that records keep of it.
const tokenBytes = 32

// Token is a member's new token. Secret goes to the member and is kept nowhere
// else; Hash, the SHA-256 of Secret in lower-case hex, goes into its record.
type Token struct {
	Secret string
	Hash   string
}

// NewToken draws a token.
func NewToken() (Token, error) {
	var b [tokenBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Token{}, fmt.Errorf("draw token: %w", err)
	}
	secret := base64.RawURLEncoding.EncodeToString(b[:])
	sum := sha256.Sum256([]byte(secret))
	return Token{Secret: secret, Hash: hex.EncodeToString(sum[:])}, nil
}
