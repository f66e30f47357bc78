package httpserve

import (
	"bufio"
	"net"
	"net/http"
	"time"
)

// requireResponse closes the connection of a request whose handler has returned without a response.
// net/http would send an empty 200 in its place, which the client would take for success. A positive timeout
// limits the time in which the client must receive what the handler has written last.
func requireResponse(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observer := &responseObserver{ResponseWriter: w, conn: connOf(r), timeout: timeout}
		next.ServeHTTP(observer, r)
		if !observer.hasResponded {
			panic(http.ErrAbortHandler)
		}
	})
}

// responseObserver observes whether a handler has responded or taken over the connection.
type responseObserver struct {
	http.ResponseWriter
	conn         *limitedConn // nil for none
	timeout      time.Duration
	hasResponded bool
}

// begin records that a part of the final response is about to be written.
func (o *responseObserver) begin() {
	o.hasResponded = true
	if o.conn == nil {
		return
	}
	o.conn.responseBegins()
	if o.timeout > 0 {
		_ = o.conn.SetWriteDeadline(time.Now().Add(o.timeout)) // fails only if the connection is closed
	}
}

// WriteHeader implements http.ResponseWriter. Informational responses precede the final one.
func (o *responseObserver) WriteHeader(status int) {
	if status >= http.StatusOK {
		o.begin()
	}
	o.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (o *responseObserver) Write(b []byte) (int, error) {
	o.begin()
	return o.ResponseWriter.Write(b)
}

// FlushError implements the method that http.ResponseController calls.
func (o *responseObserver) FlushError() error {
	o.begin()
	return http.NewResponseController(o.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (o *responseObserver) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	o.hasResponded = true
	return http.NewResponseController(o.ResponseWriter).Hijack()
}

// Unwrap lets http.ResponseController reach the other methods of the connection's writer.
func (o *responseObserver) Unwrap() http.ResponseWriter { return o.ResponseWriter }
