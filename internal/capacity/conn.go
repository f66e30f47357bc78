package capacity

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// segmentOverhead is the size of the IPv4 header (20 bytes) and the TCP header with
// timestamps (32 bytes) of each segment.
const segmentOverhead = 52

// traffic is the traffic of a set of links, in both directions.
type traffic struct {
	Frames   int64 // frames of the internal protocol
	Bytes    int64 // bytes at the socket: frames, WebSocket headers and pings
	Segments int64 // TCP segments, including acknowledgements
}

// wireBytes returns the bytes including the TCP and IP headers.
func (t traffic) wireBytes() int64 { return t.Bytes + segmentOverhead*t.Segments }

// sub returns the traffic since the earlier value.
func (t traffic) sub(earlier traffic) traffic {
	return traffic{t.Frames - earlier.Frames, t.Bytes - earlier.Bytes, t.Segments - earlier.Segments}
}

// meteredConn counts the bytes of a connection.
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

// Close implements net.Conn. The segments of a closed connection remain in the
// total, which must never decrease.
func (c *meteredConn) Close() error {
	c.meter.remove(c)
	return c.Conn.Close()
}

// meter counts the traffic of a set of connections.
type meter struct {
	bytes          atomic.Int64
	mu             sync.Mutex
	open           map[*meteredConn]struct{}
	closedSegments int64 // segments of closed connections
}

func newMeter() *meter { return &meter{open: make(map[*meteredConn]struct{})} }

// wrap returns a connection whose traffic is counted.
func (m *meter) wrap(c net.Conn) net.Conn {
	mc := &meteredConn{Conn: c, meter: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[mc] = struct{}{}
	return mc
}

// remove adds the segments of an open connection to those of the closed ones.
func (m *meter) remove(c *meteredConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.open[c]; ok {
		delete(m.open, c)
		m.closedSegments += segments(c.Conn)
	}
}

// segments returns the segments of all open and closed connections.
func (m *meter) segments() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.closedSegments
	for c := range m.open {
		n += segments(c.Conn)
	}
	return n
}

// segments returns the number of segments that a connection has sent and received,
// from the TCP_INFO of the kernel. It is 0 for connections other than TCP.
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
