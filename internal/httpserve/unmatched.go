package httpserve

import (
	"net/http"

	"wigeontray/internal/errkind"
)

// Unmatched serves mux, and answers requests that it has no handler for by
// write. The mux's own answers are plain text, which a client that expects the
// closed list of errors takes for the answer of something else on the way.
func Unmatched(mux *http.ServeMux, write func(http.ResponseWriter, *errkind.Error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		probe := &probeWriter{header: make(http.Header)}
		h.ServeHTTP(probe, r)
		write(w, refusal(w, r, probe))
	})
}

// refusal turns the mux's answer into an error. Allow is kept.
func refusal(w http.ResponseWriter, r *http.Request, probe *probeWriter) *errkind.Error {
	if probe.status != http.StatusMethodNotAllowed {
		return errkind.New(errkind.NotFound, "no such path")
	}
	allow := probe.header.Get("Allow")
	w.Header().Set("Allow", allow)
	return errkind.New(errkind.MethodNotAllowed, "want %s", allow)
}

// probeWriter takes an answer for its status and header alone.
type probeWriter struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (p *probeWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *probeWriter) WriteHeader(status int) { p.status = status }

// Write implements http.ResponseWriter.
func (p *probeWriter) Write(b []byte) (int, error) { return len(b), nil }
