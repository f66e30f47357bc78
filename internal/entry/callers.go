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
	headerKey  = "Idempotency-Key"
	headerHome = "Wigeontray-Home" // home incarnation for tickets, on every answer
)

const statusRunning = http.StatusAccepted

// Handler serves callers: jobs, tickets and the operators' records.
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
	return httpserve.Unmatched(mux, s.refuseUnmatched)
}

// refuseUnmatched answers for a path or method that nothing serves.
func (s *Server) refuseUnmatched(w http.ResponseWriter, err *errkind.Error) {
	w.Header().Set(headerHome, string(s.id))
	s.refuse(w, "", err)
}

// unrecorded takes back a kind's claim that the identity never ran. Nothing is
// recorded of a request that is refused this early: the identity may have run
// before, or run when it is sent again without the fault.
func unrecorded(err *errkind.Error) *errkind.Error { return err.WithRan(errkind.RanUnknown) }

// member wraps a handler with authentication.
func (s *Server) member(next func(w http.ResponseWriter, r *http.Request, member string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.waiters.Add(1)
		defer s.waiters.Add(-1)
		w.Header().Set(headerHome, string(s.id))
		name, err := s.Authenticate(r)
		if err != nil {
			s.refuse(w, "", unrecorded(err))
			return
		}
		if err := s.config.CheckRegion(name); err != nil {
			s.refuse(w, "", err)
			return
		}
		release, err := s.claim(name, r)
		if err != nil {
			s.refuse(w, "", err)
			return
		}
		defer release()
		next(w, r, name)
	}
}

// Authenticate finds the member whose bearer token the request carries.
func (s *Server) Authenticate(r *http.Request) (string, *errkind.Error) {
	if s.config.Revision() == 0 {
		// Before the first configuration every token would look wrong, and
		// "wrong token" would be an untrue refusal.
		return "", errkind.New(errkind.StoreUnavailable, "no configuration is in force yet").WithAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "want a bearer token")
	}
	name, ok := s.config.Member(token)
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "no member has this token")
	}
	return name, nil
}

func (s *Server) refuse(w http.ResponseWriter, key string, err *errkind.Error) {
	s.metrics.Refused(err.Kind)
	if err.Kind == errkind.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer") // RFC 9110 demands it with 401
	}
	writeError(w, key, err)
}

func (s *Server) postJob(w http.ResponseWriter, r *http.Request, member string) {
	key, refusal := headerIdentity(r)
	if refusal != nil {
		s.refuse(w, "", refusal)
		return
	}
	body, refusal := readBody(w, r, s.opts.MaxBody)
	if refusal != nil {
		s.refuse(w, key.Text, unrecorded(refusal))
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+key.Text)
	s.answer(w, r, &request{op: wire.OpSubmit, member: member, key: key, wait: preference(r), body: body})
}

// headerIdentity reads the identity of a submission. Two of them are refused:
// callers and what stands between could disagree about which one counts.
func headerIdentity(r *http.Request) (identity.Key, *errkind.Error) {
	values := r.Header.Values(headerKey)
	if len(values) != 1 {
		return identity.Key{}, errkind.New(errkind.BadRequest, "want one %s, not %d", headerKey, len(values))
	}
	key, err := identity.Parse(values[0])
	if err != nil {
		return identity.Key{}, errkind.New(errkind.BadRequest, "%s: %w", headerKey, err)
	}
	return key, nil
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request, member string) {
	s.answerKeyed(w, r, member, wire.OpFetch)
}

func (s *Server) deleteJob(w http.ResponseWriter, r *http.Request, member string) {
	s.answerKeyed(w, r, member, wire.OpCancel)
}

// answerKeyed serves the operations on an existing job.
func (s *Server) answerKeyed(w http.ResponseWriter, r *http.Request, member, op string) {
	key, err := identity.Parse(r.PathValue("key"))
	if err != nil {
		s.refuse(w, "", errkind.New(errkind.BadRequest, "job: %w", err))
		return
	}
	s.answer(w, r, &request{op: op, member: member, key: key, wait: preference(r)})
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, q *request) {
	a := s.route(r.Context(), q)
	writeBody(w, a.status, a.body, a.after)
}

// ticketBody answers GET /v1/ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
	Home   string `json:"home"`
}

// getTicket mints an identity by this entry's clock, for callers that have no
// UUIDv7 or whose clock is wrong.
func (s *Server) getTicket(w http.ResponseWriter, _ *http.Request, _ string) {
	k := identity.NewTicket(s.id, time.Now())
	writeBody(w, http.StatusOK, marshal(ticketBody{Ticket: k.Text, Home: string(s.id)}), 0)
}
