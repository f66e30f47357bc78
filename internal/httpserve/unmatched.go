package httpserve

import (
	"net/http"

	"wigeontray/internal/errkind"
)

// HandleUnmatched returns a handler that serves mux, and answers requests without a matching
// handler through write. The mux's own responses are plain text, which a client that expects
// the listed error kinds would attribute to an intermediary.
func HandleUnmatched(mux *http.ServeMux, write func(http.ResponseWriter, *errkind.Error)) http.Handler {
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

// refusal converts the mux's response to an error and keeps its Allow header.
func refusal(w http.ResponseWriter, r *http.Request, probe *probeWriter) *errkind.Error {
	if probe.status != http.StatusMethodNotAllowed {
		return errkind.New(errkind.NotFound, "no such path")
	}
	allow := probe.header.Get("Allow")
	w.Header().Set("Allow", allow)
	return errkind.New(errkind.MethodNotAllowed, "want %s", allow)
}

// probeWriter records the status and header of a response and discards its body.
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
