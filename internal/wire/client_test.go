package wire

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

func keepAlive(c *qt.C, conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var on int
	var asked error
	c.Assert(raw.Control(func(fd uintptr) {
		on, asked = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}), qt.IsNil)
	c.Assert(asked, qt.IsNil)
	return on != 0
}

// An entry holds hundreds of idle links. The kernel's probes, which a frozen
// process answers too, would make more traffic than the links' own pings.
func TestLinksHaveNoKeepAlive(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dial := NewClient(nil).Transport.(*http.Transport).DialContext
	near, err := dial(t.Context(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = near.Close() }()
	far, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = far.Close() }()
	c.Assert(keepAlive(c, near), qt.IsFalse)
	c.Assert(keepAlive(c, far), qt.IsTrue) // as a listener gives it
	withoutKeepAlive(far)
	c.Assert(keepAlive(c, far), qt.IsFalse)
}
