package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

var startTime = time.UnixMilli(1_790_000_000_000)

func testLimits() Limits {
	return Limits{Retention: time.Minute, MaxClockSkew: time.Second, MaxRecords: 3, MaxAnswerBytes: 10}
}

func newKey(at time.Time) identity.Key { return identity.NewTicket("entry-a", at) }

func runJob(t *testing.T, r *Registry, now time.Time, k identity.Key, body string) *Record {
	t.Helper()
	rec, isNew, err := r.Admit(now, "ayni", k, Fingerprint{1})
	qt.Assert(t, err == nil, qt.IsTrue)
	qt.Assert(t, isNew, qt.IsTrue)
	r.Finish(now, rec, &Answer{Body: []byte(body)})
	return rec
}

// Protects against a second run when a caller loses the answer and resubmits: it
// must get the answer of the first submission.
func TestResubmissionJoinsExistingRecord(t *testing.T) {
	c := qt.New(t)
	r, k := New(testLimits()), newKey(startTime)
	rec := runJob(t, r, startTime, k, "ok")
	resubmitted, isNew, err := r.Admit(startTime, "ayni", k, Fingerprint{1})
	c.Assert(err == nil, qt.IsTrue)
	c.Assert(isNew, qt.IsFalse)
	c.Assert(resubmitted, qt.Equals, rec)
	_, _, err = r.Admit(startTime, "ayni", k, Fingerprint{2})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityReused)
	_, isNew, err = r.Admit(startTime, "leeuwin", k, Fingerprint{1})
	c.Assert(err == nil, qt.IsTrue)
	c.Assert(isNew, qt.IsTrue, qt.Commentf("the same key of another member is another job"))
}

// Protects against a second run of a job that is resubmitted long after its record
// was dropped: it must be refused by the creation time of its key.
func TestDroppedKeyIsRefusedAsExpired(t *testing.T) {
	c := qt.New(t)
	r, k := New(testLimits()), newKey(startTime)
	runJob(t, r, startTime, k, "ok").Release()
	late := startTime.Add(time.Minute + time.Millisecond)
	runJob(t, r, late, newKey(late), "other")
	_, _, err := r.Admit(late, "ayni", k, Fingerprint{1})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityExpired)
	// After the clock is set back, the key is within the retention again.
	_, _, err = r.Admit(startTime, "ayni", k, Fingerprint{1})
	c.Assert(err.Kind, qt.Equals, errkind.IdentityExpired)
}

// Protects against a second run after a burst has evicted finished records early:
// each eviction must raise the minimum creation time.
func TestEvictionRaisesMinimumCreationTime(t *testing.T) {
	c := qt.New(t)
	r := New(testLimits())
	var keys []identity.Key
	for i := range 10 {
		k := newKey(startTime.Add(time.Duration(i) * time.Millisecond))
		keys = append(keys, k)
		runJob(t, r, startTime.Add(time.Second), k, "x").Release()
	}
	held, open := r.Count()
	c.Assert(held, qt.Equals, 3)
	c.Assert(open, qt.Equals, 0)
	for i, k := range keys {
		_, isNew, err := r.Admit(startTime.Add(time.Second), "ayni", k, Fingerprint{1})
		c.Assert(isNew, qt.IsFalse, qt.Commentf("key %d ran twice", i))
		c.Assert(err == nil, qt.Equals, i >= 7)
	}
}

// A member that has reached the limit of unfinished jobs gets no further one, and
// other members are not affected.
func TestUnfinishedJobsLimit(t *testing.T) {
	c := qt.New(t)
	r := New(testLimits())
	for range 3 {
		_, _, err := r.Admit(startTime, "ayni", newKey(startTime), Fingerprint{})
		c.Assert(err == nil, qt.IsTrue)
	}
	_, _, err := r.Admit(startTime, "ayni", newKey(startTime), Fingerprint{})
	c.Assert(err.Kind, qt.Equals, errkind.TooManyJobs)
	_, _, err = r.Admit(startTime, "leeuwin", newKey(startTime), Fingerprint{})
	c.Assert(err == nil, qt.IsTrue)
}

// Protects against dropping an answer between the end of a job and the moment when
// its caller reads it, because large answers of other jobs arrive.
func TestAnswerInUseIsNotDropped(t *testing.T) {
	c := qt.New(t)
	r := New(Limits{Retention: time.Minute, MaxClockSkew: time.Second, MaxRecords: 100, MaxAnswerBytes: 10})
	inUse := runJob(t, r, startTime, newKey(startTime), "12345678")
	for i := range 5 {
		runJob(t, r, startTime, newKey(startTime), fmt.Sprintf("answer %d", i)).Release()
	}
	c.Assert(string(inUse.Answer().Body), qt.Equals, "12345678")
	inUse.Release()
	runJob(t, r, startTime, newKey(startTime), "one more").Release()
	c.Assert(inUse.Answer().Body, qt.IsNil)
	c.Assert(inUse.Answer().Kind, qt.Equals, errkind.None)
}
