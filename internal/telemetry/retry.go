package telemetry

import "wigeontray/internal/errkind"

// RetryReason names why something was tried again.
type RetryReason uint8

// The closed list of reasons for sending work again. The first four count tasks that were sent
// to another guard, each after the first guard's final word that it will never
// start the task.
const (
	RetryBusy            RetryReason = iota // every slot of the worker was taken
	RetryDraining                           // the guard or its upstream is stopping
	RetryUpstreamRefused                    // the upstream took no connection
	RetryNotStarted                         // any other word that the task never started
	RetrySameGuard                          // a link returned and its open tasks were sent again
	RetryForward                            // the link to the owning entry broke
	retryCount
)

var retryNames = [retryCount]string{
	RetryBusy:            "busy",
	RetryDraining:        "draining",
	RetryUpstreamRefused: "upstream_refused",
	RetryNotStarted:      "not_started",
	RetrySameGuard:       "same_guard",
	RetryForward:         "forward",
}

// String gives the reason's word in counters.
func (r RetryReason) String() string { return retryNames[r] }

// RetryReasons lists every reason.
func RetryReasons() []RetryReason {
	out := make([]RetryReason, retryCount)
	for i := range out {
		out[i] = RetryReason(i)
	}
	return out
}

// RetryAfter gives the reason to count when a guard's final word of kind k
// lets the entry send the task to another guard.
func RetryAfter(k errkind.Kind) RetryReason {
	switch k {
	case errkind.Busy, errkind.Overloaded:
		return RetryBusy
	case errkind.Draining:
		return RetryDraining
	case errkind.UpstreamFailed, errkind.WorkerLost:
		return RetryUpstreamRefused
	default:
		return RetryNotStarted
	}
}
