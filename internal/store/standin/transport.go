package standin

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// errCut is what a client sees when the handler cut the connection.
var errCut = errors.New("standin: connection cut")

// Transport carries requests to Handler in the same process, without a
// socket: the embedded store of a standalone process opens no port.
type Transport struct {
	Handler http.Handler
}

// RoundTrip runs the handler in a goroutine of its own and returns at the
// first byte of the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	pr, pw := io.Pipe()
	w := &pipeWriter{header: http.Header{}, body: pw, started: make(chan int, 1)}
	failed := make(chan error, 1)
	go func() {
		if err := w.serve(t.Handler, r.Clone(r.Context())); err != nil {
			failed <- err
		}
	}()
	select {
	case status := <-w.started:
		stop := closeOnDone(r, pw)
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

// closeOnDone ends the answer's body when the request's context ends.
func closeOnDone(r *http.Request, pw *io.PipeWriter) (stop func()) {
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

// pipeBody is an answer's body that a reader may close before its end.
type pipeBody struct {
	*io.PipeReader
	stop func()
}

// Close frees the goroutine that waits for the context.
func (b *pipeBody) Close() error {
	b.stop()
	return b.PipeReader.Close()
}

// pipeWriter is the handler's side of an answer.
type pipeWriter struct {
	header  http.Header
	body    *io.PipeWriter
	once    sync.Once
	started chan int
}

// serve returns an error only if the handler cut the connection before it
// answered anything.
func (w *pipeWriter) serve(h http.Handler, r *http.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errCut
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
	w.once.Do(func() { w.started <- status })
}

func (w *pipeWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// FlushError does nothing: a pipe holds nothing back.
func (w *pipeWriter) FlushError() error { return nil }
