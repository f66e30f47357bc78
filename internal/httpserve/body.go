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

// firstBodyBytes is the size of the buffer for a body of unknown length.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request, of at most limit bytes. The memory for it is reserved as it arrives,
// until the handler returns or Release. It fails with an *http.MaxBytesError if the body is larger, and with
// ErrNoMemory.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the body is not read
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return readAll(r, http.MaxBytesReader(w, r.Body, limit), limit)
}

func readAll(r *http.Request, from io.Reader, limit int64) ([]byte, error) {
	size := r.ContentLength + 1 // one more, so that the end is read without growing
	if r.ContentLength < 0 || r.ContentLength > membudget.FreeBytes/2 {
		size = firstBodyBytes
	}
	if err := Reserve(r, size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		n, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, abandonBody(r, int64(cap(buf)), err)
		case len(buf) < cap(buf):
			continue
		}
		if buf, err = growBody(r, buf, limit); err != nil {
			return nil, abandonBody(r, int64(cap(buf)), err)
		}
	}
}

// growBody returns a copy of a full buffer with more room. After an error it returns the buffer.
func growBody(r *http.Request, buf []byte, limit int64) ([]byte, error) {
	size := min(2*int64(cap(buf)), limit+1)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength+1)
	}
	if conn := connOf(r); conn != nil && conn.account.Replace(int64(cap(buf)), size) != nil {
		return buf, ErrNoMemory
	}
	larger := append(make([]byte, 0, size), buf...)
	Release(r, int64(cap(buf)))
	return larger, nil
}

// abandonBody releases the buffer of a body that could not be read.
func abandonBody(r *http.Request, size int64, err error) error {
	Release(r, size)
	conn := connOf(r)
	if conn != nil && conn.wasEvicted() {
		return ErrNoMemory
	}
	return err
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
