package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// bufferSize is the size in bytes of the read and the write buffer of an accepted link.
// Most frames fit; longer frames are transferred in several reads or writes. The default
// buffers of net/http take 4 KiB each, and an entry would hold them for every guard.
const bufferSize = 1 << 10

// smallBufferWriter is a ResponseWriter whose hijacked connection has buffers of
// bufferSize.
type smallBufferWriter struct{ http.ResponseWriter }

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *smallBufferWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack implements http.Hijacker.
func (w *smallBufferWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, fmt.Errorf("hijack connection: %w", err)
	}
	disableKeepAlive(conn)
	buffered, err := rw.Reader.Peek(rw.Reader.Buffered())
	if err != nil {
		return nil, nil, fmt.Errorf("hijack connection: %w", err)
	}
	r, err := newPrefixedReader(conn, bytes.Clone(buffered))
	if err != nil {
		return nil, nil, fmt.Errorf("hijack connection: %w", err)
	}
	return conn, bufio.NewReadWriter(r, bufio.NewWriterSize(conn, bufferSize)), nil
}

// newPrefixedReader returns a reader of buffered followed by conn. The buffered bytes are
// loaded into the new buffer before it returns: a peer may send its first frame together
// with the upgrade request, and that frame would be lost with the old buffer.
func newPrefixedReader(conn io.Reader, buffered []byte) (*bufio.Reader, error) {
	r := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), conn), max(bufferSize, len(buffered)))
	if len(buffered) == 0 {
		return r, nil
	}
	_, err := r.Peek(len(buffered))
	return r, err
}
