package settings

import (
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Guard is the settings of wigeontray-guard.
type Guard struct {
	Worker        string
	Rack          string
	FailureDomain string
	Region        string
	Accelerators  int64
	MemoryMB      int64

	Entries  []string // inner addresses
	Upstream Upstream
	Admin    string // listening address
	TLS      TLS
	Fleet    Fleet
	Limits   GuardLimits
	Log      Log
}

// Upstream tells how the member's service beside the guard is reached.
type Upstream struct {
	URL          string // base URL
	Path         string // overrides the service record's path; empty for none
	HealthPath   string // empty for no health checks
	HealthPeriod time.Duration
	Service      string // "member/service"
	Slots        int64
	Connections  int64
}

// GuardLimits bounds what a guard takes and keeps.
type GuardLimits struct {
	HeaderTimeout time.Duration
	AnswerBytes   int64         // one answer of the upstream
	HeldBytes     int64         // results held for collection, all together
	Retention     time.Duration // of a start
	Memory        int64         // bytes of the process, a soft limit
	DrainTimeout  time.Duration
}

// guardMemory is the default soft limit. A guard may take 32 MB of its worker.
// The collector would let garbage grow to the size of what is remembered, and
// pass that bound while half of the heap is garbage.
const guardMemory = 22 * mib

var guardFields = join(
	[]field[Guard]{
		name("node", "worker", "Name of the worker that the upstream runs on, unique in the fleet.", func(g *Guard) *string { return &g.Worker }).need(),
		name("node", "rack", "Rack of the worker.", func(g *Guard) *string { return &g.Rack }).need(),
		name("node", "failure_domain", "Failure domain of the worker.", func(g *Guard) *string { return &g.FailureDomain }).need(),
		name("node", "region", "Region of the worker.", func(g *Guard) *string { return &g.Region }).need(),
		integer("node", "accelerators", "accelerators", 0, 0, 64, "Accelerators of the worker.", func(g *Guard) *int64 { return &g.Accelerators }),
		integer("node", "memory_mb", "megabytes", 0, 0, 1<<30, "Memory of the worker; with 0 it is not known and fits any task.", func(g *Guard) *int64 { return &g.MemoryMB }),
		addresses("entries", "addresses", "Inner addresses of entries. Others are learned from them.", func(g *Guard) *[]string { return &g.Entries }).need(),
		upstreamURL(),
		path("upstream", "path", "Path of requests at the upstream; the service record's if left out.", func(g *Guard) *string { return &g.Upstream.Path }),
		path("upstream", "health_path", "Path that answers 2xx while the upstream can serve; no health checks if left out.", func(g *Guard) *string { return &g.Upstream.HealthPath }),
		millis("upstream", "health_period_ms", 1000, 100, 60_000, "Time between health checks.", func(g *Guard) *time.Duration { return &g.Upstream.HealthPeriod }),
		service("upstream", "service", "Service that the upstream serves.", func(g *Guard) *string { return &g.Upstream.Service }).need(),
		integer("upstream", "slots", "tasks", 8, 1, 1024, "Tasks that the upstream runs at once.", func(g *Guard) *int64 { return &g.Upstream.Slots }),
		integer("upstream", "connections", "connections", 64, 1, 4096, "Most connections to the upstream.", func(g *Guard) *int64 { return &g.Upstream.Connections }),
		address("listen", "admin", "127.0.0.1:7013", "Address for health, readiness and counters.", func(g *Guard) *string { return &g.Admin }),
	},
	tlsFields(func(g *Guard) *TLS { return &g.TLS }),
	fleetFields("File with the member's guard key, whose SHA-256 stands in the member's record as `guard_key_sha256`; at least 16 bytes. If the record lists none, the entries' key.",
		func(g *Guard) *Fleet { return &g.Fleet }),
	[]field[Guard]{
		headerTimeout(func(g *Guard) *time.Duration { return &g.Limits.HeaderTimeout }),
		integer("limits", "answer_bytes", "bytes", 4*mib, kib, 4*mib, "Largest answer of the upstream to one task.", func(g *Guard) *int64 { return &g.Limits.AnswerBytes }),
		integer("limits", "held_bytes", "bytes", 2*mib, mib, 1<<30, "Memory for results that an entry may still collect.", func(g *Guard) *int64 { return &g.Limits.HeldBytes }),
		millis("limits", "retention_ms", 900_000, 1000, 86_400_000, "Time for which a start is remembered. It must exceed the entries' `retention_ms`.", func(g *Guard) *time.Duration { return &g.Limits.Retention }),
		memory(guardMemory, func(g *Guard) *int64 { return &g.Limits.Memory }),
		millis("limits", "drain_timeout_ms", 30_000, 0, 600_000, "Longest time that a planned stop waits for tasks in flight.", func(g *Guard) *time.Duration { return &g.Limits.DrainTimeout }),
	},
	logFields(func(g *Guard) *Log { return &g.Log }),
)

var (
	pathForm    = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
	serviceForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9-]{0,62}$`)
)

func upstreamURL() field[Guard] {
	return field[Guard]{section: "upstream", key: "url", bounds: "http or https URL without path", required: true,
		doc: "Base URL of the upstream.",
		set: func(g *Guard, v string) error {
			g.Upstream.URL = v
			return checkURL(v)
		}}
}

func path(section, key, doc string, at func(*Guard) *string) field[Guard] {
	return field[Guard]{section: section, key: key, bounds: "absolute path without query", doc: doc,
		set: func(g *Guard, v string) error {
			if !pathForm.MatchString(v) {
				return fmt.Errorf("%q: want an absolute path without query", v)
			}
			*at(g) = v
			return nil
		}}
}

func service(section, key, doc string, at func(*Guard) *string) field[Guard] {
	return field[Guard]{section: section, key: key, bounds: "member/service", doc: doc,
		set: func(g *Guard, v string) error {
			if !serviceForm.MatchString(v) {
				return fmt.Errorf("%q: want member/service", v)
			}
			*at(g) = v
			return nil
		}}
}

// DefaultGuard gives the defaults; names and addresses are missing.
func DefaultGuard() *Guard {
	g := new(Guard)
	defaults(guardFields, g)
	return g
}

// LoadGuard reads and checks a guard's file.
func LoadGuard(path string) (*Guard, error) { return parseGuard(path, path) }

func parseGuard(file string, source any) (*Guard, error) {
	g := DefaultGuard()
	if err := errors.Join(load(file, source, guardFields, g), g.check(file)); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Guard) check(file string) error {
	return g.TLS.check(file, map[string][]string{"listen.admin": {g.Admin}, "entries.addresses": g.Entries})
}
