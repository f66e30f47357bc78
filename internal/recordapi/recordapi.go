// Package recordapi serves the operators' API on records over HTTP: reading
// from the snapshot in force, amending by compare-and-swap through confsync.
//
//	GET    /v1/records?kind=service     the member's records
//	GET    /v1/records/{kind}/{name}    one record, its revision in ETag
//	PUT    /v1/records/{kind}/{name}    If-Match: "revision", or If-None-Match: *
//	DELETE /v1/records/{kind}/{name}    If-Match: "revision"
//
// A PUT may carry an Idempotency-Key, which becomes the write identity of the
// record: a client that did not get its answer finds it on reading back.
//
// A member sees and amends its own records alone. Records of others answer as
// if they did not exist, whether they do or not.
//
// The package may import confsync, errkind, httpserve and record.
package recordapi

import (
	"encoding/json"
	"errors"
	"io"
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

// Principal is who sends a request.
type Principal struct {
	// Member may read and amend its own records.
	Member string
	// Consortium is the consortium's own operator: it may list, read and amend
	// records of kind member, and no other.
	Consortium bool
}

// Options of a Handler.
type Options struct {
	Sync *confsync.Sync
	// Authenticate finds out who sends a request, or fails with an error of
	// package errkind.
	Authenticate func(*http.Request) (Principal, error)
	// WriteError answers with an error; nil is the package's own form, an
	// object with the field "error" as in ErrorBody.
	WriteError func(http.ResponseWriter, *errkind.Error)
}

// Record is one record in an answer.
type Record struct {
	Kind     record.Kind `json:"kind"`
	Name     string      `json:"name"`
	Revision int64       `json:"revision"`
	// Problem tells why the record is not in force, and FallbackRevision the revision
	// of the one that is obeyed in its place, 0 for none.
	Problem          string `json:"problem,omitempty"`
	FallbackRevision int64  `json:"in_force,omitempty"`
	// Value is the record itself; left out in answers to amendments.
	Value json.RawMessage `json:"value,omitempty"`
}

// List answers a GET of PathList.
type List struct {
	// Revision is the revision in force at the entry that answers.
	Revision int64    `json:"revision"`
	Records  []Record `json:"records"`
}

// ErrorBody is the form of errors.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error of the closed list.
type ErrorDetail struct {
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Advice string `json:"advice"`
	Detail string `json:"detail,omitempty"`
	// Current is the record's revision in the store, with record_conflict.
	Current int64 `json:"current_revision,omitempty"`
}

type handler struct{ Options }

// New makes the API's handler.
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
	return httpserve.Unmatched(mux, h.WriteError)
}

// authenticated authenticates, and answers with the error of f if there is one.
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

// canAccess tells whether p may read and amend a record.
func (p Principal) canAccess(kind record.Kind, name string) bool {
	if p.Consortium {
		return kind == record.KindMember
	}
	return p.Member != "" && record.Owner(name) == p.Member
}

// canCreateOrDelete tells whether p may make a record come or go. A member
// amends its own member record but cannot end its membership, nor begin one.
func (p Principal) canCreateOrDelete(kind record.Kind) bool {
	return p.Consortium || kind != record.KindMember
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
	if p.Consortium {
		return snap.ListKind(record.KindMember)
	}
	return snap.List(p.Member)
}

// toRecord puts a record into the form of an answer. A value that is no JSON
// is left out; Problem then says so.
func toRecord(snap *record.Snapshot, raw record.Raw) Record {
	kind, name, _ := record.ParseKey(raw.Key) // List gives only keys that parse
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

// targetRecord is the record that a request names. A record of another member is
// answered as one that does not exist, or its name would be told.
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
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, record.MaxSize))
	if _, isTooLarge := errors.AsType[*http.MaxBytesError](err); isTooLarge {
		return errkind.New(errkind.TooLarge, "a record may have %d bytes", record.MaxSize)
	}
	if err != nil {
		return errkind.New(errkind.BadRequest, "body: %w", err)
	}
	id, err := writeID(r)
	if err != nil {
		return err
	}
	revision, err := h.Sync.PutWithWriteID(r.Context(), id, kind, name, value, expected)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(revision))
	return writeJSON(w, putStatus(expected), Record{Kind: kind, Name: name, Revision: revision})
}

var writeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{16,64}$`)

// writeID is the request's Idempotency-Key, or a new identity without one.
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

// expectedRevision reads the revision that an amendment is based on; 0 for a record
// that must not exist. A request without it is refused: it would overwrite
// whatever another operator has done in the meantime.
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
	_ = json.NewEncoder(w).Encode(v) // the client has gone
	return nil
}

// WriteError answers with e as an ErrorBody.
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
