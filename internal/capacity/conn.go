package capacity

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// segmentOverhead is what IPv4 (20 bytes) and TCP with timestamps (32 bytes)
// add to each segment.
const segmentOverhead = 52

// traffic is what a set of links has carried, in both directions.
type traffic struct {
	Frames   int64 // of the inner protocol
	Bytes    int64 // on the sockets: frames, WebSocket headers and pings
	Segments int64 // of TCP, acknowledgements among them
}

// wireBytes adds the headers below the socket.
func (t traffic) wireBytes() int64 { return t.Bytes + segmentOverhead*t.Segments }

func (t traffic) sub(earlier traffic) traffic {
	return traffic{t.Frames - earlier.Frames, t.Bytes - earlier.Bytes, t.Segments - earlier.Segments}
}

// meteredConn counts what passes a socket.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn. The segments of a closed connection are kept, as
// totals must never fall.
func (c *meteredConn) Close() error {
	c.meter.remove(c)
	return c.Conn.Close()
}

// meter counts the traffic of many connections.
type meter struct {
	bytes          atomic.Int64
	mu             sync.Mutex
	open           map[*meteredConn]struct{}
	closedSegments int64 // segments of connections that have ended
}

func newMeter() *meter { return &meter{open: make(map[*meteredConn]struct{})} }

func (m *meter) wrap(c net.Conn) net.Conn {
	mc := &meteredConn{Conn: c, meter: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[mc] = struct{}{}
	return mc
}

func (m *meter) remove(c *meteredConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.open[c]; ok {
		delete(m.open, c)
		m.closedSegments += segments(c.Conn)
	}
}

func (m *meter) segments() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.closedSegments
	for c := range m.open {
		n += segments(c.Conn)
	}
	return n
}

// segments asks the kernel how many segments a connection sent and received.
// It is 0 for what is no TCP socket.
func segments(c net.Conn) int64 {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var n int64
	_ = raw.Control(func(fd uintptr) { // a closed socket counts as 0
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int64(info.Segs_in) + int64(info.Segs_out)
		}
	})
	return n
}
