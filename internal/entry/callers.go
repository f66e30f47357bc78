package entry

import (
	"net/http"
	"strings"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/httpserve"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Headers of the callers' API.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	homeHeader           = "Wigeontray-Home" // on every response: this entry's incarnation, for use as the home of job keys
)

const statusRunning = http.StatusAccepted

// Handler serves the callers' API: jobs, tickets and the record API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", s.member(s.postJob))
	mux.HandleFunc("GET /v1/jobs/{key}", s.member(s.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{key}", s.member(s.deleteJob))
	mux.HandleFunc("GET /v1/ticket", s.member(s.getTicket))
	if s.opts.Records != nil {
		mux.HandleFunc("/v1/records", s.serveRecords)
		mux.HandleFunc("/v1/records/", s.serveRecords)
	}
	return httpserve.HandleUnmatched(mux, s.refuseUnmatched)
}

// refuseUnmatched answers requests for an unknown path or method.
func (s *Server) refuseUnmatched(w http.ResponseWriter, err *errkind.Error) {
	w.Header().Set(homeHeader, string(s.id))
	s.refuse(w, "", err)
}

// withRanUnknown sets the Ran field of a refusal to unknown. A request that is
// refused this early is not recorded: a job with the same key may have run before,
// or may run when the request is sent again without the fault, so the answer must
// not say that it never ran.
func withRanUnknown(err *errkind.Error) *errkind.Error { return err.WithRan(errkind.RanUnknown) }

// member wraps a handler with authentication and with the limits on the member's
// open requests.
func (s *Server) member(next func(w http.ResponseWriter, r *http.Request, member string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.waiters.Add(1)
		defer s.waiters.Add(-1)
		w.Header().Set(homeHeader, string(s.id))
		name, err := s.Authenticate(r)
		if err != nil {
			s.refuse(w, "", withRanUnknown(err))
			return
		}
		if err := s.config.CheckRegion(name); err != nil {
			s.refuse(w, "", err)
			return
		}
		release, err := s.acquireRequest(name, r)
		if err != nil {
			s.refuse(w, "", err)
			return
		}
		defer release()
		next(w, r, name)
	}
}

// Authenticate returns the member whose bearer token the request carries.
func (s *Server) Authenticate(r *http.Request) (string, *errkind.Error) {
	if s.config.Revision() == 0 {
		// Without a configuration every token is unknown, and a refusal as
		// unauthenticated could be wrong.
		return "", errkind.New(errkind.StoreUnavailable, "no configuration is in force yet").WithAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "want a bearer token")
	}
	name, ok := s.config.MemberForToken(token)
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "no member has this token")
	}
	return name, nil
}

func (s *Server) refuse(w http.ResponseWriter, key string, err *errkind.Error) {
	s.metrics.CountRefusal(err.Kind)
	if err.Kind == errkind.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer") // required with 401 by RFC 9110
	}
	writeError(w, key, err)
}

func (s *Server) postJob(w http.ResponseWriter, r *http.Request, member string) {
	key, refusal := keyFromHeader(r)
	if refusal != nil {
		s.refuse(w, "", refusal)
		return
	}
	body, refusal := readBody(w, r, s.opts.MaxBodyBytes)
	if refusal != nil {
		s.refuse(w, key.Text, withRanUnknown(refusal))
		return
	}
	if err := httpserve.Reserve(r, int64(len(body))); err != nil { // for what it is decoded to
		s.refuse(w, key.Text, withRanUnknown(errOverMemory(err)))
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+key.Text)
	s.serveRequest(w, r, &request{op: wire.OpSubmit, member: member, key: key, wait: parsePrefer(r), body: body})
}

// keyFromHeader returns the job key of a submission. A request with several keys is
// refused, because the caller and proxies could disagree about which one counts.
func keyFromHeader(r *http.Request) (identity.Key, *errkind.Error) {
	values := r.Header.Values(idempotencyKeyHeader)
	if len(values) != 1 {
		return identity.Key{}, errkind.New(errkind.BadRequest, "want one %s, not %d", idempotencyKeyHeader, len(values))
	}
	key, err := identity.Parse(values[0])
	if err != nil {
		return identity.Key{}, errkind.New(errkind.BadRequest, "%s: %w", idempotencyKeyHeader, err)
	}
	return key, nil
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request, member string) {
	s.serveExistingJob(w, r, member, wire.OpFetch)
}

func (s *Server) deleteJob(w http.ResponseWriter, r *http.Request, member string) {
	s.serveExistingJob(w, r, member, wire.OpCancel)
}

// serveExistingJob serves fetch and cancel requests.
func (s *Server) serveExistingJob(w http.ResponseWriter, r *http.Request, member, op string) {
	key, err := identity.Parse(r.PathValue("key"))
	if err != nil {
		s.refuse(w, "", errkind.New(errkind.BadRequest, "job: %w", err))
		return
	}
	s.serveRequest(w, r, &request{op: op, member: member, key: key, wait: parsePrefer(r)})
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, q *request) {
	a := s.route(r.Context(), q)
	writeBody(w, a.status, a.body, a.retryAfter)
}

// ticketBody is the response body of GET /v1/ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
	Home   string `json:"home"`
}

// getTicket issues a job key based on this entry's clock, for callers that cannot
// create a UUIDv7 or whose clock is wrong.
func (s *Server) getTicket(w http.ResponseWriter, _ *http.Request, _ string) {
	k := identity.NewTicket(s.id, time.Now())
	writeBody(w, http.StatusOK, mustMarshal(ticketBody{Ticket: k.Text, Home: string(s.id)}), 0)
}
