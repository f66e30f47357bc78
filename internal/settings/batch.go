package settings

import (
	"time"
)

// BatchEntry holds the settings of an entry whose workers run tasks under leases.
type BatchEntry struct {
	Name          string
	FailureDomain string
	Callers       string // listening address
	Readiness     string // listening address
	Links         string // listening address for guards
	Advertised    string // address at which guards reach Links; Links itself if empty
	Metrics       string // listening address; empty for none
	Store         string // address of the platform's store
	Stop          time.Duration
	ResendDelay   time.Duration // delay after which callers without an answer resend a job
	Memory        int64         // megabytes
	Descriptors   int64         // most open at once; 0 for the operating system's limit
	// SharesByDemand divides scarce capacity among entries by what their callers ask for.
	SharesByDemand bool
	// SharesByCaller divides scarce capacity among callers in max-min shares.
	SharesByCaller bool
	// StrictOffers uses capacity that is offered for the most urgent tasks for nothing less urgent.
	StrictOffers bool
	Log          BoundedLog
}

// BatchGuard holds the settings of a guard whose worker runs tasks under leases.
type BatchGuard struct {
	Name        string
	Entries     []string // addresses of entries
	Reports     string   // listening address for the worker's reports
	Worker      string   // address of the worker
	Metrics     string   // listening address; empty for none
	Texts       string   // listening address for other guards; empty for none
	Store       string   // address of the platform's store
	Stop        time.Duration
	ResendDelay time.Duration // delay after which callers without an answer resend a job
	MaxLease    time.Duration // longest lease that the worker accepts
	Memory      int64         // megabytes
	Descriptors int64         // most open at once; 0 for the operating system's limit
	Log         BoundedLog
}

// BoundedLog holds the settings of a log with a limited volume.
type BoundedLog struct {
	Log
	BytesPerSecond int64 // sustained rate
	QueueBytes     int64 // maximum queued for the reader, and maximum burst
}

// resendDoc documents the resend time, which leases and heartbeats must fit into.
const resendDoc = "Time after which a caller without an answer sends its job again. What ran for a lost process has ended before it, unless it is below 600 ms."

// stopDoc documents the time limit of a planned stop.
const stopDoc = "Time from the request to stop until the process is killed."

var batchEntryFields = concat(
	[]field[BatchEntry]{
		nameField("node", "name", "Name of this process, unique in the fleet.", func(e *BatchEntry) *string { return &e.Name }).markRequired(),
		nameField("node", "failure_domain", "Failure domain of this process.", func(e *BatchEntry) *string { return &e.FailureDomain }).markRequired(),
		addressField("listen", "callers", "", "Address for callers.", func(e *BatchEntry) *string { return &e.Callers }).markRequired(),
		addressField("listen", "readiness", "", "Address for readiness.", func(e *BatchEntry) *string { return &e.Readiness }).markRequired(),
		addressField("listen", "links", "", "Address for guards.", func(e *BatchEntry) *string { return &e.Links }).markRequired(),
		addressField("listen", "links_advertised", "", "Address that is registered for guards, where it differs from links: behind an address translation or a relay.", func(e *BatchEntry) *string { return &e.Advertised }),
		addressField("listen", "metrics", "", "Address for counters; none if left out.", func(e *BatchEntry) *string { return &e.Metrics }),
		addressField("store", "address", "", "Address of the platform's store.", func(e *BatchEntry) *string { return &e.Store }).markRequired(),
	},
	batchLimitFields(func(e *BatchEntry) batchLimits {
		return batchLimits{&e.Stop, &e.ResendDelay, &e.Memory, &e.Descriptors}
	}),
	[]field[BatchEntry]{
		boolField("shares", "by_demand", "Divides scarce room among entries by what their callers ask for. Without it each entry gets an equal part.", func(e *BatchEntry) *bool { return &e.SharesByDemand }),
		boolField("shares", "by_caller", "Divides scarce room among callers, by the address that they send from: who asks for more than an equal share is served and refused after the others of the same priority. Without it the order of arrival decides alone.", func(e *BatchEntry) *bool { return &e.SharesByCaller }),
		boolField("urgent", "strict_offers", "Uses room that workers offer for the most urgent waiting tasks for nothing less urgent, and has it offered to equally urgent entries by arrival.", func(e *BatchEntry) *bool { return &e.StrictOffers }),
	},
	boundedLogFields(func(e *BatchEntry) *BoundedLog { return &e.Log }),
)

var batchGuardFields = concat(
	[]field[BatchGuard]{
		nameField("node", "name", "Name of this process, unique in the fleet.", func(g *BatchGuard) *string { return &g.Name }).markRequired(),
		addressListField("entries", "addresses", "Addresses of entries. Others are learned from them and from the store.", func(g *BatchGuard) *[]string { return &g.Entries }),
		addressField("listen", "reports", "", "Address for the reports of the worker on this VM.", func(g *BatchGuard) *string { return &g.Reports }).markRequired(),
		addressField("listen", "metrics", "", "Address for counters; none if left out.", func(g *BatchGuard) *string { return &g.Metrics }),
		addressField("listen", "texts", "", "Address at which other guards fetch texts of jobs, so that an entry with a thin link sends each text once; none if left out.", func(g *BatchGuard) *string { return &g.Texts }),
		addressField("worker", "address", "", "Address of the worker on this VM.", func(g *BatchGuard) *string { return &g.Worker }).markRequired(),
		addressField("store", "address", "", "Address of the platform's store.", func(g *BatchGuard) *string { return &g.Store }).markRequired(),
	},
	batchLimitFields(func(g *BatchGuard) batchLimits {
		return batchLimits{&g.Stop, &g.ResendDelay, &g.Memory, &g.Descriptors}
	}),
	[]field[BatchGuard]{
		millisField("limits", "max_lease_ms", 1000, 1, 3_600_000, "Longest lease that a worker accepts. What an order without an answer has started at a worker that has restarted under its id has ended by then.", func(g *BatchGuard) *time.Duration { return &g.MaxLease }),
	},
	boundedLogFields(func(g *BatchGuard) *BoundedLog { return &g.Log }),
)

// batchLimits are the targets of the limits that entries and guards have in common.
type batchLimits struct {
	stop, resend        *time.Duration
	memory, descriptors *int64
}

func batchLimitFields[T any](targets func(*T) batchLimits) []field[T] {
	stop := secondsField("limits", "stop_s", stopDoc, func(t *T) *time.Duration { return targets(t).stop })
	return []field[T]{
		stop.markRequired(),
		millisField("limits", "resend_ms", 1300, 1, 3_600_000, resendDoc, func(t *T) *time.Duration { return targets(t).resend }),
		integerField("limits", "memory_mb", "megabytes", 128, 32, 1<<20, "Memory of the process. Above half of it garbage is collected more often. The limits on connections and on the content of requests follow from it.",
			func(t *T) *int64 { return targets(t).memory }),
		descriptorsField(func(t *T) *int64 { return targets(t).descriptors }),
	}
}

func boundedLogFields[T any](target func(*T) *BoundedLog) []field[T] {
	return append(logFields(func(t *T) *Log { return &target(t).Log }),
		integerField("log", "bytes_per_second", "bytes/s", 32*kib, kib, 1<<30, "Most that is written in the long run. What exceeds it is dropped, routine lines first, and counted in a line. A line has about 250 bytes.",
			func(t *T) *int64 { return &target(t).BytesPerSecond }),
		integerField("log", "queue_bytes", "bytes", 512*kib, 16*kib, 1<<30, "Most that waits for the reader of the log, and that may come at once.",
			func(t *T) *int64 { return &target(t).QueueBytes }))
}

// LoadBatchEntry reads and validates the settings file of an entry.
func LoadBatchEntry(path string) (*BatchEntry, error) {
	return loadTable(path, path, batchEntryFields)
}

// LoadBatchGuard reads and validates the settings file of a guard.
func LoadBatchGuard(path string) (*BatchGuard, error) {
	return loadTable(path, path, batchGuardFields)
}

func loadTable[T any](file string, source any, fields []field[T]) (*T, error) {
	t := new(T)
	applyDefaults(fields, t)
	if err := load(file, source, fields, t); err != nil {
		return nil, err
	}
	return t, nil
}
