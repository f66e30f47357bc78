package batch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a record of cancelled jobs that grows without bound, or that makes room by dropping an
// ID whose cancellation was acknowledged a moment ago.
func TestCancelledJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	var r CancelledJobs
	for i := range maxCancelledJobs {
		c.Assert(r.Add(time.Duration(i)*time.Millisecond, fmt.Sprint(i)), qt.IsTrue)
	}
	last := maxCancelledJobs * time.Millisecond
	c.Check(r.Add(last, "one more"), qt.IsFalse)
	c.Check(r.Has(last, "0"), qt.IsTrue)
	c.Check(r.Add(last, "0"), qt.IsTrue) // renewed
	c.Check(r.Has(cancelRecordAge, "1"), qt.IsTrue)
	c.Check(r.Add(cancelRecordAge+time.Millisecond, "one more"), qt.IsTrue)
	c.Check(r.Has(cancelRecordAge+time.Millisecond, "1"), qt.IsFalse)
	c.Check(r.Has(cancelRecordAge+time.Millisecond, "0"), qt.IsTrue)
	c.Check(r.IDs(last+cancelRecordAge-time.Millisecond), qt.DeepEquals, []string{"0", "one more"})
}
