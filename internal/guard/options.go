package guard

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// Defaults of Options.
const (
	DefaultConnections         = 64
	DefaultHealthInterval      = time.Second
	DefaultHealthTimeout       = time.Second
	DefaultMaxResponseBytes    = 2 << 20
	DefaultUpstreamIdleTimeout = 2 * time.Second
)

// resultOverheadBytes is the space reserved in a frame for the fields of a
// Result other than its body.
const resultOverheadBytes = 64 << 10

// workerPattern limits a worker name to 50 characters, which leaves room for the
// suffix that identity.NewIncarnation appends.
var workerPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,49}$`)

// Options configures a Guard. Zero fields are set to their defaults where they
// have one.
type Options struct {
	Entries []string    // host:port of the entries' listeners for the inner protocol
	TLS     *tls.Config // TLS for links to entries; nil disables TLS
	Key     string      // guard key of the member or of the fleet, sent in Hello

	Service     string // "member/service"
	Worker      string // lower-case letters, digits and dashes
	Rack        string
	Domain      string // failure domain
	Region      string
	Accelerator int // number of accelerators on the worker
	MemoryMB    int // memory of the worker in megabytes; 0 if unknown
	Slots       int // maximum number of tasks that run on the upstream concurrently

	Upstream       string        // http://host:port
	Path           string        // path of task requests; empty uses the path in the service record
	HealthPath     string        // path that returns 2xx while healthy; empty only opens a connection
	HealthInterval time.Duration // interval between health checks
	HealthTimeout  time.Duration // timeout of one health check
	Connections    int           // maximum number of connections to the upstream, at least 2
	// UpstreamIdleTimeout is how long an idle connection is kept open. It must be
	// shorter than the upstream's own idle timeout: if the upstream closes a
	// connection while a task is being written to it, it is unknown whether the
	// task ran.
	UpstreamIdleTimeout time.Duration
	MaxResponseBytes    int // maximum size of one upstream response, in bytes

	Admin    string           // loopback host:port of the admin HTTP server; empty disables it
	Metrics  http.Handler     // handler of /metrics on the admin HTTP server; may be nil
	Registry metrics.Registry // registry for the guard's metrics; nil creates a private one
	Logger   *log.Logger      // nil discards all messages
	Software string           // version of the binary
	Ledger   ledger.Options   // limits of the ledger; Slots and Member are overwritten from the fields above
	Seed     uint64           // seed of the random delays

	// Dial opens a link to an entry; nil opens a WebSocket.
	Dial func(ctx context.Context, addr string) (wire.Link, error)
	// DialUpstream opens a connection to the upstream; nil opens a TCP connection.
	DialUpstream func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, ledger.DefaultSlots)
	setDefault(&o.Connections, DefaultConnections)
	setDefault(&o.HealthInterval, DefaultHealthInterval)
	setDefault(&o.HealthTimeout, DefaultHealthTimeout)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.UpstreamIdleTimeout, DefaultUpstreamIdleTimeout)
	o.Ledger.Slots = o.Slots
	o.Ledger.Member, _, _ = strings.Cut(o.Service, "/")
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Dial == nil {
		o.Dial = webSocketDialer(o.TLS)
	}
	if o.DialUpstream == nil {
		o.DialUpstream = new(net.Dialer).DialContext
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns an error for the first invalid option.
func (o Options) validate() error {
	member, service, ok := strings.Cut(o.Service, "/")
	if !ok || member == "" || service == "" {
		return fmt.Errorf("service %q: want member/service", o.Service)
	}
	if !workerPattern.MatchString(o.Worker) {
		return fmt.Errorf("worker %q: want 1 to 50 lower-case letters, digits and dashes", o.Worker)
	}
	if len(o.Entries) == 0 {
		return errors.New("entries: at least one address is required")
	}
	if o.Slots < 1 || o.Connections < 2 {
		return fmt.Errorf("slots %d, connections %d: want at least 1 and 2", o.Slots, o.Connections)
	}
	if o.MaxResponseBytes < 1 || o.MaxResponseBytes > wire.MaxFrame-resultOverheadBytes {
		return fmt.Errorf("maximum response size %d bytes: want 1 to %d", o.MaxResponseBytes, wire.MaxFrame-resultOverheadBytes)
	}
	return o.validateUpstream()
}

// validateUpstream checks the upstream's URL and paths. It rejects https, because
// trackedConn proves by the bytes on a plain connection that a request was never
// written; TLS is not needed, as the upstream is on the same worker.
func (o Options) validateUpstream() error {
	u, err := url.Parse(o.Upstream)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" && u.Path != "/" {
		return fmt.Errorf("upstream %q: want http://host:port", o.Upstream)
	}
	for _, path := range []string{o.Path, o.HealthPath} {
		if path != "" && !strings.HasPrefix(path, "/") {
			return fmt.Errorf("path %q: want a leading slash", path)
		}
	}
	return nil
}
