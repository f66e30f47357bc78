package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// bufferSize is that of the read and the write buffer of an accepted link. Most
// frames fit; longer ones pass by in pieces. The buffers of net/http have 4 KiB
// each, and an entry would hold them for every guard.
const bufferSize = 1 << 10

// smallBuffers gives an upgraded connection buffers of bufferSize.
type smallBuffers struct{ http.ResponseWriter }

// Unwrap serves http.ResponseController.
func (w *smallBuffers) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack implements http.Hijacker.
func (w *smallBuffers) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, fmt.Errorf("take over connection: %w", err)
	}
	withoutKeepAlive(conn)
	early, err := rw.Reader.Peek(rw.Reader.Buffered())
	if err != nil {
		return nil, nil, fmt.Errorf("take over connection: %w", err)
	}
	r, err := smallReader(conn, bytes.Clone(early))
	if err != nil {
		return nil, nil, fmt.Errorf("take over connection: %w", err)
	}
	return conn, bufio.NewReadWriter(r, bufio.NewWriterSize(conn, bufferSize)), nil
}

// smallReader reads early and then conn. Early bytes are in the buffer when it
// returns: a peer may send its first frame with the request, and the frame would
// be lost if it were left to the old buffer.
func smallReader(conn io.Reader, early []byte) (*bufio.Reader, error) {
	r := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(early), conn), max(bufferSize, len(early)))
	if len(early) == 0 {
		return r, nil
	}
	_, err := r.Peek(len(early))
	return r, err
}
