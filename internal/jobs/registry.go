// Package jobs owns an entry's records of jobs: which identities it has
// accepted or refused, who waits for them, and their answers.
//
// A record is what makes a submission idempotent: as long as one is held, a
// resubmission joins it. When a record is dropped, the identity's birth lies
// below the floor of its member, and everything born below the floor is
// refused without being run. A record is therefore never missed.
//
// The package may import errkind and identity.
package jobs

import (
	"container/heap"
	"sync"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

// Limits bounds what is kept. All are per member, so that one member's burst
// cannot push out the records of another.
type Limits struct {
	// Retention is how long after its birth an identity can be resubmitted.
	Retention time.Duration
	// Skew is how far in the future a birth may lie by this process's clock.
	Skew time.Duration
	// Records is the greatest number of records.
	Records int
	// AnswerBytes bounds the answers held for resubmissions.
	AnswerBytes int64
}

// DefaultLimits keep two minutes of identities in under 32 MB at 2,000 jobs a
// second and 64 bytes a record, answers apart.
func DefaultLimits() Limits {
	return Limits{Retention: 2 * time.Minute, Skew: 30 * time.Second, Records: 250_000, AnswerBytes: 16 << 20}
}

// Fingerprint is a digest of what a submission asks for.
type Fingerprint [16]byte

// Answer is a job's final answer in the form in which callers get it.
type Answer struct {
	Kind  errkind.Kind
	Ran   errkind.Ran   // what the answer claims about the start
	Body  []byte        // JSON; nil once it was dropped to save memory
	After time.Duration // when to come back, if the kind says so
}

// Registry holds the records of all members.
type Registry struct {
	limits  Limits
	members sync.Map // string to *shard
}

// New returns an empty registry.
func New(l Limits) *Registry { return &Registry{limits: l} }

func (r *Registry) shard(member string) *shard {
	if s, ok := r.members.Load(member); ok {
		return s.(*shard)
	}
	s, _ := r.members.LoadOrStore(member, &shard{limits: r.limits, records: make(map[string]*Record)})
	return s.(*shard)
}

// Admit finds or makes the record of an identity. fresh tells the caller that
// it is the first and must now run the job or finish the record with a refusal.
// The record is held for the caller until its Release. Errors are
// IdentityReused, IdentityExpired and TooManyJobs; none of them leaves a record.
func (r *Registry) Admit(now time.Time, member string, key identity.Key, f Fingerprint) (rec *Record, fresh bool, err *errkind.Error) {
	return r.shard(member).admit(now, member, key, f)
}

// Known tells whether a record of the identity is held.
func (r *Registry) Known(member string, key identity.Key) bool {
	s := r.shard(member)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.records[key.Text]
	return ok
}

// Find returns the record of an identity that this entry owns, held for the
// caller until its Release. Its errors are NotFound, for one it has never seen and could still accept, and
// IdentityExpired, for one it can no longer vouch for.
func (r *Registry) Find(now time.Time, member string, key identity.Key) (*Record, *errkind.Error) {
	return r.shard(member).find(now, key)
}

// Finish gives a record its one answer and wakes all that wait. A second call
// for the same record is passed over.
func (r *Registry) Finish(now time.Time, rec *Record, a *Answer) {
	r.shard(rec.Member).finish(now, rec, a)
}

// Count tells how many records are held and how many of them are unfinished.
func (r *Registry) Count() (held, open int) {
	r.members.Range(func(_, v any) bool {
		s := v.(*shard)
		s.mu.Lock()
		held += len(s.records)
		open += s.open
		s.mu.Unlock()
		return true
	})
	return held, open
}

// Record is one job as its callers see it.
type Record struct {
	Member string
	Key    identity.Key

	fingerprint Fingerprint
	done        chan struct{}
	shard       *shard

	// Under the shard's lock:
	answer *Answer
	kept   int64 // bytes of body counted against the member
	holds  int   // callers that may still read the answer
}

// Done is closed when the answer is there.
func (rec *Record) Done() <-chan struct{} { return rec.done }

// Release ends the caller's hold. A body is dropped only when nobody holds its
// record: else a caller that waited for the answer could be woken and find that
// a flood of other answers had pushed out its own.
func (rec *Record) Release() {
	rec.shard.mu.Lock()
	defer rec.shard.mu.Unlock()
	rec.holds--
}

// Answer returns the final answer, or nil while the job is unfinished.
func (rec *Record) Answer() *Answer {
	rec.shard.mu.Lock()
	defer rec.shard.mu.Unlock()
	return rec.answer
}

// shard is one member's records. Its lock is held for map and heap work only.
type shard struct {
	mu      sync.Mutex
	limits  Limits
	records map[string]*Record
	oldest  birthHeap // finished records, oldest birth first
	answers []*Record // finished records with a body, in order of finishing
	bytes   int64     // bodies in answers
	open    int
	floorMs int64 // births below were forgotten, or may have been
}

func (s *shard) admit(now time.Time, member string, key identity.Key, f Fingerprint) (*Record, bool, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ok := s.records[key.Text]; ok {
		if rec.fingerprint != f {
			return nil, false, errkind.New(errkind.IdentityReused, "another request was submitted as %s", key.Text)
		}
		rec.holds++
		return rec, false, nil
	}
	s.expire(now)
	if err := s.vouch(now, key); err != nil {
		return nil, false, err
	}
	if len(s.records) >= s.limits.Records && !s.evict() {
		return nil, false, errkind.New(errkind.TooManyJobs, "%d jobs are unfinished", s.open).WithAfter(time.Second)
	}
	// Making room may have raised the floor above this very identity.
	if err := s.vouch(now, key); err != nil {
		return nil, false, err
	}
	rec := &Record{Member: member, Key: key, fingerprint: f, done: make(chan struct{}), shard: s, holds: 1}
	s.records[key.Text] = rec
	s.open++
	return rec, true, nil
}

// vouch refuses an identity that may have been here before and is forgotten,
// or that claims a birth so late that its record would be held for too long.
// Without it a late resubmission would be taken for a new job and run again.
func (s *shard) vouch(now time.Time, key identity.Key) *errkind.Error {
	switch {
	case key.BirthMs < s.floor(now):
		return errkind.New(errkind.IdentityExpired, "born %v ago; identities are vouched for during %v",
			now.Sub(time.UnixMilli(key.BirthMs)).Round(time.Millisecond), s.limits.Retention)
	case key.BirthMs > now.Add(s.limits.Skew).UnixMilli():
		return errkind.New(errkind.IdentityExpired, "born %v in the future",
			time.UnixMilli(key.BirthMs).Sub(now).Round(time.Millisecond))
	}
	return nil
}

func (s *shard) floor(now time.Time) int64 {
	return max(s.floorMs, now.Add(-s.limits.Retention).UnixMilli())
}

// expire drops finished records that fell below the retention. The floor is
// raised with them, so that a clock set back brings no identity to life again.
func (s *shard) expire(now time.Time) {
	s.floorMs = s.floor(now)
	for len(s.oldest) > 0 && s.oldest[0].Key.BirthMs < s.floorMs {
		s.drop(heap.Pop(&s.oldest).(*Record))
	}
}

// evict makes room for one record at the price of a higher floor.
func (s *shard) evict() bool {
	if len(s.oldest) == 0 {
		return false
	}
	rec := heap.Pop(&s.oldest).(*Record)
	s.floorMs = max(s.floorMs, rec.Key.BirthMs+1)
	s.drop(rec)
	return true
}

func (s *shard) drop(rec *Record) {
	delete(s.records, rec.Key.Text)
	s.bytes -= rec.kept
	rec.kept = 0
}

func (s *shard) find(now time.Time, key identity.Key) (*Record, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ok := s.records[key.Text]; ok {
		rec.holds++
		return rec, nil
	}
	if err := s.vouch(now, key); err != nil {
		return nil, err
	}
	return nil, errkind.New(errkind.NotFound, "no job %s was submitted here", key.Text)
}

func (s *shard) finish(now time.Time, rec *Record, a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.answer != nil {
		return
	}
	rec.answer = a
	close(rec.done)
	s.open--
	heap.Push(&s.oldest, rec)
	rec.kept = int64(len(a.Body))
	s.bytes += rec.kept
	s.answers = append(s.answers, rec)
	s.trim()
	s.expire(now)
}

// trim drops the bodies that were finished first until the rest fits. The
// record stays, so that the identity is still known to have been answered.
func (s *shard) trim() {
	for len(s.answers) > 0 {
		rec := s.answers[0]
		if rec.kept > 0 && (s.bytes <= s.limits.AnswerBytes || rec.holds > 0) {
			return
		}
		s.answers[0] = nil
		s.answers = s.answers[1:]
		if rec.kept == 0 {
			continue
		}
		s.bytes -= rec.kept
		rec.kept = 0
		a := *rec.answer
		a.Body = nil
		rec.answer = &a
	}
}

// birthHeap orders records by birth, oldest first.
type birthHeap []*Record

func (h birthHeap) Len() int           { return len(h) }
func (h birthHeap) Less(i, j int) bool { return h[i].Key.BirthMs < h[j].Key.BirthMs }
func (h birthHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *birthHeap) Push(x any)        { *h = append(*h, x.(*Record)) }
func (h *birthHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return rec
}
