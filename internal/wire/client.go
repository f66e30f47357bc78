package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// connectKey is the key of the bound that ConnectWithin sets.
type connectKey struct{}

// ConnectWithin bounds the time in which a link that is dialed with ctx has to have its TCP
// connection, beside the bound of ctx for the whole of it. A VM without power answers
// nothing: whoever waits for its answer until the time for a handshake has passed does not
// notice that it has come back meanwhile.
func ConnectWithin(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectKey{}, d)
}

// ConnectTime is the bound that ConnectWithin has set, or false.
func ConnectTime(ctx context.Context) (time.Duration, bool) {
	d, ok := ctx.Value(connectKey{}).(time.Duration)
	return d, ok
}

// NewClient gives the client with which processes dial links; tlsConfig nil
// means plain text. The connections have no TCP keep-alive: both kernels would
// probe an idle link every 15 s, which makes more segments than the pings of the
// link and tells less, as the kernel of a frozen process goes on answering.
func NewClient(tlsConfig *tls.Config) *http.Client {
	d := &net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if within, ok := ConnectTime(ctx); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, within)
			defer cancel()
		}
		return d.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: tlsConfig}}
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
