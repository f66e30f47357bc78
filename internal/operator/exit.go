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

// Exit codes of the commands. Scripts may rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // anything not listed here
	ExitUsage       = 2 // the command line is wrong
	ExitInvalid     = 3 // a file or record is not valid; nothing was sent or written
	ExitNotFound    = 4 // no such record, or it is another member's
	ExitConflict    = 5 // somebody else amended the record first; nothing was written
	ExitRefused     = 6 // the token is unknown or may not do this
	ExitUnavailable = 7 // the entry or the store cannot be reached; nothing was written
	ExitUnknown     = 8 // the outcome of an amendment is not known
)

// exitOfKind holds the codes of the kinds that the operators' API answers with.
var exitOfKind = map[string]int{
	errkind.RecordInvalid.String():   ExitInvalid,
	errkind.TooLarge.String():        ExitInvalid,
	errkind.BadRequest.String():      ExitInvalid,
	errkind.NotFound.String():        ExitNotFound,
	errkind.RecordConflict.String():  ExitConflict,
	errkind.Unauthenticated.String(): ExitRefused,
	errkind.Forbidden.String():       ExitRefused,
}

// ExitCode gives the exit code of a command that ended with err.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if api, ok := errors.AsType[*APIError](err); ok {
		return exitOfAPI(api)
	}
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	case isInvalid(err):
		return ExitInvalid
	}
	return ExitFailed
}

func exitOfAPI(e *APIError) int {
	if e.Detail.Kind == errkind.StoreUnavailable.String() {
		if e.Detail.Ran == errkind.RanNo.String() {
			return ExitUnavailable
		}
		return ExitUnknown
	}
	if code, ok := exitOfKind[e.Detail.Kind]; ok {
		return code
	}
	return ExitFailed
}

// connectError marks the errors that prove that nothing was sent.
func connectError(err error) error {
	op, connecting := errors.AsType[*net.OpError](err)
	_, certificate := errors.AsType[*tls.CertificateVerificationError](err)
	if connecting && op.Op == "dial" || certificate {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return err
}

// WriteJSON writes v as indented JSON, one value after another, for programs
// that read a command's output.
func WriteJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
