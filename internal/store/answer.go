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

// errMissingRevision means that a response lacks the revision that every
// response of etcd carries.
var errMissingRevision = errors.New("no revision in it")

// decodeResponse decodes the body of a successful call. A response without a
// revision comes from something between client and service, such as a proxy.
// Without this check an empty object would read as a conflict or as a store
// without records.
func decodeResponse(body io.Reader, resp response) error {
	if err := json.NewDecoder(io.LimitReader(body, maxResponseSize)).Decode(resp); err != nil {
		return err
	}
	if resp.StoreRevision() <= 0 {
		return errMissingRevision
	}
	return nil
}

// response is the decoded response to one call.
type response interface{ StoreRevision() int64 }

// classifySendError returns the sentinel error for a transport failure:
// ErrNotSent if no connection could be made, else ErrUnavailable.
func classifySendError(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return ErrNotSent
	}
	return ErrUnavailable
}

// responseError converts a response with a status other than 200 into an error.
func responseError(resp *http.Response) error {
	var body etcdjson.Error
	// An error page of a proxy is not JSON; then the status alone decides.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodySize)).Decode(&body)
	return gatewayError(resp.StatusCode, body)
}

// rejectedStatuses holds the statuses that the gateway returns before it
// executes a call.
var rejectedStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusForbidden: true,
	http.StatusNotFound: true, http.StatusRequestEntityTooLarge: true,
}

// gatewayError converts an error of the gateway. It returns an error other than
// ErrUnavailable only if the response proves that the call had no effect.
func gatewayError(status int, body etcdjson.Error) error {
	kind := ErrUnavailable
	switch {
	case body.Code == etcdjson.CodeNotFound && strings.Contains(body.Message, "lease"):
		kind = ErrLeaseNotFound
	case body.Code == etcdjson.CodeOutOfRange && strings.Contains(body.Message, "compacted"):
		kind = ErrCompacted
	case body.Code == etcdjson.CodeInvalidArgument, rejectedStatuses[status]:
		kind = ErrRefused
	}
	return fmt.Errorf("%w: status %d, code %d: %s", kind, status, body.Code, body.Message)
}
