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

// maxViolations bounds the list: one broken rule tends to break everywhere.
const maxViolations = 20

// invariantChecker watches the promises that hold in every replay, whatever its trace
// states: no task starts twice, answers are whole or failed, "not run" is true,
// each request is answered once, in time, and as soon as its answer is known.
type invariantChecker struct {
	violations     []string
	startedOn      map[wire.Ref]identity.Incarnation
	reportedNotRun map[wire.Ref]bool                              // claimed by an answer to a caller
	refusedBy      map[wire.Ref]map[identity.Incarnation]struct{} // claimed by a guard
	finishedJobs   map[dispatch.JobID]bool
	lastResultAt   map[string]time.Time // by key: when the newest task result came
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
		c.addViolation("task %s/%d started on %s after the caller was told that it never ran", r.Key, r.Task, g)
	}
	if _, ok := c.refusedBy[r][g]; ok {
		c.addViolation("task %s/%d started on %s after that guard's final word", r.Key, r.Task, g)
	}
	c.startedOn[r] = g
}

// handleResult notes a guard's word as it reaches an entry.
func (c *invariantChecker) recordResult(now time.Time, r *wire.Result) {
	c.lastResultAt[r.Ref.Key] = now
}

// reportRefusal notes a guard's final word as it leaves the guard.
func (c *invariantChecker) recordRefusal(g identity.Incarnation, r wire.Ref) {
	if c.startedOn[r] == g {
		c.addViolation("guard %s denies its start of %s/%d", g, r.Key, r.Task)
	}
	if c.refusedBy[r] == nil {
		c.refusedBy[r] = make(map[identity.Incarnation]struct{})
	}
	c.refusedBy[r][g] = struct{}{}
}

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
		c.addViolation("job %s failed and has results", o.ID.Key)
	}
	for _, f := range o.Failures {
		c.checkRanClaim(wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: f.Task}, f.Ran)
	}
}

func (c *invariantChecker) checkResults(now time.Time, o *dispatch.Outcome) {
	for i, r := range o.Results {
		ref := wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: i}
		if !bytes.Equal(r.Body, echoBody(ref)) {
			c.addViolation("job %s: result %d is %q", o.ID.Key, i, r.Body)
		}
	}
	if !c.lastResultAt[o.ID.Key].Equal(now) {
		c.addViolation("job %s: its answer was held back", o.ID.Key)
	}
}

// checkRanClaim checks what an answer says of one task against what happened, and
// remembers a "not run" for what may happen yet.
func (c *invariantChecker) checkRanClaim(r wire.Ref, ran errkind.Ran) {
	_, wasStarted := c.startedOn[r]
	switch ran {
	case errkind.RanNo:
		if wasStarted {
			c.addViolation("task %s/%d ran, and the caller was told that it did not", r.Key, r.Task)
		}
		c.reportedNotRun[r] = true
	case errkind.RanYes:
		if !wasStarted {
			c.addViolation("task %s/%d never ran, and the caller was told that it did", r.Key, r.Task)
		}
	}
}

// answered checks an answer as it reaches its caller.
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
		c.addViolation("answer to %s came %v after deadline and one task length", j.name, lateness)
	}
}

// checkUnanswered checks at the end that nobody was left without an answer.
func (c *invariantChecker) checkUnanswered(calls []*call) {
	for _, call := range calls {
		if call.answerCount == 0 && !call.isConnectionLost {
			c.addViolation("request for %s was never answered", call.job.name)
		}
	}
}
