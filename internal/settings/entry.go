package settings

import (
	"cmp"
	"errors"
	"net"
	"strings"
	"time"
)

// Entry is the settings of `wigeontray serve`.
type Entry struct {
	Name          string
	Region        string
	FailureDomain string

	Callers string // listening addresses
	Inner   string
	Admin   string
	// AdvertiseInner is where guards and peers reach Inner; Inner itself if empty.
	AdvertiseInner string

	Peers []string // inner addresses, used until the roster is known

	Store  Store
	Roster Roster
	TLS    TLS
	Fleet  Fleet
	// ConfigKeyFile is the path of the file with the key under which snapshots
	// of the configuration are sealed; empty for none.
	ConfigKeyFile string
	Operators     Operators
	Limits        EntryLimits
	Log           Log
}

// Store tells how the platform's store is reached.
type Store struct {
	Endpoints      []string
	Timeout        time.Duration
	CallsPerSecond int64
	VerifyEvery    time.Duration
}

// Roster tells how entries share plain identities.
type Roster struct {
	// Ceiling is how long plain identities are served without the store at most,
	// and refused at most after the loss of all entries of the region at once.
	Ceiling time.Duration
}

// Operators holds what lets the consortium's operators in before any record
// exists.
type Operators struct {
	// ConsortiumTokenSHA256 is the hash of the token that may amend member
	// records; empty for none.
	ConsortiumTokenSHA256 string
}

// EntryLimits bounds what an entry takes and keeps.
type EntryLimits struct {
	Body          int64 // bytes of a submission
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	Connections   int64
	OpenRequests  int64         // of one member
	OpenBytes     int64         // of the bodies of one member's open requests
	Retention     time.Duration // of a finished job's record
	AnswerBytes   int64         // held answers, all together
	Records       int64         // job records held
	Memory        int64         // bytes of the process, a soft limit
	DrainTimeout  time.Duration
}

var entryFields = join(
	[]field[Entry]{
		name("node", "name", "Name of this process, unique in the fleet.", func(e *Entry) *string { return &e.Name }).need(),
		name("node", "region", "Region of this process.", func(e *Entry) *string { return &e.Region }).need(),
		name("node", "failure_domain", "Failure domain of this process.", func(e *Entry) *string { return &e.FailureDomain }).need(),
		address("listen", "callers", "", "Address for callers.", func(e *Entry) *string { return &e.Callers }).need(),
		address("listen", "inner", "", "Address for guards and other entries.", func(e *Entry) *string { return &e.Inner }).need(),
		address("listen", "admin", "127.0.0.1:7003", "Address for operators, health, readiness and counters.", func(e *Entry) *string { return &e.Admin }),
		address("listen", "advertise_inner", "", "Address under which guards and other entries reach `inner`; `inner` itself if left out.", func(e *Entry) *string { return &e.AdvertiseInner }),
		addresses("peers", "addresses", "Inner addresses of other entries, used until the roster in the store is known.", func(e *Entry) *[]string { return &e.Peers }),
		urls("store", "endpoints", "Endpoints of the platform's store.", func(e *Entry) *[]string { return &e.Store.Endpoints }).need(),
		millis("store", "timeout_ms", 2000, 50, 60_000, "Time for one call of the store.", func(e *Entry) *time.Duration { return &e.Store.Timeout }),
		integer("store", "calls_per_second", "calls/s", 50, 1, 2000, "Most calls of the store by this process. A call over it waits.", func(e *Entry) *int64 { return &e.Store.CallsPerSecond }),
		millis("store", "verify_every_ms", 2000, 100, 60_000, "Time between checks that the watch of the store has left out no change.", func(e *Entry) *time.Duration { return &e.Store.VerifyEvery }),
		millis("roster", "ceiling_ms", 3_600_000, 10_000, 86_400_000, "Time for which entries promise ahead in the store. Identities without a home are served that long in an outage of the store, and refused that long at most after all entries of the region were lost at once. A site with one entry sets a short one.", func(e *Entry) *time.Duration { return &e.Roster.Ceiling }),
	},
	tlsFields(func(e *Entry) *TLS { return &e.TLS }),
	fleetFields("File with the key that all entries share; at least 16 bytes. A link of an entry whose key differs is refused, and so is one of a guard whose member lists no guard key.",
		func(e *Entry) *Fleet { return &e.Fleet }),
	[]field[Entry]{
		text("fleet", "config_key_file", "", "File with the key that all entries, and no guard, share; at least 16 bytes. With it guards keep the configuration, sealed, for entries that start while the store is down.", func(e *Entry) *string { return &e.ConfigKeyFile }),
		hash("operators", "consortium_token_sha256", "SHA-256, in hexadecimal, of the token that may create, amend and delete member records.", func(e *Entry) *string { return &e.Operators.ConsortiumTokenSHA256 }),
		integer("limits", "body_bytes", "bytes", 8*mib, kib, 64*mib, "Largest body of a submission.", func(e *Entry) *int64 { return &e.Limits.Body }),
		headerTimeout(func(e *Entry) *time.Duration { return &e.Limits.HeaderTimeout }),
		millis("limits", "body_timeout_ms", 30_000, 100, 600_000, "Time in which a caller must have sent its request's body, from the end of the header.", func(e *Entry) *time.Duration { return &e.Limits.BodyTimeout }),
		millis("limits", "idle_timeout_ms", 120_000, 1000, 3_600_000, "Time after which an idle connection of a caller is closed.", func(e *Entry) *time.Duration { return &e.Limits.IdleTimeout }),
		integer("limits", "connections", "connections", 10_000, 1, 1_000_000, "Most connections of callers at once. From three quarters of them on, each is closed after its answer.", func(e *Entry) *int64 { return &e.Limits.Connections }),
		integer("limits", "open_requests", "requests", 4000, 1, 1_000_000, "Most requests of one member open at once. It should be well below `connections`, so that one member's flood leaves the others room.", func(e *Entry) *int64 { return &e.Limits.OpenRequests }),
		integer("limits", "open_bytes", "bytes", 64*mib, mib, 16<<30, "Most bytes of bodies in one member's open requests.", func(e *Entry) *int64 { return &e.Limits.OpenBytes }),
		millis("limits", "retention_ms", 600_000, 1000, 86_400_000, "Time for which a finished job is remembered, so that a resubmission gets its answer.", func(e *Entry) *time.Duration { return &e.Limits.Retention }),
		integer("limits", "answer_bytes", "bytes", 64*mib, mib, 16<<30, "Memory for answers of finished jobs, for each member. The oldest go first; the jobs stay known.", func(e *Entry) *int64 { return &e.Limits.AnswerBytes }),
		integer("limits", "records", "jobs", 1_000_000, 1000, 100_000_000, "Most jobs of one member remembered at once.", func(e *Entry) *int64 { return &e.Limits.Records }),
		memory(NoMemoryLimit, func(e *Entry) *int64 { return &e.Limits.Memory }),
		millis("limits", "drain_timeout_ms", 30_000, 0, 600_000, "Longest time that a planned stop waits for requests in flight.", func(e *Entry) *time.Duration { return &e.Limits.DrainTimeout }),
	},
	logFields(func(e *Entry) *Log { return &e.Log }),
)

func join[T any](lists ...[]field[T]) []field[T] {
	var out []field[T]
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// ConfigKey reads the key that seals snapshots; empty without a ConfigKeyFile.
func (e *Entry) ConfigKey() (string, error) { return readKey("config_key_file", e.ConfigKeyFile) }

// DefaultEntry gives the defaults; names and addresses are missing.
func DefaultEntry() *Entry {
	e := new(Entry)
	defaults(entryFields, e)
	return e
}

// LoadEntry reads and checks an entry's file.
func LoadEntry(path string) (*Entry, error) { return parseEntry(path, path) }

func parseEntry(file string, source any) (*Entry, error) {
	e := DefaultEntry()
	err := errors.Join(load(file, source, entryFields, e), e.check(file))
	if err != nil {
		return nil, err
	}
	if e.AdvertiseInner == "" {
		e.AdvertiseInner = e.Inner
	}
	return e, nil
}

func (e *Entry) check(file string) error {
	return errors.Join(e.checkAdvertised(file), e.checkAddresses(file))
}

// checkAdvertised refuses an address under which nobody can reach this entry:
// guards would be told to link to their own machine.
func (e *Entry) checkAdvertised(file string) error {
	host, _, err := net.SplitHostPort(cmp.Or(e.AdvertiseInner, e.Inner))
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return nil
	}
	return &Error{File: file, Section: "listen", Key: "advertise_inner", Problem: host + " is no address that others can reach"}
}

func (e *Entry) checkAddresses(file string) error {
	return e.TLS.check(file, map[string][]string{
		"listen.callers": {e.Callers}, "listen.inner": {e.Inner}, "listen.admin": {e.Admin},
		"listen.advertise_inner": {e.AdvertiseInner}, "peers.addresses": e.Peers,
	})
}

// hash is a SHA-256 in lower-case hexadecimal.
func hash[T any](section, key, doc string, at func(*T) *string) field[T] {
	return field[T]{section: section, key: key, bounds: "64 lower-case hexadecimal digits", doc: doc,
		set: func(t *T, v string) error {
			if len(v) != 64 || strings.Trim(v, "0123456789abcdef") != "" {
				return errors.New("want 64 lower-case hexadecimal digits")
			}
			*at(t) = v
			return nil
		}}
}
