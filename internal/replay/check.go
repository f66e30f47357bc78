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

// checker watches the promises that hold in every replay, whatever its trace
// states: no task starts twice, answers are whole or failed, "not run" is true,
// each request is answered once, in time, and as soon as its answer is known.
type checker struct {
	violations []string
	starts     map[wire.Ref]identity.Incarnation
	notRun     map[wire.Ref]bool                              // claimed by an answer to a caller
	notHere    map[wire.Ref]map[identity.Incarnation]struct{} // claimed by a guard
	outcomes   map[dispatch.JobID]bool
	lastResult map[string]time.Time // by key: when the newest task result came
}

func (c *checker) init() {
	c.starts = make(map[wire.Ref]identity.Incarnation)
	c.notRun = make(map[wire.Ref]bool)
	c.notHere = make(map[wire.Ref]map[identity.Incarnation]struct{})
	c.outcomes = make(map[dispatch.JobID]bool)
	c.lastResult = make(map[string]time.Time)
}

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) started(g identity.Incarnation, r wire.Ref) {
	if first, ok := c.starts[r]; ok {
		c.violate("task %s/%d started on %s and again on %s", r.Key, r.Task, first, g)
	}
	if c.notRun[r] {
		c.violate("task %s/%d started on %s after the caller was told that it never ran", r.Key, r.Task, g)
	}
	if _, ok := c.notHere[r][g]; ok {
		c.violate("task %s/%d started on %s after that guard's final word", r.Key, r.Task, g)
	}
	c.starts[r] = g
}

// result notes a guard's word as it reaches an entry.
func (c *checker) result(now time.Time, r *wire.Result) {
	c.lastResult[r.Ref.Key] = now
}

// refusedBy notes a guard's final word as it leaves the guard.
func (c *checker) refusedBy(g identity.Incarnation, r wire.Ref) {
	if c.starts[r] == g {
		c.violate("guard %s denies its start of %s/%d", g, r.Key, r.Task)
	}
	if c.notHere[r] == nil {
		c.notHere[r] = make(map[identity.Incarnation]struct{})
	}
	c.notHere[r][g] = struct{}{}
}

func (c *checker) finished(now time.Time, o *dispatch.Outcome) {
	if c.outcomes[o.ID] {
		c.violate("job %s finished twice", o.ID.Key)
	}
	c.outcomes[o.ID] = true
	if o.Err == nil {
		c.whole(now, o)
		return
	}
	if o.Results != nil {
		c.violate("job %s failed and has results", o.ID.Key)
	}
	for _, f := range o.Failures {
		c.claim(wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: f.Task}, f.Ran)
	}
}

func (c *checker) whole(now time.Time, o *dispatch.Outcome) {
	for i, r := range o.Results {
		ref := wire.Ref{Member: o.ID.Member, Key: o.ID.Key, Task: i}
		if !bytes.Equal(r.Body, echo(ref)) {
			c.violate("job %s: result %d is %q", o.ID.Key, i, r.Body)
		}
	}
	if !c.lastResult[o.ID.Key].Equal(now) {
		c.violate("job %s: its answer was held back", o.ID.Key)
	}
}

// claim checks what an answer says of one task against what happened, and
// remembers a "not run" for what may happen yet.
func (c *checker) claim(r wire.Ref, ran errkind.Ran) {
	_, started := c.starts[r]
	switch ran {
	case errkind.RanNo:
		if started {
			c.violate("task %s/%d ran, and the caller was told that it did not", r.Key, r.Task)
		}
		c.notRun[r] = true
	case errkind.RanYes:
		if !started {
			c.violate("task %s/%d never ran, and the caller was told that it did", r.Key, r.Task)
		}
	}
}

// answered checks an answer as it reaches its caller.
func (c *checker) answered(w *world, call *call) {
	a, j := call.answer, call.job
	if call.answers > 1 {
		c.violate("request for %s answered %d times", j.name, call.answers)
	}
	if a.kind == errkind.None && len(a.results) != len(j.req.Tasks) {
		c.violate("answer to %s has %d of %d results", j.name, len(a.results), len(j.req.Tasks))
	}
	if a.ran == errkind.RanNo {
		for i := range j.req.Tasks {
			c.claim(wire.Ref{Member: j.member, Key: j.key, Task: i}, errkind.RanNo)
		}
	}
	if late := call.answered.Sub(call.sent.Add(j.req.Deadline + w.slack(j) + call.entry.stood)); late > 0 {
		c.violate("answer to %s came %v after deadline and one task length", j.name, late)
	}
}

// unanswered checks at the end that nobody was left without an answer.
func (c *checker) unanswered(calls []*call) {
	for _, call := range calls {
		if call.answers == 0 && !call.lost {
			c.violate("request for %s was never answered", call.job.name)
		}
	}
}
