package httpserve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"wigeontray/internal/membudget"
)

// withRequestLimits limits the time in which a request's body must arrive, and releases what the request is
// charged for once its handler has returned. Without the timeout a client that sends one byte a minute could
// hold its connection and its share of the limits indefinitely, without any sign of it.
func withRequestLimits(next http.Handler, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer conn.account.Clear()
		defer conn.releaseBody()
		conn.headerArrived(headerCost(r.Header), r.ContentLength)
		if r.ContentLength == 0 {
			if conn.requestArrived() != nil {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		if bodyTimeout > 0 {
			_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed
		}
		r.Body = &limitedBody{ReadCloser: r.Body, request: r, conn: conn, controller: controller}
		next.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a request, or nil if it did not come through a Server.
func connOf(r *http.Request) *limitedConn {
	p, ok := r.Context().Value(peerKey{}).(*peer)
	if !ok {
		return nil
	}
	conn, _ := p.conn.(*limitedConn)
	return conn
}

// limitedBody notices the end of a body.
type limitedBody struct {
	io.ReadCloser
	request    *http.Request
	conn       *limitedConn
	controller *http.ResponseController
	hasEnded   bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.hasEnded {
		b.hasEnded = true
		b.request.Trailer = nil // nothing reads it, and it would be held with the request
		if err := b.conn.requestArrived(); err != nil {
			return 0, err
		}
		// The caller can wait for its response for as long as the job takes.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// ErrNoMemory is returned by ReadBody and Reserve if a request does not fit into the memory for requests, or
// was dropped in favour of others. The request has not been begun.
var ErrNoMemory = errors.New("the memory for requests is used up")

// ReadBody reads the body of a request, of at most limit bytes. The memory for it is reserved as it arrives. The
// body is valid until the handler returns or ReleaseBody; then its memory is used for others. ReadBody fails with
// an *http.MaxBytesError if the body is larger, and with ErrNoMemory.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the body is not read
		return nil, &http.MaxBytesError{Limit: limit}
	}
	from := http.MaxBytesReader(w, r.Body, limit)
	conn := connOf(r)
	if conn == nil {
		return io.ReadAll(from)
	}
	most := limit
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	body, err := conn.account.ReadAll(from, most)
	if err != nil {
		if conn.wasEvicted() || errors.Is(err, membudget.ErrExhausted) || errors.Is(err, membudget.ErrEvicted) {
			err = ErrNoMemory
		}
		return nil, err
	}
	conn.body = body
	return body, nil
}

// ReleaseBody releases the body of a request before its handler returns.
func ReleaseBody(r *http.Request) {
	if conn := connOf(r); conn != nil {
		conn.releaseBody()
	}
}

// releaseBody releases the buffer of the connection.
func (c *limitedConn) releaseBody() {
	if c.body == nil {
		return
	}
	size := int64(cap(c.body))
	membudget.FreeBuffer(c.body)
	c.body = nil
	c.account.Shrink(size)
}

// Reserve reserves memory for what a request is decoded to, until its handler returns or Release. It fails
// with ErrNoMemory.
func Reserve(r *http.Request, bytes int64) error {
	if conn := connOf(r); conn != nil && conn.account.Grow(bytes) != nil {
		return ErrNoMemory
	}
	return nil
}

// Release releases reserved memory before the handler returns.
func Release(r *http.Request, bytes int64) {
	if conn := connOf(r); conn != nil {
		conn.account.Shrink(bytes)
	}
}
