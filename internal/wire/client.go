package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// connectTimeoutKey is the context key of the timeout set by WithConnectTimeout.
type connectTimeoutKey struct{}

// WithConnectTimeout returns a copy of ctx that limits the time in which a link dialed with
// it must establish its TCP connection, in addition to the deadline of ctx for the whole
// handshake. A powered-off VM does not respond at all; waiting out the full handshake
// timeout would delay the next attempt although the VM may be back meanwhile.
func WithConnectTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, connectTimeoutKey{}, timeout)
}

// ConnectTimeout returns the timeout set by WithConnectTimeout, and false if there is none.
func ConnectTimeout(ctx context.Context) (time.Duration, bool) {
	timeout, ok := ctx.Value(connectTimeoutKey{}).(time.Duration)
	return timeout, ok
}

// NewClient returns the HTTP client with which processes dial links; a nil tlsConfig means
// plaintext. TCP keep-alive is off: both kernels would probe an idle link every 15 s, which
// costs more segments than the link's own pings and detects less, since the kernel of a
// frozen process still answers.
func NewClient(tlsConfig *tls.Config) *http.Client {
	dialer := &net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if timeout, ok := ConnectTimeout(ctx); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		return dialer.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: tlsConfig}}
}

// disableKeepAlive turns off TCP keep-alive for an accepted connection, for the reason
// given at NewClient.
func disableKeepAlive(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAlive(false) // an error means that the connection is closed, which the next read reports
	}
}
