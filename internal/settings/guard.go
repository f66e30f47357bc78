package settings

import (
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Guard holds the settings of wigeontray-guard.
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

// Upstream holds the settings of the connection to the member's service next to the guard.
type Upstream struct {
	URL            string // base URL
	Path           string // overrides the path in the service record; empty for none
	HealthPath     string // empty for no health checks
	HealthInterval time.Duration
	Service        string // "member/service"
	Slots          int64
	Connections    int64
}

// GuardLimits bounds the resources of a guard.
type GuardLimits struct {
	HeaderTimeout  time.Duration
	MaxAnswerBytes int64         // maximum bytes of one answer of the upstream
	HeldBytes      int64         // maximum bytes of all results held for collection
	Retention      time.Duration // of the record of a start
	Memory         int64         // soft memory limit of the process, in bytes
	DrainTimeout   time.Duration
}

// defaultGuardMemory is the default soft memory limit. A guard may use 32 MB of its worker's
// memory. Without the limit the collector would let garbage grow to the size of the live
// data, and the process would exceed the 32 MB while half of its heap is garbage.
const defaultGuardMemory = 22 * mib

var guardFields = concat(
	[]field[Guard]{
		nameField("node", "worker", "Name of the worker that the upstream runs on, unique in the fleet.", func(g *Guard) *string { return &g.Worker }).markRequired(),
		nameField("node", "rack", "Rack of the worker.", func(g *Guard) *string { return &g.Rack }).markRequired(),
		nameField("node", "failure_domain", "Failure domain of the worker.", func(g *Guard) *string { return &g.FailureDomain }).markRequired(),
		nameField("node", "region", "Region of the worker.", func(g *Guard) *string { return &g.Region }).markRequired(),
		integerField("node", "accelerators", "accelerators", 0, 0, 64, "Accelerators of the worker.", func(g *Guard) *int64 { return &g.Accelerators }),
		integerField("node", "memory_mb", "megabytes", 0, 0, 1<<30, "Memory of the worker; with 0 it is not known and fits any task.", func(g *Guard) *int64 { return &g.MemoryMB }),
		addressListField("entries", "addresses", "Inner addresses of entries. Others are learned from them.", func(g *Guard) *[]string { return &g.Entries }).markRequired(),
		upstreamURLField(),
		pathField("upstream", "path", "Path of requests at the upstream; the service record's if left out.", func(g *Guard) *string { return &g.Upstream.Path }),
		pathField("upstream", "health_path", "Path that answers 2xx while the upstream can serve; no health checks if left out.", func(g *Guard) *string { return &g.Upstream.HealthPath }),
		millisField("upstream", "health_period_ms", 1000, 100, 60_000, "Time between health checks.", func(g *Guard) *time.Duration { return &g.Upstream.HealthInterval }),
		serviceField("upstream", "service", "Service that the upstream serves.", func(g *Guard) *string { return &g.Upstream.Service }).markRequired(),
		integerField("upstream", "slots", "tasks", 8, 1, 1024, "Tasks that the upstream runs at once.", func(g *Guard) *int64 { return &g.Upstream.Slots }),
		integerField("upstream", "connections", "connections", 64, 1, 4096, "Most connections to the upstream.", func(g *Guard) *int64 { return &g.Upstream.Connections }),
		addressField("listen", "admin", "127.0.0.1:7013", "Address for health, readiness and counters.", func(g *Guard) *string { return &g.Admin }),
	},
	tlsFields(func(g *Guard) *TLS { return &g.TLS }),
	fleetFields("File with the member's guard key, whose SHA-256 stands in the member's record as `guard_key_sha256`; at least 16 bytes. If the record lists none, the entries' key.",
		func(g *Guard) *Fleet { return &g.Fleet }),
	[]field[Guard]{
		headerTimeoutField(func(g *Guard) *time.Duration { return &g.Limits.HeaderTimeout }),
		integerField("limits", "answer_bytes", "bytes", 4*mib, kib, 4*mib, "Largest answer of the upstream to one task.", func(g *Guard) *int64 { return &g.Limits.MaxAnswerBytes }),
		integerField("limits", "held_bytes", "bytes", 2*mib, mib, 1<<30, "Memory for results that an entry may still collect.", func(g *Guard) *int64 { return &g.Limits.HeldBytes }),
		millisField("limits", "retention_ms", 900_000, 1000, 86_400_000, "Time for which a start is remembered. It must exceed the entries' `retention_ms`.", func(g *Guard) *time.Duration { return &g.Limits.Retention }),
		memoryField(defaultGuardMemory, func(g *Guard) *int64 { return &g.Limits.Memory }),
		millisField("limits", "drain_timeout_ms", 30_000, 0, 600_000, "Longest time that a planned stop waits for tasks in flight.", func(g *Guard) *time.Duration { return &g.Limits.DrainTimeout }),
	},
	logFields(func(g *Guard) *Log { return &g.Log }),
)

var (
	pathPattern    = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
	servicePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9-]{0,62}$`)
)

func upstreamURLField() field[Guard] {
	return field[Guard]{section: "upstream", key: "url", allowed: "http or https URL without path", required: true,
		doc: "Base URL of the upstream.",
		set: func(g *Guard, v string) error {
			g.Upstream.URL = v
			return checkURL(v)
		}}
}

func pathField(section, key, doc string, target func(*Guard) *string) field[Guard] {
	return field[Guard]{section: section, key: key, allowed: "absolute path without query", doc: doc,
		set: func(g *Guard, v string) error {
			if !pathPattern.MatchString(v) {
				return fmt.Errorf("%q: want an absolute path without query", v)
			}
			*target(g) = v
			return nil
		}}
}

func serviceField(section, key, doc string, target func(*Guard) *string) field[Guard] {
	return field[Guard]{section: section, key: key, allowed: "member/service", doc: doc,
		set: func(g *Guard, v string) error {
			if !servicePattern.MatchString(v) {
				return fmt.Errorf("%q: want member/service", v)
			}
			*target(g) = v
			return nil
		}}
}

// DefaultGuard returns the defaults. Names and addresses without a default are empty.
func DefaultGuard() *Guard {
	g := new(Guard)
	applyDefaults(guardFields, g)
	return g
}

// LoadGuard reads and validates the settings file of a guard.
func LoadGuard(path string) (*Guard, error) { return parseGuard(path, path) }

func parseGuard(file string, source any) (*Guard, error) {
	g := DefaultGuard()
	if err := errors.Join(load(file, source, guardFields, g), g.validate(file)); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Guard) validate(file string) error {
	return g.TLS.validate(file, map[string][]string{"listen.admin": {g.Admin}, "entries.addresses": g.Entries})
}
