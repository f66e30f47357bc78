package wire

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

func keepAliveEnabled(c *qt.C, conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var enabled int
	var sockoptErr error
	c.Assert(raw.Control(func(fd uintptr) {
		enabled, sockoptErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}), qt.IsNil)
	c.Assert(sockoptErr, qt.IsNil)
	return enabled != 0
}

// An entry holds hundreds of idle links. Kernel keep-alive probes, which a frozen process
// still answers, would cause more traffic than the pings of the links.
func TestTCPKeepAliveIsDisabled(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dial := NewClient(nil).Transport.(*http.Transport).DialContext
	dialed, err := dial(t.Context(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	c.Assert(keepAliveEnabled(c, dialed), qt.IsFalse)
	c.Assert(keepAliveEnabled(c, accepted), qt.IsTrue) // the default of an accepted connection
	disableKeepAlive(accepted)
	c.Assert(keepAliveEnabled(c, accepted), qt.IsFalse)
}
