package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// Timing and sizes of a link.
const (
	sendQueue    = 4096            // frames waiting for the socket
	writeTimeout = 5 * time.Second // one frame onto the socket
)

// ErrSlowPeer reports a peer that does not read: its send queue is full. The
// link is closed, since a frame left out would be a lost start or answer.
var ErrSlowPeer = errors.New("peer does not read its link")

// Link carries frames in both directions, in order. Send may be called from
// many goroutines; Recv from one.
type Link interface {
	// Send queues f and returns at once. After an error the link is closed.
	Send(f *Frame) error
	// Recv waits for the next frame.
	Recv(ctx context.Context) (*Frame, error)
	// Close ends the link; the peer's Recv fails.
	Close(reason string)
	// Done is closed when the link has ended.
	Done() <-chan struct{}
}

// Traffic counts what a link put on and took from the wire, in frames and in
// bytes of payload.
type Traffic struct {
	FramesOut, BytesOut, FramesIn, BytesIn atomic.Int64
}

// socketLink is a Link over one WebSocket connection.
type socketLink struct {
	conn    *websocket.Conn
	out     *outbox
	live    *liveness
	stuck   *time.Timer // ends the link if a frame is too long on its way to the socket
	done    chan struct{}
	shut    chan struct{} // closed when the end of the connection has been agreed, or given up
	once    sync.Once
	traffic *Traffic
}

// newLink makes a link without its connection, which needs the link's callbacks.
// traffic may be nil.
func newLink(dialed bool, traffic *Traffic) *socketLink {
	if traffic == nil {
		traffic = new(Traffic)
	}
	return &socketLink{out: newOutbox(sendQueue), live: newLiveness(dialed), done: make(chan struct{}), shut: make(chan struct{}), traffic: traffic}
}

// begin puts an established connection to work.
func (l *socketLink) begin(conn *websocket.Conn) *socketLink {
	conn.SetReadLimit(MaxFrame)
	l.conn = conn
	l.live.start(l.check)
	l.stuck = time.AfterFunc(writeTimeout, l.drop)
	l.stuck.Stop()
	return l
}

// Unsent tells how many frames are not on the socket yet. Close drops them.
func (l *socketLink) Unsent() int { return l.out.unsent() }

func (l *socketLink) Done() <-chan struct{} { return l.done }

// Shut is closed once the peer has answered the close, and so has read all that
// was sent before it, or once the wait for that was given up.
func (l *socketLink) Shut() <-chan struct{} { return l.shut }

func (l *socketLink) Send(f *Frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return net.ErrClosed
	default:
	}
	start, err := l.out.add(b)
	if err != nil {
		l.Close("slow peer")
		return ErrSlowPeer
	}
	l.live.sent()
	if start {
		go l.write()
	}
	return nil
}

func (l *socketLink) Recv(ctx context.Context) (*Frame, error) {
	buf := readBuffers.Get().(*bytes.Buffer)
	defer keepBuffer(buf)
	kind, err := l.read(ctx, buf)
	if err != nil {
		l.Close("read failed")
		return nil, fmt.Errorf("read link: %w", err)
	}
	if kind != websocket.MessageBinary {
		l.Close("text frame")
		return nil, errors.New("read link: text frame")
	}
	l.live.received()
	l.traffic.FramesIn.Add(1)
	l.traffic.BytesIn.Add(int64(buf.Len()))
	f, err := Decode(buf.Bytes())
	if err != nil {
		l.Close("malformed frame")
		return nil, err
	}
	return f, nil
}

func (l *socketLink) read(ctx context.Context, into *bytes.Buffer) (websocket.MessageType, error) {
	kind, r, err := l.conn.Reader(ctx)
	if err == nil {
		_, err = into.ReadFrom(r)
	}
	return kind, err
}

// readBuffers hold a frame until it is decoded; decoding copies what it keeps.
var readBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// keptBuffer is the largest buffer that is used again, in bytes. One long frame
// would otherwise hold its memory for good.
const keptBuffer = 64 << 10

func keepBuffer(b *bytes.Buffer) {
	if b.Cap() <= keptBuffer {
		b.Reset()
		readBuffers.Put(b)
	}
}

func (l *socketLink) Close(reason string) {
	l.end(func() { _ = l.conn.Close(websocket.StatusNormalClosure, reason) })
}

// drop ends the link to a dead peer. The handshake of a close would wait for
// the peer for several seconds more, and Recv with it.
func (l *socketLink) drop() {
	l.end(func() { _ = l.conn.CloseNow() })
}

func (l *socketLink) end(shut func()) {
	l.once.Do(func() {
		close(l.done)
		l.live.stop()
		// A close handshake waits for the peer; a frozen peer must not hold the
		// caller, so it runs aside and ends by the library's own timeout.
		go func() {
			shut()
			close(l.shut)
		}()
	})
}

// write moves queued frames to the socket and ends when none is left: an entry
// has hundreds of links, most of them idle, and a waiting goroutine for each
// would hold its stack.
func (l *socketLink) write() {
	for batch := l.out.take(nil); len(batch) > 0; batch = l.out.take(batch) {
		if err := l.putAll(batch); err != nil {
			l.Close("write failed")
			return
		}
	}
}

func (l *socketLink) putAll(frames [][]byte) error {
	defer l.stuck.Stop()
	for _, b := range frames {
		if err := l.put(b); err != nil {
			return err
		}
		l.out.sent()
	}
	return nil
}

// put writes one frame. One timer serves all frames of the link: a context with
// a deadline for each costs more than the rest of the write but its system call.
func (l *socketLink) put(b []byte) error {
	l.stuck.Reset(writeTimeout)
	// Counted before it is sent: the peer may answer, and somebody read the
	// counters, before the write returns.
	l.traffic.FramesOut.Add(1)
	l.traffic.BytesOut.Add(int64(len(b)))
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("write link: %w", err)
	}
	return nil
}

// check looks after the peer when the timer of liveness fires.
func (l *socketLink) check() {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		switch l.live.check() {
		case wait:
			return
		case dead:
			l.drop()
		case ping:
			l.ping()
		}
	}
}

// ping waits for the answer to a ping and drops the link without one, unless
// something else came: the answer may stand behind a long frame.
func (l *socketLink) ping() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	err := l.conn.Ping(ctx)
	if err != nil && l.live.silentSince(began) {
		l.drop()
		return
	}
	l.live.answered()
}

// heard is called when a ping of the peer has come; true answers it.
func (l *socketLink) heard(context.Context, []byte) bool {
	l.live.received()
	return true
}

// Paths of the inner protocol's endpoints at an entry.
const (
	GuardPath = "/inner/guard"
	PeerPath  = "/inner/peer"
	RunPath   = "/inner/runs" // guards whose workers run tasks under leases
)

// Dial opens a link to url (ws:// or wss://).
func Dial(ctx context.Context, url string, client *http.Client, traffic *Traffic) (Link, error) {
	l := newLink(true, traffic)
	conn, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  l.heard,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", url, err)
	}
	return l.begin(conn), nil
}

// Accept upgrades an HTTP request to a link. The handler may return before the
// link ends, which frees what net/http holds for the request.
func Accept(w http.ResponseWriter, r *http.Request, traffic *Traffic) (Link, error) {
	l := newLink(false, traffic)
	conn, err := websocket.Accept(&smallBuffers{w}, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  l.heard,
	})
	if err != nil {
		return nil, fmt.Errorf("accept link: %w", err)
	}
	return l.begin(conn), nil
}
