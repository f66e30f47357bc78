package runs

import "time"

// Timing holds the durations that all entries and guards of a fleet share. The runs of a lost
// entry or guard end within MaxOrphanAge, before callers resend their jobs to another entry.
type Timing struct {
	// Lease is how long the worker continues its runs without a renewal by the guard. A
	// shorter lease frees the tasks of a lost guard sooner. It must be longer than two
	// renewals plus a pause of the guard's processor of about 100 ms.
	Lease time.Duration
	// PeerTimeout is the maximum age of the newest frame from an entry for which the guard
	// executes tasks. It is longer than two heartbeats of the entry.
	PeerTimeout time.Duration
	// BeatInterval is the heartbeat interval of both ends of a link with tasks.
	BeatInterval time.Duration
}

// DefaultResendDelay is the delay after which callers resend an unanswered job, unless the
// settings give another one.
const DefaultResendDelay = 1300 * time.Millisecond

// MinResendDelay is the shortest resend delay for which runs can be guaranteed to end before
// the job is resent, because a lease must be longer than two renewals. Callers that resend sooner
// get the timing for MinResendDelay: the run of a lost process may then overlap with the run of
// the resent job until MaxOrphanAge has passed.
const MinResendDelay = 600 * time.Millisecond

// resendMargin is the time between MaxOrphanAge and the resend delay.
const resendMargin = 50 * time.Millisecond

// TimingFor returns the timing for callers that resend a job after resendDelay. A delay above
// DefaultResendDelay gives the same timing as DefaultResendDelay, because a loss is better detected
// early. For a shorter delay all durations shrink in proportion, because a job that is resent
// during its first run would run twice at the same time.
func TimingFor(resendDelay time.Duration) Timing {
	available := min(max(resendDelay, MinResendDelay), DefaultResendDelay) - resendMargin - clockSkewMargin - MaxStopDelay
	peerTimeout := available * 6 / 11
	return Timing{Lease: available - peerTimeout, PeerTimeout: peerTimeout, BeatInterval: peerTimeout / 3}
}

// OrDefault returns t, or the timing for DefaultResendDelay if t is the zero value.
func (t Timing) OrDefault() Timing {
	if t == (Timing{}) {
		return TimingFor(DefaultResendDelay)
	}
	return t
}

// MaxOrphanAge returns the longest time for which runs may continue after their guard was lost. A
// guard that is cut off from an entry stops the runs after PeerTimeout; if the guard has failed,
// the lease expires.
func (t Timing) MaxOrphanAge() time.Duration {
	return t.PeerTimeout + t.Lease + clockSkewMargin + MaxStopDelay
}

// FreezeThreshold returns the pause after which an entry assumes that its process was frozen, so
// that callers may have disconnected and resent their jobs elsewhere. It is shorter than
// PeerTimeout and longer than the pauses of a busy processor.
func (t Timing) FreezeThreshold() time.Duration { return t.PeerTimeout * 5 / 6 }
