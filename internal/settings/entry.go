package settings

import (
	"cmp"
	"errors"
	"net"
	"strings"
	"time"
)

// Entry holds the settings of `wigeontray serve`.
type Entry struct {
	Name          string
	Region        string
	FailureDomain string

	Callers string // listening addresses
	Inner   string
	Admin   string
	// AdvertiseInner is the address at which guards and peers reach Inner; Inner itself if
	// empty.
	AdvertiseInner string

	Peers []string // inner addresses, used until the roster is known

	Store  Store
	Roster Roster
	TLS    TLS
	Fleet  Fleet
	// ConfigKeyFile is the path of the file with the key that encrypts and authenticates
	// configuration snapshots; empty for none.
	ConfigKeyFile string
	Operators     Operators
	Limits        EntryLimits
	Log           Log
}

// Store holds the settings of the connection to the platform's store.
type Store struct {
	Endpoints      []string
	Timeout        time.Duration
	CallsPerSecond int64
	VerifyEvery    time.Duration
}

// Roster holds the settings of how entries share the ownership of plain identities.
type Roster struct {
	// Ceiling is the longest time for which plain identities are served without the store,
	// and the longest time for which they are refused after all entries of the region were
	// lost at once.
	Ceiling time.Duration
}

// Operators holds the credentials that give the consortium's operators access before any
// record exists.
type Operators struct {
	// ConsortiumTokenSHA256 is the hash of the token that may amend member records; empty
	// for none.
	ConsortiumTokenSHA256 string
}

// EntryLimits bounds the resources of an entry.
type EntryLimits struct {
	MaxBodyBytes    int64 // maximum bytes of a submission
	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	ResponseTimeout time.Duration // for the client to receive what was written last
	IdleTimeout     time.Duration
	MaxConnections  int64
	MaxOpenRequests int64         // maximum for one member
	MaxOpenBytes    int64         // maximum bytes of the bodies of one member's open requests
	Retention       time.Duration // of the record of a finished job
	MaxAnswerBytes  int64         // maximum bytes of the stored answers of one member
	MaxRecords      int64         // maximum job records of one member
	Memory          int64         // soft memory limit of the process, in bytes
	Descriptors     int64         // most open at once; 0 for the operating system's limit
	DrainTimeout    time.Duration
}

var entryFields = concat(
	[]field[Entry]{
		nameField("node", "name", "Name of this process, unique in the fleet.", func(e *Entry) *string { return &e.Name }).markRequired(),
		nameField("node", "region", "Region of this process.", func(e *Entry) *string { return &e.Region }).markRequired(),
		nameField("node", "failure_domain", "Failure domain of this process.", func(e *Entry) *string { return &e.FailureDomain }).markRequired(),
		addressField("listen", "callers", "", "Address for callers.", func(e *Entry) *string { return &e.Callers }).markRequired(),
		addressField("listen", "inner", "", "Address for guards and other entries.", func(e *Entry) *string { return &e.Inner }).markRequired(),
		addressField("listen", "admin", "127.0.0.1:7003", "Address for operators, health, readiness and counters.", func(e *Entry) *string { return &e.Admin }),
		addressField("listen", "advertise_inner", "", "Address under which guards and other entries reach `inner`; `inner` itself if left out.", func(e *Entry) *string { return &e.AdvertiseInner }),
		addressListField("peers", "addresses", "Inner addresses of other entries, used until the roster in the store is known.", func(e *Entry) *[]string { return &e.Peers }),
		urlListField("store", "endpoints", "Endpoints of the platform's store.", func(e *Entry) *[]string { return &e.Store.Endpoints }).markRequired(),
		millisField("store", "timeout_ms", 2000, 50, 60_000, "Time for one call of the store.", func(e *Entry) *time.Duration { return &e.Store.Timeout }),
		integerField("store", "calls_per_second", "calls/s", 50, 1, 2000, "Most calls of the store by this process. A call over it waits.", func(e *Entry) *int64 { return &e.Store.CallsPerSecond }),
		millisField("store", "verify_every_ms", 2000, 100, 60_000, "Time between checks that the watch of the store has left out no change.", func(e *Entry) *time.Duration { return &e.Store.VerifyEvery }),
		millisField("roster", "ceiling_ms", 3_600_000, 10_000, 86_400_000, "Time for which entries promise ahead in the store. Identities without a home are served that long in an outage of the store, and refused that long at most after all entries of the region were lost at once. A site with one entry sets a short one.", func(e *Entry) *time.Duration { return &e.Roster.Ceiling }),
	},
	tlsFields(func(e *Entry) *TLS { return &e.TLS }),
	fleetFields("File with the key that all entries share; at least 16 bytes. A link of an entry whose key differs is refused, and so is one of a guard whose member lists no guard key.",
		func(e *Entry) *Fleet { return &e.Fleet }),
	[]field[Entry]{
		textField("fleet", "config_key_file", "", "File with the key that all entries, and no guard, share; at least 16 bytes. With it guards keep the configuration, sealed, for entries that start while the store is down.", func(e *Entry) *string { return &e.ConfigKeyFile }),
		sha256Field("operators", "consortium_token_sha256", "SHA-256, in hexadecimal, of the token that may create, amend and delete member records.", func(e *Entry) *string { return &e.Operators.ConsortiumTokenSHA256 }),
		integerField("limits", "body_bytes", "bytes", 8*mib, kib, 64*mib, "Largest body of a submission; at most a 32nd of the memory.", func(e *Entry) *int64 { return &e.Limits.MaxBodyBytes }),
		headerTimeoutField(func(e *Entry) *time.Duration { return &e.Limits.HeaderTimeout }),
		millisField("limits", "body_timeout_ms", 30_000, 100, 600_000, "Time in which a caller must have sent its request's body, from the end of the header.", func(e *Entry) *time.Duration { return &e.Limits.BodyTimeout }),
		millisField("limits", "response_timeout_ms", 120_000, 100, 3_600_000, "Time in which a caller must have received its response, once it is being written.", func(e *Entry) *time.Duration { return &e.Limits.ResponseTimeout }),
		millisField("limits", "idle_timeout_ms", 120_000, 1000, 3_600_000, "Time after which an idle connection of a caller is closed.", func(e *Entry) *time.Duration { return &e.Limits.IdleTimeout }),
		integerField("limits", "connections", "connections", 10_000, 1, 1_000_000, "Most connections of callers at once; fewer if the memory or the descriptors allow fewer. From three quarters of them on, each is closed after its answer, and at the limit those that wait for their caller are closed for new ones.", func(e *Entry) *int64 { return &e.Limits.MaxConnections }),
		integerField("limits", "open_requests", "requests", 4000, 1, 1_000_000, "Most requests of one member open at once; at most 40% of the connections, so that one member's flood leaves the others room.", func(e *Entry) *int64 { return &e.Limits.MaxOpenRequests }),
		integerField("limits", "open_bytes", "bytes", 64*mib, mib, 16<<30, "Most bytes of bodies in one member's open requests.", func(e *Entry) *int64 { return &e.Limits.MaxOpenBytes }),
		millisField("limits", "retention_ms", 600_000, 1000, 86_400_000, "Time for which a finished job is remembered, so that a resubmission gets its answer.", func(e *Entry) *time.Duration { return &e.Limits.Retention }),
		integerField("limits", "answer_bytes", "bytes", 64*mib, mib, 16<<30, "Memory for answers of finished jobs, for each member; at most a 16th of the memory. The oldest go first; the jobs stay known.", func(e *Entry) *int64 { return &e.Limits.MaxAnswerBytes }),
		integerField("limits", "records", "jobs", 1_000_000, 1000, 100_000_000, "Most jobs of one member remembered at once; at most one for each 4 KiB of the memory.", func(e *Entry) *int64 { return &e.Limits.MaxRecords }),
		memoryField(NoMemoryLimit, func(e *Entry) *int64 { return &e.Limits.Memory }),
		descriptorsField(func(e *Entry) *int64 { return &e.Limits.Descriptors }),
		millisField("limits", "drain_timeout_ms", 30_000, 0, 600_000, "Longest time that a planned stop waits for requests in flight.", func(e *Entry) *time.Duration { return &e.Limits.DrainTimeout }),
	},
	logFields(func(e *Entry) *Log { return &e.Log }),
)

func concat[T any](lists ...[]field[T]) []field[T] {
	var out []field[T]
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// ConfigKey reads the key that encrypts and authenticates configuration snapshots. It is
// empty without a ConfigKeyFile.
func (e *Entry) ConfigKey() (string, error) { return readKey("config_key_file", e.ConfigKeyFile) }

// DefaultEntry returns the defaults. Names and addresses without a default are empty.
func DefaultEntry() *Entry {
	e := new(Entry)
	applyDefaults(entryFields, e)
	return e
}

// LoadEntry reads and validates the settings file of an entry.
func LoadEntry(path string) (*Entry, error) { return parseEntry(path, path) }

func parseEntry(file string, source any) (*Entry, error) {
	e := DefaultEntry()
	err := errors.Join(load(file, source, entryFields, e), e.validate(file))
	if err != nil {
		return nil, err
	}
	if e.AdvertiseInner == "" {
		e.AdvertiseInner = e.Inner
	}
	return e, nil
}

func (e *Entry) validate(file string) error {
	return errors.Join(e.validateAdvertised(file), e.validateAddresses(file))
}

// validateAdvertised rejects an advertised address that others cannot reach: with an
// unspecified address guards would connect to their own machine.
func (e *Entry) validateAdvertised(file string) error {
	host, _, err := net.SplitHostPort(cmp.Or(e.AdvertiseInner, e.Inner))
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return nil
	}
	return &Error{File: file, Section: "listen", Key: "advertise_inner", Problem: host + " is no address that others can reach"}
}

func (e *Entry) validateAddresses(file string) error {
	return e.TLS.validate(file, map[string][]string{
		"listen.callers": {e.Callers}, "listen.inner": {e.Inner}, "listen.admin": {e.Admin},
		"listen.advertise_inner": {e.AdvertiseInner}, "peers.addresses": e.Peers,
	})
}

// sha256Field is a SHA-256 hash in lower-case hexadecimal.
func sha256Field[T any](section, key, doc string, target func(*T) *string) field[T] {
	return field[T]{section: section, key: key, allowed: "64 lower-case hexadecimal digits", doc: doc,
		set: func(t *T, v string) error {
			if len(v) != 64 || strings.Trim(v, "0123456789abcdef") != "" {
				return errors.New("want 64 lower-case hexadecimal digits")
			}
			*target(t) = v
			return nil
		}}
}
