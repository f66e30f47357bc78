package standin

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// errConnectionCut is returned to a client if the handler aborted the
// connection.
var errConnectionCut = errors.New("standin: connection cut")

// Transport passes requests to Handler in the same process without a socket, so
// that the embedded store of a standalone process opens no port.
type Transport struct {
	Handler http.Handler
}

// RoundTrip runs the handler in its own goroutine and returns when the handler
// starts its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	pr, pw := io.Pipe()
	w := &pipeWriter{header: http.Header{}, body: pw, statusCh: make(chan int, 1)}
	failed := make(chan error, 1)
	go func() {
		if err := w.serve(t.Handler, r.Clone(r.Context())); err != nil {
			failed <- err
		}
	}()
	select {
	case status := <-w.statusCh:
		stop := closeBodyOnDone(r, pw)
		return &http.Response{
			Status: http.StatusText(status), StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Header: w.header.Clone(), Body: &pipeBody{PipeReader: pr, stop: stop}, ContentLength: -1, Request: r,
		}, nil
	case err := <-failed:
		return nil, err
	case <-r.Context().Done():
		pr.CloseWithError(r.Context().Err())
		return nil, r.Context().Err()
	}
}

// closeBodyOnDone closes the response body when the request's context ends.
func closeBodyOnDone(r *http.Request, pw *io.PipeWriter) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-r.Context().Done():
			pw.CloseWithError(r.Context().Err())
		case <-done:
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// pipeBody is a response body that the reader may close before its end.
type pipeBody struct {
	*io.PipeReader
	stop func()
}

// Close also ends the goroutine that waits for the context.
func (b *pipeBody) Close() error {
	b.stop()
	return b.PipeReader.Close()
}

// pipeWriter is the http.ResponseWriter passed to the handler.
type pipeWriter struct {
	header   http.Header
	body     *io.PipeWriter
	once     sync.Once
	statusCh chan int
}

// serve runs the handler. It returns an error if the handler aborted the
// connection. RoundTrip sees this error only if no response was started.
func (w *pipeWriter) serve(h http.Handler, r *http.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errConnectionCut
			w.body.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		w.WriteHeader(http.StatusOK)
		w.body.Close()
	}()
	h.ServeHTTP(w, r)
	return nil
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (w *pipeWriter) WriteHeader(status int) {
	w.once.Do(func() { w.statusCh <- status })
}

func (w *pipeWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// FlushError does nothing: a pipe is not buffered.
func (w *pipeWriter) FlushError() error { return nil }
