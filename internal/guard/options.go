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
	DefaultMaxConnections      = 64
	DefaultHealthInterval      = time.Second
	DefaultHealthTimeout       = time.Second
	DefaultMaxResponseBytes    = 2 << 20
	DefaultUpstreamIdleTimeout = 2 * time.Second
)

// resultOverheadBytes is the room that a Result needs in a frame besides its body.
const resultOverheadBytes = 64 << 10

// workerPattern leaves room for the suffix that makes a name an incarnation.
var workerPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,49}$`)

// Options configures a Guard. A zero field takes its default where one exists.
type Options struct {
	Entries []string    // host:port of the entries' inner protocol
	TLS     *tls.Config // towards entries; nil dials them in plain text
	Key     string      // the member's guard key, or the fleet's; sent in Hello

	Service     string // "member/service"
	Worker      string // lower-case letters, digits and dashes
	Rack        string
	Domain      string // failure domain
	Region      string
	Accelerator int // accelerators on the worker
	MemoryMB    int // memory of the worker, megabytes; 0 if not known
	Slots       int // tasks on the upstream at once

	Upstream      string        // http://host:port
	Path          string        // to which tasks are posted; empty takes the service record's
	HealthPath    string        // path that answers 2xx while healthy; empty only connects
	HealthEvery   time.Duration // period of the health check
	HealthTimeout time.Duration // bound on one health check
	Connections   int           // to the upstream at once, at least 2
	// UpstreamIdleTimeout is how long a connection is kept unused. It must be shorter
	// than the upstream's own limit: if the upstream closes a connection at the
	// moment when a task is written to it, nobody knows whether the task ran.
	UpstreamIdleTimeout time.Duration
	MaxAnswer           int // bytes of one upstream answer

	Admin    string           // loopback host:port of the admin HTTP; empty for none
	Metrics  http.Handler     // serves /metrics on the admin HTTP; may be nil
	Registry metrics.Registry // receives the counters; nil makes a private one
	Logger   *log.Logger      // nil discards
	Software string           // version of the binary
	Ledger   ledger.Options   // bounds of memory and waiting; Slots and Member are set from above
	Seed     uint64           // of the jitter in reconnecting

	// Dial opens a link to an entry; nil dials a WebSocket.
	Dial func(ctx context.Context, addr string) (wire.Link, error)
	// DialUpstream opens a connection to the upstream; nil dials TCP.
	DialUpstream func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, ledger.DefaultSlots)
	setDefault(&o.Connections, DefaultMaxConnections)
	setDefault(&o.HealthEvery, DefaultHealthInterval)
	setDefault(&o.HealthTimeout, DefaultHealthTimeout)
	setDefault(&o.MaxAnswer, DefaultMaxResponseBytes)
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

// validate reports the first option that cannot work.
func (o Options) validate() error {
	member, service, ok := strings.Cut(o.Service, "/")
	if !ok || member == "" || service == "" {
		return fmt.Errorf("service %q: want member/service", o.Service)
	}
	if !workerPattern.MatchString(o.Worker) {
		return fmt.Errorf("worker %q: want 1 to 50 lower-case letters, digits and dashes", o.Worker)
	}
	if len(o.Entries) == 0 {
		return errors.New("entries: none given")
	}
	if o.Slots < 1 || o.Connections < 2 {
		return fmt.Errorf("slots %d, connections %d: want at least 1 and 2", o.Slots, o.Connections)
	}
	if o.MaxAnswer < 1 || o.MaxAnswer > wire.MaxFrame-resultOverheadBytes {
		return fmt.Errorf("largest answer %d bytes: want 1 to %d", o.MaxAnswer, wire.MaxFrame-resultOverheadBytes)
	}
	return o.validateUpstream()
}

// validateUpstream also refuses https: the proof that a request was never written
// counts bytes on the plain connection, and the upstream is on the same worker.
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
