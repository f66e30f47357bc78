package entry

import (
	"encoding/json"
	"net/http"

	"wigeontray/internal/errkind"
	"wigeontray/internal/httpserve"
	"wigeontray/internal/identity"
)

// statusBody is the response body of GET /v1/status.
type statusBody struct {
	Entry        identity.Incarnation `json:"entry"`
	Software     string               `json:"software"`
	Ready        bool                 `json:"ready"`
	Revision     int64                `json:"revision"`
	GuardsBehind int                  `json:"guards_behind"` // guards that have not acknowledged the revision sent to them
	JobsOpen     int                  `json:"jobs_open"`
	JobsHeld     int                  `json:"jobs_held"`
	Roster       RosterStatus         `json:"roster"`
	Services     []serviceStatus      `json:"services"`
	Refusals     map[string]int64     `json:"refusals"`
}

type serviceStatus struct {
	Service  string        `json:"service"`
	JobsOpen int           `json:"jobs_open"`
	Guards   []guardStatus `json:"guards"`
}

type guardStatus struct {
	Guard  identity.Incarnation `json:"guard"`
	Worker string               `json:"worker"`
	Rack   string               `json:"rack,omitempty"`
	Domain string               `json:"failure_domain"`
	Slots  int                  `json:"slots"`
}

// AdminHandler serves the API for operators and scrapers: health, readiness,
// metrics and status.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.getReady)
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	return httpserve.HandleUnmatched(mux, func(w http.ResponseWriter, err *errkind.Error) { writeError(w, "", err) })
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	b, err := json.MarshalIndent(s.status(), "", "  ")
	if err != nil {
		writeError(w, "", err)
		return
	}
	writeBody(w, http.StatusOK, append(b, '\n'), 0)
}

func (s *Server) status() *statusBody {
	revision := s.config.Revision()
	held, open := s.registry.Count()
	b := &statusBody{
		Entry: s.id, Software: s.opts.Software, Ready: s.Ready(), Revision: revision,
		GuardsBehind: s.links.countBehind(), JobsOpen: open, JobsHeld: held, Roster: s.router.Roster(),
		Services: []serviceStatus{}, Refusals: make(map[string]int64),
	}
	s.forEachDispatcher(func(d *dispatcher) { b.Services = append(b.Services, d.status()) })
	for _, k := range errkind.All() {
		if n := s.metrics.Refusals(k); n > 0 {
			b.Refusals[k.String()] = n
		}
	}
	return b
}

func (d *dispatcher) status() serviceStatus {
	st := serviceStatus{Service: d.service, JobsOpen: d.jobCount(), Guards: []guardStatus{}}
	for _, h := range d.guardHellos() {
		st.Guards = append(st.Guards, guardStatus{Guard: h.Incarnation, Worker: h.Worker, Rack: h.Rack, Domain: h.Domain, Slots: h.Slots})
	}
	return st
}
