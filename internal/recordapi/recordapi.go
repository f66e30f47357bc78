// Package recordapi serves the operators' HTTP API for configuration records. It
// reads from the current snapshot and writes by compare-and-swap through confsync.
//
//	GET    /v1/records?kind=service     the member's records
//	GET    /v1/records/{kind}/{name}    one record, its revision in ETag
//	PUT    /v1/records/{kind}/{name}    If-Match: "revision", or If-None-Match: *
//	DELETE /v1/records/{kind}/{name}    If-Match: "revision"
//
// A PUT may carry an Idempotency-Key, which becomes the write ID of the record. A
// client that got no response finds it when it reads the record back.
//
// A member can only read and write its own records. Requests for another member's
// records get the same response whether they exist or not.
//
// The package may import confsync, errkind, httpserve and record.
package recordapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"wigeontray/internal/confsync"
	"wigeontray/internal/errkind"
	"wigeontray/internal/httpserve"
	"wigeontray/internal/record"
)

// Paths of the API.
const (
	PathList   = "/v1/records"
	pathRecord = "/v1/records/{kind}/{name...}"
)

// Principal is the authenticated sender of a request.
type Principal struct {
	// Member is the member whose records the sender may read and write.
	Member string
	// IsConsortiumOperator is set for the consortium's operator, who may list,
	// read and write records of kind member and no others.
	IsConsortiumOperator bool
}

// Options configures the API's handler.
type Options struct {
	Sync *confsync.Sync
	// Authenticate identifies the sender of a request, or returns an error of
	// package errkind.
	Authenticate func(*http.Request) (Principal, error)
	// WriteError writes an error response; nil writes an ErrorBody.
	WriteError func(http.ResponseWriter, *errkind.Error)
}

// Record is one record in a response.
type Record struct {
	Kind     record.Kind `json:"kind"`
	Name     string      `json:"name"`
	Revision int64       `json:"revision"`
	// Problem is the reason why the stored version is not used, and
	// FallbackRevision the revision of the version used instead, 0 for none.
	Problem          string `json:"problem,omitempty"`
	FallbackRevision int64  `json:"in_force,omitempty"`
	// Value is the record's JSON; omitted in responses to writes.
	Value json.RawMessage `json:"value,omitempty"`
}

// List is the response to a GET of PathList.
type List struct {
	// Revision is the revision of the responding entry's current snapshot.
	Revision int64    `json:"revision"`
	Records  []Record `json:"records"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error of a kind defined in package errkind.
type ErrorDetail struct {
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Advice string `json:"advice"`
	Detail string `json:"detail,omitempty"`
	// Current is the record's revision in the store, for record_conflict.
	Current int64 `json:"current_revision,omitempty"`
}

type handler struct{ Options }

// New returns the API's handler.
func New(o Options) http.Handler {
	if o.WriteError == nil {
		o.WriteError = WriteError
	}
	h := &handler{o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathList, h.authenticated(h.list))
	mux.HandleFunc("GET "+pathRecord, h.authenticated(h.get))
	mux.HandleFunc("PUT "+pathRecord, h.authenticated(h.put))
	mux.HandleFunc("DELETE "+pathRecord, h.authenticated(h.delete))
	return httpserve.HandleUnmatched(mux, h.WriteError)
}

// authenticated wraps next: it authenticates the sender, rejects requests until a
// configuration is available, and writes the error that next returns.
func (h *handler) authenticated(next func(http.ResponseWriter, *http.Request, Principal) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p, err := h.Authenticate(r)
		if err == nil && !h.Sync.Ready() {
			err = errkind.New(errkind.StoreUnavailable, "no configuration was obtained yet").WithRan(errkind.RanNo)
		}
		if err == nil {
			err = next(w, r, p)
		}
		if err != nil {
			h.WriteError(w, errkind.From(err))
		}
	}
}

// canAccess reports whether p may read and write a record.
func (p Principal) canAccess(kind record.Kind, name string) bool {
	if p.IsConsortiumOperator {
		return kind == record.KindMember
	}
	return p.Member != "" && record.Owner(name) == p.Member
}

// canCreateOrDelete reports whether p may create and delete records of a kind. A
// member may change its own member record but neither create nor delete it.
func (p Principal) canCreateOrDelete(kind record.Kind) bool {
	return p.IsConsortiumOperator || kind != record.KindMember
}

func (h *handler) list(w http.ResponseWriter, r *http.Request, p Principal) error {
	kind := record.Kind(r.URL.Query().Get("kind"))
	snap := h.Sync.Current()
	out := List{Revision: snap.Revision, Records: []Record{}}
	for _, raw := range p.visibleRecords(snap) {
		rec := toRecord(snap, raw)
		if kind == "" || rec.Kind == kind {
			out.Records = append(out.Records, rec)
		}
	}
	return writeJSON(w, http.StatusOK, out)
}

func (p Principal) visibleRecords(snap *record.Snapshot) []record.Raw {
	if p.IsConsortiumOperator {
		return snap.ListKind(record.KindMember)
	}
	return snap.List(p.Member)
}

// toRecord converts a stored record for a response. A value that is not valid JSON
// is omitted; Problem then states the error.
func toRecord(snap *record.Snapshot, raw record.Raw) Record {
	kind, name, _ := record.ParseKey(raw.Key) // List and Raw only return keys that parse
	rec := Record{Kind: kind, Name: name, Revision: raw.ModRevision}
	if json.Valid(raw.Value) {
		rec.Value = raw.Value
	}
	for _, rej := range snap.Rejected() {
		if rej.Key == raw.Key {
			rec.Problem, rec.FallbackRevision = rej.Reason, rej.FallbackRevision
		}
	}
	return rec
}

// targetRecord returns the kind and name of the requested record. A record of
// another member is reported as not found, so that its existence is not revealed.
func targetRecord(r *http.Request, p Principal) (record.Kind, string, error) {
	kind, name := record.Kind(r.PathValue("kind")), r.PathValue("name")
	if err := record.CheckName(kind, name); err != nil {
		return "", "", errkind.New(errkind.BadRequest, "%w", err)
	}
	if !p.canAccess(kind, name) {
		return "", "", errkind.New(errkind.NotFound, "%s %s", kind, name)
	}
	return kind, name, nil
}

func (h *handler) get(w http.ResponseWriter, r *http.Request, p Principal) error {
	kind, name, err := targetRecord(r, p)
	if err != nil {
		return err
	}
	snap := h.Sync.Current()
	raw, ok := snap.Raw(kind, name)
	if !ok {
		return errkind.New(errkind.NotFound, "%s %s", kind, name)
	}
	w.Header().Set("ETag", etag(raw.ModRevision))
	return writeJSON(w, http.StatusOK, toRecord(snap, raw))
}

func (h *handler) put(w http.ResponseWriter, r *http.Request, p Principal) error {
	kind, name, err := targetRecord(r, p)
	if err != nil {
		return err
	}
	expected, err := expectedRevision(r)
	if err != nil {
		return err
	}
	if expected == 0 && !p.canCreateOrDelete(kind) {
		return errkind.New(errkind.Forbidden, "a member record is created by the consortium's operator")
	}
	value, err := httpserve.ReadBody(w, r, record.MaxSize)
	if _, isTooLarge := errors.AsType[*http.MaxBytesError](err); isTooLarge {
		return errkind.New(errkind.TooLarge, "a record may have %d bytes", record.MaxSize)
	}
	if errors.Is(err, httpserve.ErrNoMemory) {
		return errkind.New(errkind.TooManyJobs, "%w", err).WithRan(errkind.RanNo).WithAfter(time.Second)
	}
	if err != nil {
		return errkind.New(errkind.BadRequest, "body: %w", err)
	}
	id, err := writeID(r)
	if err != nil {
		return err
	}
	// The record is kept, and the memory of the body is used for others.
	revision, err := h.Sync.PutWithWriteID(r.Context(), id, kind, name, bytes.Clone(value), expected)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(revision))
	return writeJSON(w, putStatus(expected), Record{Kind: kind, Name: name, Revision: revision})
}

var writeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{16,64}$`)

// writeID returns the request's Idempotency-Key, or a new ID if there is none.
func writeID(r *http.Request) (string, error) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return uuid.NewString(), nil
	}
	if !writeIDPattern.MatchString(key) {
		return "", errkind.New(errkind.BadRequest, "Idempotency-Key: want 16 to 64 letters, digits, hyphens or underscores")
	}
	return key, nil
}

func putStatus(expected int64) int {
	if expected == 0 {
		return http.StatusCreated
	}
	return http.StatusOK
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request, p Principal) error {
	kind, name, err := targetRecord(r, p)
	if err != nil {
		return err
	}
	if !p.canCreateOrDelete(kind) {
		return errkind.New(errkind.Forbidden, "a member record is deleted by the consortium's operator")
	}
	expected, err := expectedRevision(r)
	if err != nil {
		return err
	}
	revision, err := h.Sync.Delete(r.Context(), kind, name, expected)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, Record{Kind: kind, Name: name, Revision: revision})
}

// expectedRevision returns the revision that a write is based on; 0 if the record
// must not exist. A request without a condition is rejected, since it could
// overwrite another operator's change.
func expectedRevision(r *http.Request) (int64, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return 0, errkind.New(errkind.BadRequest, "If-Match and If-None-Match exclude each other")
	case none == "*":
		return 0, nil
	case match == "":
		return 0, errkind.New(errkind.BadRequest, `an amendment needs If-Match: "revision" or If-None-Match: *`)
	}
	text, hasOpeningQuote := strings.CutPrefix(match, `"`)
	text, hasClosingQuote := strings.CutSuffix(text, `"`)
	revision, err := strconv.ParseInt(text, 10, 64)
	if !hasOpeningQuote || !hasClosingQuote || err != nil || revision <= 0 {
		return 0, errkind.New(errkind.BadRequest, "If-Match: %s: want one revision in quotes", match)
	}
	return revision, nil
}

func etag(revision int64) string { return strconv.Quote(strconv.FormatInt(revision, 10)) }

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
	return nil
}

// WriteError writes e as an ErrorBody.
func WriteError(w http.ResponseWriter, e *errkind.Error) {
	answer := e.Kind.Answer()
	body := ErrorBody{ErrorDetail{Kind: answer.Name, Ran: e.Ran.String(), Advice: answer.Advice.String(), Detail: e.Detail}}
	if c, ok := errors.AsType[*confsync.ConflictError](e); ok {
		body.Error.Current = c.Current
	}
	if e.After > 0 {
		seconds := int64((e.After + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	_ = writeJSON(w, answer.Status, body)
}
