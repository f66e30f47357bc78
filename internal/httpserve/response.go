package httpserve

import (
	"bufio"
	"net"
	"net/http"
)

// requireResponse closes the connection of a request whose handler has returned without a response.
// net/http would send an empty 200 in its place, which the client would take for success.
func requireResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observer := &responseObserver{ResponseWriter: w}
		next.ServeHTTP(observer, r)
		if !observer.hasResponded {
			panic(http.ErrAbortHandler)
		}
	})
}

// responseObserver observes whether a handler has responded or taken over the connection.
type responseObserver struct {
	http.ResponseWriter
	hasResponded bool
}

// WriteHeader implements http.ResponseWriter. Informational responses precede the final one.
func (o *responseObserver) WriteHeader(status int) {
	o.hasResponded = o.hasResponded || status >= http.StatusOK
	o.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (o *responseObserver) Write(b []byte) (int, error) {
	o.hasResponded = true
	return o.ResponseWriter.Write(b)
}

// FlushError implements the method that http.ResponseController calls.
func (o *responseObserver) FlushError() error {
	o.hasResponded = true
	return http.NewResponseController(o.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (o *responseObserver) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	o.hasResponded = true
	return http.NewResponseController(o.ResponseWriter).Hijack()
}

// Unwrap lets http.ResponseController reach the other methods of the connection's writer.
func (o *responseObserver) Unwrap() http.ResponseWriter { return o.ResponseWriter }
