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

// records serves the operators' record API to members and, where a hash of its
// token is set, to the consortium's operator.
func (e *Entry) records() (http.Handler, error) {
	consortium, err := hex.DecodeString(e.set.Operators.ConsortiumTokenSHA256)
	if err != nil {
		return nil, fmt.Errorf("consortium token: %w", err)
	}
	return recordapi.New(recordapi.Options{
		Sync: e.sync,
		Authenticate: func(r *http.Request) (recordapi.Principal, error) {
			if isConsortium(r, consortium) {
				return recordapi.Principal{Consortium: true}, nil
			}
			member, refusal := e.server.Authenticate(r)
			if refusal != nil {
				return recordapi.Principal{}, refusal
			}
			return recordapi.Principal{Member: member}, nil
		},
	}), nil
}

func isConsortium(r *http.Request, hash []byte) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || len(hash) == 0 {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], hash) == 1
}
