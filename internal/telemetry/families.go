package telemetry

// Counter identifies a metric that only increases.
type Counter uint8

// Counters. Frames and bytes are those of the inner protocol; bytes count the payload of
// WebSocket messages.
const (
	JobsAccepted Counter = iota
	JobsAnswered
	JobsFailed
	JobsCancelled
	JobsResubmitted
	JobsForwarded
	TasksStarted
	TasksAnswered
	TasksNotStarted
	GuardsLost
	GuardsLeft
	LinksOpened
	LinksLost
	LinksRefused
	TextsFetched
	TextFetchesFailed
	ConfigCopiesSent
	ConfigCopiesDelayed
	LinksRevoked
	HandshakesFailed
	FramesOut
	FramesIn
	BytesOut
	BytesIn
	FramesUnknown
	FramesRefused
	ConfigsApplied
	MalformedItems
	CallersDisconnected
	UnknownOrders
	RequestsEvicted
	RequestsOverMemory
	ConnectionsEvicted
	counterCount
)

// Gauge identifies a metric that can increase and decrease.
type Gauge uint8

// Gauges.
const (
	Ready Gauge = iota
	ConfigRevision
	Guards
	Peers
	JobsOpen
	JobsHeld
	RosterVersion
	Waiters
	LinkBandwidth
	DomainsDrained
	RequestBytes
	gaugeCount
)

// Latency identifies a histogram of durations.
type Latency uint8

// Latencies.
const (
	JobLatency Latency = iota
	TaskQueueLatency
	TaskRunLatency
	latencyCount
)

// Family types in the exposition format.
const (
	TypeCounter   = "counter"
	TypeGauge     = "gauge"
	TypeHistogram = "histogram"
)

// Family describes one metric family of the exposition.
type Family struct {
	Name  string
	Type  string // one of the Type constants
	Label string // name of its only label, or empty
	Help  string
}

// Names of the families with a label.
const (
	refusalsName = "wigeontray_refusals_total"
	failuresName = "wigeontray_task_failures_total"
	retriesName  = "wigeontray_retries_total"
	waitsName    = "wigeontray_wait_refusals_total"
	offersName   = "wigeontray_offers_total"
	buildName    = "wigeontray_build_info"
)

// Shares of the capacity with which a wait is estimated, as the metrics and logs name them.
const (
	ShareEqual    = "equal"
	ShareByDemand = "demand"
)

// Orders of offers among equally urgent entries, as the metrics and logs name them.
const (
	OfferAlone     = "none" // only one entry waited
	OfferInTurn    = "turn"
	OfferByArrival = "arrival"
)

var counterFamilies = [counterCount]Family{
	JobsAccepted:        {Name: "wigeontray_jobs_accepted_total", Help: "Jobs admitted."},
	JobsAnswered:        {Name: "wigeontray_jobs_answered_total", Help: "Jobs that ended with every task's result."},
	JobsFailed:          {Name: "wigeontray_jobs_failed_total", Help: "Admitted jobs that ended marked failed."},
	JobsCancelled:       {Name: "wigeontray_jobs_cancelled_total", Help: "Admitted jobs that their caller cancelled."},
	JobsResubmitted:     {Name: "wigeontray_jobs_resubmitted_total", Help: "Submissions of an identity that was known already; nothing was started for them."},
	JobsForwarded:       {Name: "wigeontray_jobs_forwarded_total", Help: "Requests passed to the entry that owns their identity."},
	TasksStarted:        {Name: "wigeontray_tasks_started_total", Help: "Starts sent to guards, repeated ones among them."},
	TasksAnswered:       {Name: "wigeontray_tasks_answered_total", Help: "Tasks whose upstream answered."},
	TasksNotStarted:     {Name: "wigeontray_tasks_not_started_total", Help: "Tasks of which a guard said that it will never start them."},
	GuardsLost:          {Name: "wigeontray_guards_lost_total", Help: "Guards whose link broke without a planned stop."},
	GuardsLeft:          {Name: "wigeontray_guards_left_total", Help: "Guards that announced a planned stop."},
	LinksOpened:         {Name: "wigeontray_links_opened_total", Help: "Links opened to guards, entries or peers."},
	LinksLost:           {Name: "wigeontray_links_lost_total", Help: "Links that ended for any reason."},
	TextsFetched:        {Name: "wigeontray_texts_fetched_total", Help: "Texts of jobs that a guard got from another guard."},
	TextFetchesFailed:   {Name: "wigeontray_texts_missed_total", Help: "Texts of jobs that a guard did not get from another guard; their entry sends them."},
	ConfigCopiesSent:    {Name: "wigeontray_config_copies_sent_total", Help: "Copies of the configuration that an entry sent to guards."},
	ConfigCopiesDelayed: {Name: "wigeontray_config_copies_delayed_total", Help: "Requests of guards for a copy of the configuration that were not answered, as too many copies were sent lately; the guard asks again."},
	LinksRefused:        {Name: "wigeontray_links_refused_total", Help: "Links that ended at their first frame: a wrong key, a version too far away or claims beyond the limits."},
	LinksRevoked:        {Name: "wigeontray_links_revoked_total", Help: "Links of guards that were closed because their member's record no longer lists their key."},
	HandshakesFailed:    {Name: "wigeontray_tls_handshakes_failed_total", Help: "Connections that ended in their TLS handshake, such as those with a certificate of another authority."},
	FramesOut:           {Name: "wigeontray_frames_out_total", Help: "Frames sent on links."},
	FramesIn:            {Name: "wigeontray_frames_in_total", Help: "Frames received on links."},
	BytesOut:            {Name: "wigeontray_bytes_out_total", Help: "Payload bytes sent on links."},
	BytesIn:             {Name: "wigeontray_bytes_in_total", Help: "Payload bytes received on links."},
	FramesUnknown:       {Name: "wigeontray_frames_unknown_total", Help: "Frames of a kind that only a newer version knows; they were passed over."},
	FramesRefused:       {Name: "wigeontray_frames_refused_total", Help: "Frames that their sender may not send: of a guard whose key is not verified yet, of the other kind of link, or about another member's job. They had no effect."},
	ConfigsApplied:      {Name: "wigeontray_configs_applied_total", Help: "Configuration snapshots put in force."},
	MalformedItems:      {Name: "wigeontray_foreign_items_total", Help: "Reports of workers, stored reports and listed addresses that are not of the expected form; they were passed over."},
	UnknownOrders:       {Name: "wigeontray_orders_unknown_total", Help: "Orders of the operators that were read and that this version has no meaning for; the log names their keys."},
	RequestsEvicted:     {Name: "wigeontray_requests_evicted_total", Help: "Requests that were dropped before they had arrived completely, as the memory for requests was used up and others arrived faster or were smaller."},
	RequestsOverMemory:  {Name: "wigeontray_requests_over_memory_total", Help: "Requests that were refused as the memory for requests was used up."},
	ConnectionsEvicted:  {Name: "wigeontray_connections_evicted_total", Help: "Connections that waited for their client and were closed for new ones, at the limit on connections."},
	CallersDisconnected: {Name: "wigeontray_callers_gone_total", Help: "Requests that were read after their caller had ended the connection; nothing was started for them."},
}

var gaugeFamilies = [gaugeCount]Family{
	Ready:          {Name: "wigeontray_ready", Help: "1 while the process takes new work, else 0."},
	ConfigRevision: {Name: "wigeontray_config_revision", Help: "Store revision of the configuration in force."},
	Guards:         {Name: "wigeontray_guards", Help: "Guards linked now."},
	Peers:          {Name: "wigeontray_peers", Help: "Entries linked now."},
	JobsOpen:       {Name: "wigeontray_jobs_open", Help: "Jobs admitted and not yet answered."},
	JobsHeld:       {Name: "wigeontray_jobs_held", Help: "Job records held for resubmissions."},
	RosterVersion:  {Name: "wigeontray_roster_version", Help: "Version of the newest roster known."},
	Waiters:        {Name: "wigeontray_waiters", Help: "Callers' requests open now."},
	DomainsDrained: {Name: "wigeontray_domains_drained", Help: "Failure domains that the operators drain, as far as this process knows."},
	RequestBytes:   {Name: "wigeontray_request_bytes", Help: "Memory that requests take beyond what each connection includes."},
	LinkBandwidth:  {Name: "wigeontray_link_bytes_per_second", Help: "Bandwidth from this entry to its guards in bytes a second, once it has been found to be thin; 0 before."},
}

var latencyFamilies = [latencyCount]Family{
	JobLatency:       {Name: "wigeontray_job_seconds", Help: "Time from admission of a job to its answer."},
	TaskQueueLatency: {Name: "wigeontray_task_queue_seconds", Help: "Time a task waited for a slot."},
	TaskRunLatency:   {Name: "wigeontray_task_run_seconds", Help: "Time a task took on its upstream."},
}

var labelledFamilies = []Family{
	{Name: refusalsName, Type: TypeCounter, Label: "kind", Help: "Requests refused, by error kind; none was admitted."},
	{Name: failuresName, Type: TypeCounter, Label: "kind", Help: "Tasks of admitted jobs that ended without a result, by error kind."},
	{Name: retriesName, Type: TypeCounter, Label: "reason", Help: "Retries, by reason."},
	{Name: waitsName, Type: TypeCounter, Label: "share", Help: "Requests refused for the time that they would have waited for room, by the share of the room that the time was estimated with: equal or by demand."},
	{Name: offersName, Type: TypeCounter, Label: "order", Help: "Offers of freed room to entries, by the order among equally urgent ones: turn or arrival; none if only one waited."},
	{Name: buildName, Type: TypeGauge, Label: "version", Help: "Always 1; the label is the version of the binary."},
}

var processFamilies = []Family{
	{Name: "go_goroutines", Type: TypeGauge, Help: "Goroutines."},
	{Name: "go_heap_bytes", Type: TypeGauge, Help: "Bytes of live and dead objects on the heap."},
	{Name: "go_heap_live_bytes", Type: TypeGauge, Help: "Bytes of the heap that were reachable at the last collection."},
	{Name: "go_stack_bytes", Type: TypeGauge, Help: "Memory of goroutines' stacks."},
	{Name: "process_resident_memory_bytes", Type: TypeGauge, Help: "Resident memory."},
	{Name: "process_cpu_seconds_total", Type: TypeCounter, Help: "User and system processor time."},
	{Name: "process_start_time_seconds", Type: TypeGauge, Help: "Start of the process, in seconds of the Unix epoch."},
}

// Families returns all families of the exposition.
func Families() []Family {
	var out []Family
	for _, f := range counterFamilies {
		f.Type = TypeCounter
		out = append(out, f)
	}
	for _, f := range gaugeFamilies {
		f.Type = TypeGauge
		out = append(out, f)
	}
	for _, f := range latencyFamilies {
		f.Type = TypeHistogram
		out = append(out, f)
	}
	out = append(out, labelledFamilies...)
	return append(out, processFamilies...)
}
