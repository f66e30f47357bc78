package wire

import (
	"crypto/tls"
	"net"
	"net/http"
)

// NewClient gives the client with which processes dial links; tlsConfig nil
// means plain text. The connections have no TCP keep-alive: both kernels would
// probe an idle link every 15 s, which makes more segments than the pings of the
// link and tells less, as the kernel of a frozen process goes on answering.
func NewClient(tlsConfig *tls.Config) *http.Client {
	d := &net.Dialer{KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, TLSClientConfig: tlsConfig}}
}

// withoutKeepAlive is the same for an accepted connection.
func withoutKeepAlive(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAlive(false) // a closed connection is noticed when it is read
	}
}
