package replay

import (
	"bytes"
	"fmt"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// maxViolations limits the list of violations, as one faulty rule usually causes many of them.
const maxViolations = 20

// invariantChecker checks the invariants of every replay, independent of the
// outcomes that its trace states: no task starts twice, an answer is complete or
// an error, a task reported as not run never runs, and each request is answered
// exactly once, before its time limit, and as soon as its last result arrives.
type invariantChecker struct {
	violations     []string
	startedOn      map[wire.Ref]identity.Incarnation
	reportedNotRun map[wire.Ref]bool                              // reported to a caller
	refusedBy      map[wire.Ref]map[identity.Incarnation]struct{} // guards that refused the task as not run
	finishedJobs   map[dispatch.JobID]bool
	lastResultAt   map[string]time.Time // by job key: arrival of the latest task result
}

func (c *invariantChecker) init() {
	c.startedOn = make(map[wire.Ref]identity.Incarnation)
	c.reportedNotRun = make(map[wire.Ref]bool)
	c.refusedBy = make(map[wire.Ref]map[identity.Incarnation]struct{})
	c.finishedJobs = make(map[dispatch.JobID]bool)
	c.lastResultAt = make(map[string]time.Time)
}

func (c *invariantChecker) addViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *invariantChecker) recordStart(g identity.Incarnation, r wire.Ref) {
	if first, ok := c.startedOn[r]; ok {
		c.addViolation("task %s/%d started on %s and again on %s", r.Key, r.Task, first, g)
	}
	if c.reportedNotRun[r] {
		c.addViolation("task %s/%d started on %s after it was reported as not run to the caller", r.Key, r.Task, g)
	}
	if _, ok := c.refusedBy[r][g]; ok {
		c.addViolation("task %s/%d started on %s after that guard refused it as not run", r.Key, r.Task, g)
	}
	c.startedOn[r] = g
}

// recordResult records the arrival of a task result at an entry.
func (c *invariantChecker) recordResult(now time.Time, r *wire.Result) {
	c.lastResultAt[r.Ref.Key] = now
}

// recordRefusal records that a guard reports a task as not run, at the time it
// sends the result.
func (c *invariantChecker) recordRefusal(g identity.Incarnation, r wire.Ref) {
	if c.startedOn[r] == g {
		c.addViolation("guard %s reported task %s/%d as not run after it started the task", g, r.Key, r.Task)
	}
	if c.refusedBy[r] == nil {
		c.refusedBy[r] = make(map[identity.Incarnation]struct{})
	}
	c.refusedBy[r][g] = struct{}{}
}

// checkOutcome checks the outcome that a dispatcher reports for a job.
func (c *invariantChecker) checkOutcome(now time.Time, o *dispatch.Outcome) {
	if c.finishedJobs[o.ID] {
		c.addViolation("job %s finished twice", o.ID.Key)
	}
	c.finishedJobs[o.ID] = true
	if o.Err == nil {
		c.checkResults(now, o)
		return
	}
	if o.Results != nil {
		c.addViolation("job %s failed but has results", o.ID.Key)
	}
	for _, f := range o.Failures {
		c.checkRanClaim(wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: f.Task}, f.Ran)
	}
}

// checkResults checks that each result belongs to its task and that the answer
// is sent as soon as the last result arrives.
func (c *invariantChecker) checkResults(now time.Time, o *dispatch.Outcome) {
	for i, r := range o.Results {
		ref := wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: i}
		if !bytes.Equal(r.Body, echoBody(ref)) {
			c.addViolation("job %s: result %d is %q", o.ID.Key, i, r.Body)
		}
	}
	if !c.lastResultAt[o.ID.Key].Equal(now) {
		c.addViolation("job %s: answer delayed after its last result", o.ID.Key)
	}
}

// checkRanClaim compares the ran status that an answer reports for a task with
// the starts so far. It also stores a "not run", so that a later start of the
// task is detected.
func (c *invariantChecker) checkRanClaim(r wire.Ref, ran errkind.Ran) {
	_, wasStarted := c.startedOn[r]
	switch ran {
	case errkind.RanNo:
		if wasStarted {
			c.addViolation("task %s/%d ran, but was reported as not run to the caller", r.Key, r.Task)
		}
		c.reportedNotRun[r] = true
	case errkind.RanYes:
		if !wasStarted {
			c.addViolation("task %s/%d never ran, but was reported as run to the caller", r.Key, r.Task)
		}
	}
}

// answered checks an answer when it reaches its caller.
func (c *invariantChecker) answered(sim *simulation, call *call) {
	a, j := call.answer, call.job
	if call.answerCount > 1 {
		c.addViolation("request for %s answered %d times", j.name, call.answerCount)
	}
	if a.kind == errkind.None && len(a.results) != len(j.req.Tasks) {
		c.addViolation("answer to %s has %d of %d results", j.name, len(a.results), len(j.req.Tasks))
	}
	if a.ran == errkind.RanNo {
		for i := range j.req.Tasks {
			c.checkRanClaim(wire.Ref{Member: j.member, Key: j.key, Task: i}, errkind.RanNo)
		}
	}
	if lateness := call.answered.Sub(call.sentAt.Add(j.req.Deadline + sim.answerSlack(j) + call.entry.pausedTime)); lateness > 0 {
		c.addViolation("answer to %s arrived %v after the deadline plus one task run time", j.name, lateness)
	}
}

// checkUnanswered checks at the end of a replay that each call was answered or
// lost its connection.
func (c *invariantChecker) checkUnanswered(calls []*call) {
	for _, call := range calls {
		if call.answerCount == 0 && !call.isConnectionLost {
			c.addViolation("request for %s was never answered", call.job.name)
		}
	}
}
