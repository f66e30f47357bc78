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
		c.Check(timing.MaxOrphanAge() < resend, qt.IsTrue, qt.Commentf("%v: %+v", resend, timing))
		c.Check(timing.PeerTimeout > 2*timing.BeatInterval, qt.IsTrue)
		c.Check(timing.FreezeThreshold() < timing.PeerTimeout, qt.IsTrue)
		c.Check(timing.Lease > 2*renewInterval+requestTimeout, qt.IsTrue, qt.Commentf("%v: %+v", resend, timing))
	}
	c.Check(TimingFor(time.Millisecond), qt.Equals, TimingFor(MinResendDelay))
	c.Check(TimingFor(DefaultResendDelay), qt.Equals, Timing{Lease: 500 * time.Millisecond, PeerTimeout: 600 * time.Millisecond, BeatInterval: 200 * time.Millisecond})
}
