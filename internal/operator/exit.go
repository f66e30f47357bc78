package operator

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"wigeontray/internal/errkind"
)

// Exit codes of the commands. They are stable, for use in scripts.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any other error
	ExitUsage       = 2 // the command line is wrong
	ExitInvalid     = 3 // a file or record is not valid; nothing was sent or written
	ExitNotFound    = 4 // the record does not exist or belongs to another member
	ExitConflict    = 5 // the record was amended by someone else first; nothing was written
	ExitRefused     = 6 // the token is unknown or lacks the permission
	ExitUnavailable = 7 // the entry or the store cannot be reached; nothing was written
	ExitUnknown     = 8 // the outcome of an amendment is unknown
)

// exitCodeByKind maps the error kinds of the operator API to exit codes.
var exitCodeByKind = map[string]int{
	errkind.RecordInvalid.String():   ExitInvalid,
	errkind.TooLarge.String():        ExitInvalid,
	errkind.BadRequest.String():      ExitInvalid,
	errkind.NotFound.String():        ExitNotFound,
	errkind.RecordConflict.String():  ExitConflict,
	errkind.Unauthenticated.String(): ExitRefused,
	errkind.Forbidden.String():       ExitRefused,
}

// ExitCode returns the exit code of a command that returned err.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if apiErr, ok := errors.AsType[*APIError](err); ok {
		return apiExitCode(apiErr)
	}
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	case isValidationError(err):
		return ExitInvalid
	}
	return ExitFailed
}

func apiExitCode(e *APIError) int {
	if e.Detail.Kind == errkind.StoreUnavailable.String() {
		if e.Detail.Ran == errkind.RanNo.String() {
			return ExitUnavailable
		}
		return ExitUnknown
	}
	if code, ok := exitCodeByKind[e.Detail.Kind]; ok {
		return code
	}
	return ExitFailed
}

// wrapConnectError adds ErrUnreachable to an error that proves that nothing was
// sent: a failed dial, or a certificate that failed verification.
func wrapConnectError(err error) error {
	op, isOpError := errors.AsType[*net.OpError](err)
	_, isCertError := errors.AsType[*tls.CertificateVerificationError](err)
	if isOpError && op.Op == "dial" || isCertError {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return err
}

// WriteJSON writes v as indented JSON for programs that read a command's
// output. Successive calls write one value after another.
func WriteJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
