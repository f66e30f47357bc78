package proctest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdWriteTimeout ends the writing of clients whose bytes the process does not read.
const crowdWriteTimeout = 20 * time.Second

// Crowd is a set of clients that send what they like and read no response. Their connections stay open.
type Crowd struct {
	Address string
	Clients int
	// Bytes returns what a client sends.
	Bytes func(client int) io.Reader
	// PieceBytes is the size of one write; 0 for the size that io.Copy chooses.
	PieceBytes int

	mu    sync.Mutex
	conns []net.Conn
}

// Send returns when every client has sent its bytes or cannot send more: the process has closed the
// connection or does not read it. The connections that are left are closed at the end of the test.
func (c *Crowd) Send(t *testing.T) {
	t.Helper()
	t.Cleanup(c.close)
	var sending sync.WaitGroup
	for client := range c.Clients {
		sending.Go(func() { c.send(client) })
	}
	sending.Wait()
}

func (c *Crowd) send(client int) {
	conn, err := net.DialTimeout("tcp", c.Address, crowdWriteTimeout)
	if err != nil {
		return // refused, which is allowed
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // responses that are not read stay with the process
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	_ = Copy(conn, c.Bytes(client), c.PieceBytes) // fails if the process closes the connection, which is allowed
}

// Copy writes all that it reads, in writes of pieceBytes; 0 for the size that io.Copy chooses.
func Copy(to io.Writer, from io.Reader, pieceBytes int) error {
	if pieceBytes > 0 {
		to = &pieceWriter{Writer: to, size: pieceBytes}
	}
	_, err := io.Copy(to, from)
	return err
}

func (c *Crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// pieceWriter splits its input into writes of the same size.
type pieceWriter struct {
	io.Writer
	size int
}

// Write implements io.Writer.
func (w *pieceWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n, err := w.Writer.Write(p[:min(w.size, len(p))])
		written += n
		if err != nil {
			return written, fmt.Errorf("write piece: %w", err)
		}
		p = p[n:]
	}
	return written, nil
}

// Repeat returns a reader of n bytes that repeats a text.
func Repeat(text string, n int64) io.Reader { return io.LimitReader(&repeater{text: text}, n) }

type repeater struct {
	text string
	next int // index of the next byte in text
}

// Read implements io.Reader.
func (r *repeater) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		copied := copy(p[n:], r.text[r.next:])
		n += copied
		r.next = (r.next + copied) % len(r.text)
	}
	return n, nil
}

// Chunked returns a chunked body of n bytes that repeats a text, in chunks of chunkBytes, without the
// chunk that would end it.
func Chunked(text string, n int64, chunkBytes int) io.Reader {
	var body []byte
	for len(body) < chunkBytes {
		body = append(body, text...)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, body[:chunkBytes])
	return Repeat(chunk, n/int64(chunkBytes)*int64(len(chunk)))
}

// Upgrade returns the request of a client that opens a link at a path.
func Upgrade(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
}

// FirstFrame returns the bytes of a client that opens a link and sends a binary message of n bytes without its last
// one.
func FirstFrame(path string, n int64) io.Reader {
	header := binary.BigEndian.AppendUint64([]byte{0x82, 0x80 | 127}, uint64(n))
	header = append(header, 0, 0, 0, 0) // the mask
	return io.MultiReader(strings.NewReader(Upgrade(path)), bytes.NewReader(header), Repeat("p", n-1))
}

// Watch records the largest use that a process makes of sockets and of the kernel's buffers.
type Watch struct {
	process *Process
	address string
	stop    chan struct{}
	done    chan struct{}

	mu        sync.Mutex
	peak      Usage
	buffered  int64     // at the last poll
	changedAt time.Time // when buffered last changed
}

// Usage is what a process uses at its peak.
type Usage struct {
	Resident int64 // bytes of memory
	Buffered int64 // bytes in the kernel's buffers of connections to an address
	Sockets  int
}

// watchInterval is how often a Watch looks at the process.
const watchInterval = 20 * time.Millisecond

// StartWatch starts a watch of a process and of the connections to one of its addresses (IPv4:port).
func StartWatch(t *testing.T, p *Process, address string) *Watch {
	w := &Watch{process: p, address: address, stop: make(chan struct{}), done: make(chan struct{}), changedAt: time.Now()}
	go func() {
		defer close(w.done)
		for {
			if err := w.poll(); err != nil {
				t.Error(err)
				return
			}
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

func (w *Watch) poll() error {
	buffered, err := BufferedBytes(w.address)
	if err != nil {
		return err
	}
	sockets := w.process.Sockets()
	w.mu.Lock()
	defer w.mu.Unlock()
	if buffered != w.buffered || sockets > w.peak.Sockets {
		w.changedAt = time.Now()
	}
	w.buffered = buffered
	w.peak.Buffered = max(w.peak.Buffered, buffered)
	w.peak.Sockets = max(w.peak.Sockets, sockets)
	return nil
}

// settleTime is how long the kernel's buffers stay as they are once a process has read what it will read.
const settleTime = time.Second

// Settle waits until the process has read what was sent to it, or reads no more.
func (w *Watch) Settle() {
	for {
		w.mu.Lock()
		elapsed := time.Since(w.changedAt)
		w.mu.Unlock()
		if elapsed >= settleTime {
			return
		}
		time.Sleep(watchInterval)
	}
}

// End ends the watch and returns the peak.
func (w *Watch) End(t *testing.T) Usage {
	close(w.stop)
	<-w.done
	resident, err := w.process.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	w.peak.Resident = resident
	return w.peak
}
