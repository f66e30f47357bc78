package telemetry

import "wigeontray/internal/errkind"

// RetryReason is the reason of a retry.
type RetryReason uint8

// The reasons of retries. The first four count tasks that were sent to another guard, each
// after the first guard's final result that it will never start the task.
const (
	RetryBusy            RetryReason = iota // every slot of the worker was in use
	RetryDraining                           // the guard or its upstream is stopping
	RetryUpstreamRefused                    // the upstream refused the connection
	RetryNotStarted                         // any other result with which the guard never starts the task
	RetrySameGuard                          // a link reconnected and its open tasks were sent again
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

// String returns the name used in metrics.
func (r RetryReason) String() string { return retryNames[r] }

// RetryReasons returns all reasons.
func RetryReasons() []RetryReason {
	out := make([]RetryReason, retryCount)
	for i := range out {
		out[i] = RetryReason(i)
	}
	return out
}

// RetryAfter returns the reason to count when a guard's final result of kind k allows the
// entry to send the task to another guard.
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
