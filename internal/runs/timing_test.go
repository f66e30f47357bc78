package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against overlapping runs in a deployment whose callers resend their jobs sooner than the
// default. A run that a lost guard left behind must have ended by then, or the job would make its
// booking twice.
func TestOrphanedRunsEndBeforeCallersResend(t *testing.T) {
	c := qt.New(t)
	for _, resend := range []time.Duration{600, 700, 1000, 1299, 1300, 5000} {
		resend *= time.Millisecond
		timing := TimingFor(resend)
		c.Check(timing.Loss() < resend, qt.IsTrue, qt.Commentf("%v: %+v", resend, timing))
		c.Check(timing.Permit > 2*timing.Beat, qt.IsTrue)
		c.Check(timing.Stall() < timing.Permit, qt.IsTrue)
		c.Check(timing.Lease > 2*renewInterval+requestTimeout, qt.IsTrue, qt.Commentf("%v: %+v", resend, timing))
	}
	c.Check(TimingFor(time.Millisecond), qt.Equals, TimingFor(LeastResend))
	c.Check(TimingFor(DefaultResend), qt.Equals, Timing{Lease: 500 * time.Millisecond, Permit: 600 * time.Millisecond, Beat: 200 * time.Millisecond})
}
