package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"wigeontray/internal/recordapi"
)

// recordsHandler serves the operators' record API to members and, if the hash
// of its token is configured, to the consortium's operator.
func (e *Entry) recordsHandler() (http.Handler, error) {
	consortiumHash, err := hex.DecodeString(e.cfg.Operators.ConsortiumTokenSHA256)
	if err != nil {
		return nil, fmt.Errorf("consortium token: %w", err)
	}
	return recordapi.New(recordapi.Options{
		Sync: e.sync,
		Authenticate: func(r *http.Request) (recordapi.Principal, error) {
			if hasConsortiumToken(r, consortiumHash) {
				return recordapi.Principal{IsConsortiumOperator: true}, nil
			}
			member, authErr := e.server.Authenticate(r)
			if authErr != nil {
				return recordapi.Principal{}, authErr
			}
			return recordapi.Principal{Member: member}, nil
		},
	}), nil
}

// hasConsortiumToken reports whether the request carries the token with the
// given SHA-256 hash.
func hasConsortiumToken(r *http.Request, hash []byte) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || len(hash) == 0 {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], hash) == 1
}
