package httpserve

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an empty 200 that net/http sends for a handler which returns without a response: the
// caller takes it for success.
func TestHandlerWithoutResponseClosesTheConnection(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"return":                     func(http.ResponseWriter, *http.Request) {},
		"headers only":               func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "text/plain") },
		"informational response":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) },
		"body that cannot be read":   func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) },
		"panic before the response":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"canceled request's context": func(_ http.ResponseWriter, r *http.Request) { _ = r.Context().Err() },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, h)
			_, err := http.Get("http://" + s.Addr())
			qt.Check(t, err, qt.ErrorMatches, ".*EOF")
		})
	}
}

// A response without a body, a flushed one and a connection that the handler takes over count as responses.
func TestExplicitResponsesAreSent(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
		"body":   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") },
		"flush":  func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() },
		"hijack": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, h)
			response, err := http.Get("http://" + s.Addr())
			qt.Assert(t, err, qt.IsNil)
			_ = response.Body.Close()
			qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// serve starts a server for a handler, which is closed at the end of the test.
func serve(t *testing.T, h http.Handler) *Server {
	s, err := Listen("127.0.0.1:0", h, nil, DefaultLimits())
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}
