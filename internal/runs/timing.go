package runs

import "time"

// Timing is the bounds in time that all entries and guards of a fleet share. What runs
// for an entry or a guard that is lost has ended within Loss, before its callers send
// their jobs again to another entry.
type Timing struct {
	// Lease is how long the worker goes on without word from the guard. A shorter one
	// frees the tasks of a lost guard sooner; it must outlast two renewals and a pause
	// of the guard's processor of about 100 ms.
	Lease time.Duration
	// Permit is how old the newest word of an entry may be while the guard works for
	// it. It outlasts two beats of the entry.
	Permit time.Duration
	// Beat is how often each end of a link with tasks is heard from.
	Beat time.Duration
}

// DefaultResend is when callers without an answer send a job again, where the settings
// do not say so.
const DefaultResend = 1300 * time.Millisecond

// LeastResend is the shortest such time for which the promise of Loss can be kept: a lease
// has to outlast two renewals. For callers that are still more hasty the times are those
// for LeastResend, and a job of a lost process may run beside its second run for the rest.
const LeastResend = 600 * time.Millisecond

// lossMargin is by how much Loss lies below the callers' time.
const lossMargin = 50 * time.Millisecond

// TimingFor gives the timing for callers that send a job again after resend. Callers
// that wait longer than the default change nothing: a loss is better noticed soon. For
// more hasty ones all times shrink alike, as a job that comes again while its first
// run lasts would run twice at once.
func TimingFor(resendDelay time.Duration) Timing {
	available := min(max(resendDelay, LeastResend), DefaultResend) - lossMargin - clockSkewMargin - MaxStopDelay
	permit := available * 6 / 11
	return Timing{Lease: available - permit, Permit: permit, Beat: permit / 3}
}

// OrDefault gives the timing for the default where none is set.
func (t Timing) OrDefault() Timing {
	if t == (Timing{}) {
		return TimingFor(DefaultResend)
	}
	return t
}

// Loss is how long after the loss of a guard its runs may go on: a guard that is cut
// off from an entry stops them when the permit ends; one that is gone lets the lease
// run out.
func (t Timing) Loss() time.Duration { return t.Permit + t.Lease + clockSkewMargin + MaxStopDelay }

// Stall is the pause after which an entry takes itself for having been frozen: its
// callers may have left and sent their jobs elsewhere meanwhile. It lies below Permit;
// a busy processor pauses for less.
func (t Timing) Stall() time.Duration { return t.Permit * 5 / 6 }
