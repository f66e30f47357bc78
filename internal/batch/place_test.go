package batch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An entry loses its power and its log with it. What it had sent is known to the
// guards by the job's identity; without the caller's name for the request nobody
// can say which request that was.
func TestGuardsAreToldTheNameOfTheRequest(t *testing.T) {
	m := oneWorker()
	job := testJob("job", 2, 4000)
	job.Request = "request-1"
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	sent := 0
	for _, a := range m.Actions(0) {
		if a.Frame != nil && a.Frame.RunTasks != nil {
			sent++
			qt.Check(t, a.Frame.RunTasks.Request, qt.Equals, "request-1")
		}
	}
	qt.Check(t, sent, qt.Equals, 1)
}
