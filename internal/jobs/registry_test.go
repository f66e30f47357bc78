package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

var start = time.UnixMilli(1_790_000_000_000)

func small() Limits {
	return Limits{Retention: time.Minute, Skew: time.Second, Records: 3, AnswerBytes: 10}
}

func born(at time.Time) identity.Key { return identity.NewTicket("entry-a", at) }

func run(t *testing.T, r *Registry, now time.Time, k identity.Key, body string) *Record {
	t.Helper()
	rec, fresh, err := r.Admit(now, "ayni", k, Fingerprint{1})
	qt.Assert(t, err == nil, qt.IsTrue)
	qt.Assert(t, fresh, qt.IsTrue)
	r.Finish(now, rec, &Answer{Body: []byte(body)})
	return rec
}

// A kiosk loses the answer and submits the same booking again. It must get the
// first booking's answer; a second run would take two escorts.
func TestResubmissionJoinsTheFirst(t *testing.T) {
	c := qt.New(t)
	r, k := New(small()), born(start)
	rec := run(t, r, start, k, "ok")
	again, fresh, err := r.Admit(start, "ayni", k, Fingerprint{1})
	c.Assert(err == nil, qt.IsTrue)
	c.Assert(fresh, qt.IsFalse)
	c.Assert(again, qt.Equals, rec)
	_, _, err = r.Admit(start, "ayni", k, Fingerprint{2})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityReused)
	_, fresh, err = r.Admit(start, "leeuwin", k, Fingerprint{1})
	c.Assert(err == nil, qt.IsTrue)
	c.Assert(fresh, qt.IsTrue, qt.Commentf("another member's identity is another job"))
}

// A booking is submitted again long after its record was dropped. Taken for a
// new one it would run twice; it must be refused by its birth.
func TestForgottenIdentityIsNeverTakenForNew(t *testing.T) {
	c := qt.New(t)
	r, k := New(small()), born(start)
	run(t, r, start, k, "ok").Release()
	late := start.Add(time.Minute + time.Millisecond)
	run(t, r, late, born(late), "other")
	_, _, err := r.Admit(late, "ayni", k, Fingerprint{1})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityExpired)
	// The wall clock is set back: the identity is young again by the clock.
	_, _, err = r.Admit(start, "ayni", k, Fingerprint{1})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityExpired)
}

// A burst fills the registry, so that finished records are dropped early. The
// floor must rise with each, or the dropped ones could run again.
func TestEvictionRaisesTheFloor(t *testing.T) {
	c := qt.New(t)
	r := New(small())
	var keys []identity.Key
	for i := range 10 {
		k := born(start.Add(time.Duration(i) * time.Millisecond))
		keys = append(keys, k)
		run(t, r, start.Add(time.Second), k, "x").Release()
	}
	held, open := r.Count()
	c.Assert(held, qt.Equals, 3)
	c.Assert(open, qt.Equals, 0)
	for i, k := range keys {
		_, fresh, err := r.Admit(start.Add(time.Second), "ayni", k, Fingerprint{1})
		c.Assert(fresh, qt.IsFalse, qt.Commentf("identity %d ran twice", i))
		c.Assert(err == nil, qt.Equals, i >= 7)
	}
}

// A member has as many unfinished jobs as it may have. One more is refused,
// and the other member notices nothing.
func TestFullOfUnfinishedJobs(t *testing.T) {
	c := qt.New(t)
	r := New(small())
	for range 3 {
		_, _, err := r.Admit(start, "ayni", born(start), Fingerprint{})
		c.Assert(err == nil, qt.IsTrue)
	}
	_, _, err := r.Admit(start, "ayni", born(start), Fingerprint{})
	c.Assert(err.Kind, qt.Equals, errkind.TooManyJobs)
	_, _, err = r.Admit(start, "leeuwin", born(start), Fingerprint{})
	c.Assert(err == nil, qt.IsTrue)
}

// Large answers of other jobs arrive between the end of a job and the moment
// its caller reads the answer. The caller must still get it whole.
func TestHeldAnswerIsNotDropped(t *testing.T) {
	c := qt.New(t)
	r := New(Limits{Retention: time.Minute, Skew: time.Second, Records: 100, AnswerBytes: 10})
	held := run(t, r, start, born(start), "12345678")
	for i := range 5 {
		run(t, r, start, born(start), fmt.Sprintf("answer %d", i)).Release()
	}
	c.Assert(string(held.Answer().Body), qt.Equals, "12345678")
	held.Release()
	run(t, r, start, born(start), "one more").Release()
	c.Assert(held.Answer().Body, qt.IsNil)
	c.Assert(held.Answer().Kind, qt.Equals, errkind.None)
}
