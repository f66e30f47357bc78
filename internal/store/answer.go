package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"wigeontray/internal/store/etcdjson"
)

// errNoRevision means that an answer lacks what every answer of etcd has.
var errNoRevision = errors.New("no revision in it")

// decodeAnswer reads an answer. One without a revision does not come from the
// service but from something in between; an empty object would otherwise read
// as a conflict, or as a store without records.
func decodeAnswer(body io.Reader, resp answer) error {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(resp); err != nil {
		return err
	}
	if resp.StoreRevision() <= 0 {
		return errNoRevision
	}
	return nil
}

// answer is the answer to one call.
type answer interface{ StoreRevision() int64 }

// sendError sorts a failure of the transport: without a connection nothing was
// sent.
func sendError(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return ErrNotSent
	}
	return ErrUnavailable
}

func readError(resp *http.Response) error {
	var body etcdjson.Error
	// An error page of a proxy is no JSON; the status then decides alone.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body)
	return errorOf(resp.StatusCode, body)
}

// definite holds the statuses that are given before a call is carried out.
var definite = map[int]bool{
	http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusForbidden: true,
	http.StatusNotFound: true, http.StatusRequestEntityTooLarge: true,
}

// errorOf sorts an error of the gateway. Only an answer that rules out that
// the call took effect may be anything but ErrUnavailable.
func errorOf(status int, body etcdjson.Error) error {
	kind := ErrUnavailable
	switch {
	case body.Code == etcdjson.CodeNotFound && strings.Contains(body.Message, "lease"):
		kind = ErrLeaseGone
	case body.Code == etcdjson.CodeOutOfRange && strings.Contains(body.Message, "compacted"):
		kind = ErrCompacted
	case body.Code == etcdjson.CodeInvalidArgument, definite[status]:
		kind = ErrRefused
	}
	return fmt.Errorf("%w: status %d, code %d: %s", kind, status, body.Code, body.Message)
}
