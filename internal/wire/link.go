package wire

import (
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
	sendQueue    = 4096             // frames waiting for the socket
	writeTimeout = 5 * time.Second  // one frame onto the socket
	PingEvery    = 15 * time.Second // by the end that dialled
	pingTimeout  = 5 * time.Second  // for the answer to a ping
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
	done    chan struct{}
	once    sync.Once
	traffic *Traffic
	life    *liveness
}

func newLink(conn *websocket.Conn, traffic *Traffic, life *liveness) Link {
	if traffic == nil {
		traffic = new(Traffic)
	}
	conn.SetReadLimit(MaxFrame)
	l := &socketLink{conn: conn, out: newOutbox(sendQueue), done: make(chan struct{}), traffic: traffic, life: life}
	go l.write()
	return l
}

// Unsent tells how many frames are not on the socket yet. Close drops them.
func (l *socketLink) Unsent() int { return l.out.unsent() }

func (l *socketLink) Done() <-chan struct{} { return l.done }

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
	if err := l.out.add(b); err != nil {
		l.Close("slow peer")
		return ErrSlowPeer
	}
	return nil
}

func (l *socketLink) Recv(ctx context.Context) (*Frame, error) {
	kind, b, err := l.conn.Read(ctx)
	if err != nil {
		l.Close("read failed")
		return nil, fmt.Errorf("read link: %w", err)
	}
	if kind != websocket.MessageBinary {
		l.Close("text frame")
		return nil, errors.New("read link: text frame")
	}
	l.life.hear()
	l.traffic.FramesIn.Add(1)
	l.traffic.BytesIn.Add(int64(len(b)))
	f, err := Decode(b)
	if err != nil {
		l.Close("malformed frame")
		return nil, err
	}
	return f, nil
}

func (l *socketLink) Close(reason string) {
	l.once.Do(func() {
		close(l.done)
		// The close handshake waits for the peer; a frozen peer must not hold
		// the caller, so it runs aside and ends by the library's own timeout.
		go func() { _ = l.conn.Close(websocket.StatusNormalClosure, reason) }()
	})
}

// write moves queued frames to the socket and checks that the peer lives. One
// that was frozen or cut off would otherwise look linked until TCP gives up many
// minutes later.
func (l *socketLink) write() {
	check := time.NewTimer(l.life.next())
	defer check.Stop()
	var batch [][]byte
	for {
		select {
		case <-l.out.ready:
			batch = l.out.take(batch)
			if err := l.putAll(batch); err != nil {
				l.Close("write failed")
				return
			}
		case <-check.C:
			if l.life.silent() {
				l.Close("silent peer")
				return
			}
			if l.life.dialled {
				go l.ping()
			}
			check.Reset(l.life.next())
		case <-l.done:
			return
		}
	}
}

func (l *socketLink) putAll(frames [][]byte) error {
	for _, b := range frames {
		if err := l.put(b); err != nil {
			return err
		}
		l.out.sent()
	}
	return nil
}

func (l *socketLink) put(b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	// Counted before it is sent: the peer may answer, and somebody read the
	// counters, before the write returns.
	l.traffic.FramesOut.Add(1)
	l.traffic.BytesOut.Add(int64(len(b)))
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("write link: %w", err)
	}
	return nil
}

func (l *socketLink) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), l.life.answer)
	defer cancel()
	if err := l.conn.Ping(ctx); err != nil {
		l.Close("no answer to ping")
	}
}

// Paths of the inner protocol's endpoints at an entry.
const (
	GuardPath = "/inner/guard"
	PeerPath  = "/inner/peer"
)

// Dial opens a link to url (ws:// or wss://).
func Dial(ctx context.Context, url string, client *http.Client, traffic *Traffic) (Link, error) {
	conn, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", url, err)
	}
	return newLink(conn, traffic, newLiveness(true, PingEvery, pingTimeout)), nil
}

// Accept upgrades an HTTP request to a link.
func Accept(w http.ResponseWriter, r *http.Request, traffic *Traffic) (Link, error) {
	return accept(w, r, traffic, newLiveness(false, PingEvery, pingTimeout))
}

func accept(w http.ResponseWriter, r *http.Request, traffic *Traffic, life *liveness) (Link, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  func(context.Context, []byte) bool { life.hear(); return true },
	})
	if err != nil {
		return nil, fmt.Errorf("accept link: %w", err)
	}
	return newLink(conn, traffic, life), nil
}
