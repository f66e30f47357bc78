package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"wigeontray/internal/membudget"
)

// Timeouts and limits of a link.
const (
	maxQueuedFrames = 4096            // frames waiting for the socket
	maxQueuedBytes  = 2 * MaxFrame    // of these frames
	writeTimeout    = 5 * time.Second // for writing one frame to the socket
)

// ErrSlowPeer reports that the send queue is full because the peer does not read. The link
// is closed, since dropping a frame would lose a start or a result.
var ErrSlowPeer = errors.New("peer does not read its link")

// Link carries frames in both directions, in order. Send may be called concurrently; Recv
// must be called from one goroutine only.
type Link interface {
	// Send queues f without blocking. After an error the link is closed.
	Send(f *Frame) error
	// Recv blocks until the next frame arrives.
	Recv(ctx context.Context) (*Frame, error)
	// Close closes the link; the peer's Recv fails.
	Close(reason string)
	// Done returns a channel that is closed when the link has ended.
	Done() <-chan struct{}
}

// Traffic counts the frames and payload bytes that links send and receive.
type Traffic struct {
	FramesOut, BytesOut, FramesIn, BytesIn atomic.Int64
}

// socketLink is a Link over one WebSocket connection.
type socketLink struct {
	conn         *websocket.Conn
	queue        *sendQueue
	peerLiveness *liveness
	writeTimer   *time.Timer // aborts the link if writing a frame takes longer than writeTimeout
	done         chan struct{}
	closing      chan struct{} // closed when the closing handshake is complete or abandoned; see Shut
	closeOnce    sync.Once
	traffic      *Traffic
	memory       *membudget.Account // of an accepted link; nil for no limit
}

// newLink returns a link without a connection. The connection is attached later because it
// is created with callbacks of the link. traffic may be nil.
func newLink(dialed bool, traffic *Traffic, memory *membudget.Account) *socketLink {
	if traffic == nil {
		traffic = new(Traffic)
	}
	return &socketLink{
		queue: newSendQueue(maxQueuedFrames, maxQueuedBytes), peerLiveness: newLiveness(dialed), done: make(chan struct{}), closing: make(chan struct{}),
		traffic: traffic, memory: memory,
	}
}

// attach starts the link on an established connection.
func (l *socketLink) attach(conn *websocket.Conn) *socketLink {
	conn.SetReadLimit(MaxFrame)
	l.conn = conn
	l.peerLiveness.start(l.checkPeer)
	l.writeTimer = time.AfterFunc(writeTimeout, l.abort)
	l.writeTimer.Stop()
	return l
}

// Unsent returns the number of frames that are not yet written to the socket. Close
// discards them.
func (l *socketLink) Unsent() int { return l.queue.pendingFrames() }

func (l *socketLink) Done() <-chan struct{} { return l.done }

// Shut returns a channel that is closed once the peer has confirmed the close, and so has
// read everything sent before it, or once the wait for the confirmation has timed out.
func (l *socketLink) Shut() <-chan struct{} { return l.closing }

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
	startWriter, err := l.queue.add(b)
	if err != nil {
		l.Close("slow peer")
		return ErrSlowPeer
	}
	l.peerLiveness.recordSend()
	if startWriter {
		go l.write()
	}
	return nil
}

func (l *socketLink) Recv(ctx context.Context) (*Frame, error) {
	kind, r, err := l.conn.Reader(ctx)
	if err != nil {
		l.Close("read failed")
		return nil, fmt.Errorf("read link: %w", err)
	}
	if kind != websocket.MessageBinary {
		l.Close("text frame")
		return nil, errors.New("read link: text frame")
	}
	return l.receiveFrame(r)
}

// receiveFrame reads and decodes one frame. It takes its buffer only now that a frame has begun to
// arrive: an idle link would keep a buffer as large as the longest frame before it.
func (l *socketLink) receiveFrame(r io.Reader) (*Frame, error) {
	defer l.memory.Clear()
	buf, err := l.readFrame(r)
	if err != nil {
		l.Close("read failed")
		return nil, fmt.Errorf("read link: %w", err)
	}
	defer membudget.FreeBuffer(buf) // decoding copies
	l.peerLiveness.recordReceive()
	l.traffic.FramesIn.Add(1)
	l.traffic.BytesIn.Add(int64(len(buf)))
	f, err := Decode(buf)
	if err != nil {
		l.Close("malformed frame")
		return nil, err
	}
	return f, nil
}

// readFrame reads a frame into a buffer, whose memory is charged to the link.
func (l *socketLink) readFrame(r io.Reader) ([]byte, error) {
	l.memory.Begin()
	buf, err := l.memory.ReadAll(r, MaxFrame)
	if err != nil {
		return nil, err
	}
	return buf, l.memory.Complete()
}

func (l *socketLink) Close(reason string) {
	l.terminate(func() { _ = l.conn.Close(websocket.StatusNormalClosure, reason) })
}

// abort closes the link to an unresponsive peer without a closing handshake, which would
// block for several more seconds, and Recv with it.
func (l *socketLink) abort() {
	l.terminate(func() { _ = l.conn.CloseNow() })
}

// terminate ends the link once. The function closing closes the connection and may block;
// the channel l.closing is closed after it.
func (l *socketLink) terminate(closing func()) {
	l.closeOnce.Do(func() {
		close(l.done)
		l.peerLiveness.stop()
		// The closing handshake waits for the peer. It runs in its own goroutine so that a
		// frozen peer does not block the caller, and ends by the timeout of the WebSocket
		// library.
		go func() {
			closing()
			close(l.closing)
		}()
	})
}

// write moves queued frames to the socket and returns when the queue is empty. An entry has
// hundreds of mostly idle links, and a permanently waiting goroutine for each would occupy
// its stack.
func (l *socketLink) write() {
	for batch := l.queue.takeAll(nil); len(batch) > 0; batch = l.queue.takeAll(batch) {
		if err := l.writeBatch(batch); err != nil {
			l.Close("write failed")
			return
		}
	}
}

func (l *socketLink) writeBatch(frames [][]byte) error {
	defer l.writeTimer.Stop()
	for _, b := range frames {
		if err := l.writeFrame(b); err != nil {
			return err
		}
		l.queue.markWritten(len(b))
	}
	return nil
}

// writeFrame writes one frame. All frames of the link share one timer: a context with a
// deadline for each frame costs more than everything else in the write except the system
// call.
func (l *socketLink) writeFrame(b []byte) error {
	l.writeTimer.Reset(writeTimeout)
	// Count before writing: the peer may respond, and the counters may be read, before
	// Write returns.
	l.traffic.FramesOut.Add(1)
	l.traffic.BytesOut.Add(int64(len(b)))
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("write link: %w", err)
	}
	return nil
}

// checkPeer runs when the liveness timer fires.
func (l *socketLink) checkPeer() {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		switch l.peerLiveness.checkPeer() {
		case noAction:
			return
		case peerDead:
			l.abort()
		case sendPing:
			l.sendPing()
		}
	}
}

// sendPing sends a ping and aborts the link if no pong arrives, unless anything else was
// received meanwhile: the pong may be queued behind a long frame.
func (l *socketLink) sendPing() {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	err := l.conn.Ping(ctx)
	if err != nil && l.peerLiveness.receivedNothingSince(startedAt) {
		l.abort()
		return
	}
	l.peerLiveness.recordPong()
}

// onPing handles a ping of the peer. It returns true so that the library answers with a
// pong.
func (l *socketLink) onPing(context.Context, []byte) bool {
	l.peerLiveness.recordReceive()
	return true
}

// Paths of the endpoints of the inner protocol at an entry.
const (
	GuardPath = "/inner/guard"
	PeerPath  = "/inner/peer"
	RunPath   = "/inner/runs" // for guards whose workers run tasks under leases
)

// Dial opens a link to url (ws:// or wss://).
func Dial(ctx context.Context, url string, client *http.Client, traffic *Traffic) (Link, error) {
	l := newLink(true, traffic, nil)
	conn, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  l.onPing,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", url, err)
	}
	return l.attach(conn), nil
}

// Accept upgrades an HTTP request to a link. The handler may return before the link ends,
// which releases the memory that net/http holds for the request.
func Accept(w http.ResponseWriter, r *http.Request, traffic *Traffic) (Link, error) {
	l := newLink(false, traffic, membudget.FromContext(r.Context()))
	conn, err := websocket.Accept(&smallBufferWriter{w}, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  l.onPing,
	})
	if err != nil {
		return nil, fmt.Errorf("accept link: %w", err)
	}
	return l.attach(conn), nil
}
