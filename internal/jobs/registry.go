// Package jobs keeps an entry's job records: the job keys that were accepted or
// refused, the requests that wait for them, and their answers.
//
// A record makes a submission idempotent: while it is kept, a resubmission joins
// it. Each member has a minimum creation time: keys created earlier are refused
// without being run. Before a record is dropped, the minimum is raised above the
// creation time of its key, so a dropped record never causes a second run.
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

// Limits bounds what is kept. All limits apply per member, so that a burst of one
// member cannot evict the records of another.
type Limits struct {
	// Retention is how long after its creation a job key can be resubmitted.
	Retention time.Duration
	// MaxClockSkew is how far in the future the creation time of a key may be by this
	// process's clock.
	MaxClockSkew time.Duration
	// MaxRecords is the maximum number of records, including those of unfinished
	// jobs.
	MaxRecords int
	// MaxAnswerBytes limits the total size of the answer bodies kept for
	// resubmissions. Bodies of records that callers still use are kept beyond it.
	MaxAnswerBytes int64
}

// DefaultLimits keep two minutes of records in less than 32 MB, at 2,000 jobs a
// second and 64 bytes a record, not counting the answers.
func DefaultLimits() Limits {
	return Limits{Retention: 2 * time.Minute, MaxClockSkew: 30 * time.Second, MaxRecords: 250_000, MaxAnswerBytes: 16 << 20}
}

// Fingerprint is a digest of the work that a submission requests.
type Fingerprint [16]byte

// Answer is a job's final answer, in the form in which it is sent to callers.
type Answer struct {
	Kind  errkind.Kind
	Ran   errkind.Ran   // whether the job was started, according to the answer
	Body  []byte        // JSON; nil after it was dropped to save memory
	After time.Duration // delay before a retry, if the kind has one
}

// Registry holds the records of all members.
type Registry struct {
	limits  Limits
	members sync.Map // member name to *shard
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

// Admit returns the record of a job key, and creates it if there is none. If isNew
// is set, the caller must run the job or finish the record with a refusal. The
// answer of the record is kept in memory until the caller calls Release. Errors are
// IdentityReused, IdentityExpired and TooManyJobs; none of them leaves a record.
func (r *Registry) Admit(now time.Time, member string, key identity.Key, f Fingerprint) (rec *Record, isNew bool, err *errkind.Error) {
	return r.shard(member).admit(now, member, key, f)
}

// Contains reports whether there is a record of the job key.
func (r *Registry) Contains(member string, key identity.Key) bool {
	s := r.shard(member)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.records[key.Text]
	return ok
}

// Find returns the record of a job key that this entry owns; its answer is kept in
// memory until the caller calls Release. Find returns NotFound for a key that was
// never submitted to this entry and could still be accepted, and IdentityExpired
// for one whose record may have been dropped.
func (r *Registry) Find(now time.Time, member string, key identity.Key) (*Record, *errkind.Error) {
	return r.shard(member).find(now, key)
}

// Finish sets the answer of a record and wakes all waiting requests. A second call
// for the same record is ignored.
func (r *Registry) Finish(now time.Time, rec *Record, a *Answer) {
	r.shard(rec.Member).finish(now, rec, a)
}

// Count returns the number of records and how many of them are unfinished.
func (r *Registry) Count() (held, unfinished int) {
	r.members.Range(func(_, v any) bool {
		s := v.(*shard)
		s.mu.Lock()
		held += len(s.records)
		unfinished += s.unfinished
		s.mu.Unlock()
		return true
	})
	return held, unfinished
}

// Record is the state of one job for its callers.
type Record struct {
	Member string
	Key    identity.Key

	fingerprint Fingerprint
	done        chan struct{}
	shard       *shard

	// Guarded by the shard's lock:
	answer    *Answer
	bodyBytes int64 // size of the answer's body as counted in answerBytes
	readers   int   // callers that have not called Release yet
}

// Done returns a channel that is closed when the answer is available.
func (rec *Record) Done() <-chan struct{} { return rec.done }

// Release ends the caller's use of the record. A body is only dropped when its
// record has no readers: otherwise a waiting caller could be woken and find that
// its answer had already been evicted by a burst of other answers.
func (rec *Record) Release() {
	rec.shard.mu.Lock()
	defer rec.shard.mu.Unlock()
	rec.readers--
}

// Answer returns the final answer, or nil while the job is unfinished.
func (rec *Record) Answer() *Answer {
	rec.shard.mu.Lock()
	defer rec.shard.mu.Unlock()
	return rec.answer
}

// shard holds the records of one member. Its lock is held for map and heap
// operations only.
type shard struct {
	mu           sync.Mutex
	limits       Limits
	records      map[string]*Record
	finished     creationHeap // finished records, earliest creation time first
	withBody     []*Record    // finished records with a body, in order of completion
	answerBytes  int64        // total size of the bodies in withBody
	unfinished   int
	minCreatedMs int64 // records of keys created earlier were dropped, or may have been
}

func (s *shard) admit(now time.Time, member string, key identity.Key, f Fingerprint) (*Record, bool, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ok := s.records[key.Text]; ok {
		if rec.fingerprint != f {
			return nil, false, errkind.New(errkind.IdentityReused, "another request was submitted as %s", key.Text)
		}
		rec.readers++
		return rec, false, nil
	}
	s.expire(now)
	if err := s.checkCreationTime(now, key); err != nil {
		return nil, false, err
	}
	if len(s.records) >= s.limits.MaxRecords && !s.evict() {
		return nil, false, errkind.New(errkind.TooManyJobs, "%d jobs are unfinished", s.unfinished).WithAfter(time.Second)
	}
	// Evicting a record may have raised the minimum above the creation time of this
	// key.
	if err := s.checkCreationTime(now, key); err != nil {
		return nil, false, err
	}
	rec := &Record{Member: member, Key: key, fingerprint: f, done: make(chan struct{}), shard: s, readers: 1}
	s.records[key.Text] = rec
	s.unfinished++
	return rec, true, nil
}

// checkCreationTime refuses a key whose record may have been dropped, because a late
// resubmission would otherwise be treated as a new job and run again. It also
// refuses a key whose creation time is so far in the future that its record would
// be kept for too long.
func (s *shard) checkCreationTime(now time.Time, key identity.Key) *errkind.Error {
	switch {
	case key.BirthMs < s.currentMinCreatedMs(now):
		return errkind.New(errkind.IdentityExpired, "born %v ago; identities are vouched for during %v",
			now.Sub(time.UnixMilli(key.BirthMs)).Round(time.Millisecond), s.limits.Retention)
	case key.BirthMs > now.Add(s.limits.MaxClockSkew).UnixMilli():
		return errkind.New(errkind.IdentityExpired, "born %v in the future",
			time.UnixMilli(key.BirthMs).Sub(now).Round(time.Millisecond))
	}
	return nil
}

func (s *shard) currentMinCreatedMs(now time.Time) int64 {
	return max(s.minCreatedMs, now.Add(-s.limits.Retention).UnixMilli())
}

// expire drops finished records that are older than the retention. It also raises
// the minimum creation time, so that dropped keys stay refused if the clock is set
// back.
func (s *shard) expire(now time.Time) {
	s.minCreatedMs = s.currentMinCreatedMs(now)
	for len(s.finished) > 0 && s.finished[0].Key.BirthMs < s.minCreatedMs {
		s.dropRecord(heap.Pop(&s.finished).(*Record))
	}
}

// evict drops the finished record with the earliest creation time to make room for
// another one, and raises the minimum accordingly. It returns false if no record is
// finished.
func (s *shard) evict() bool {
	if len(s.finished) == 0 {
		return false
	}
	rec := heap.Pop(&s.finished).(*Record)
	s.minCreatedMs = max(s.minCreatedMs, rec.Key.BirthMs+1)
	s.dropRecord(rec)
	return true
}

func (s *shard) dropRecord(rec *Record) {
	delete(s.records, rec.Key.Text)
	s.answerBytes -= rec.bodyBytes
	rec.bodyBytes = 0
}

func (s *shard) find(now time.Time, key identity.Key) (*Record, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ok := s.records[key.Text]; ok {
		rec.readers++
		return rec, nil
	}
	if err := s.checkCreationTime(now, key); err != nil {
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
	s.unfinished--
	heap.Push(&s.finished, rec)
	rec.bodyBytes = int64(len(a.Body))
	s.answerBytes += rec.bodyBytes
	s.withBody = append(s.withBody, rec)
	s.trimBodies()
	s.expire(now)
}

// trimBodies drops the earliest finished bodies until the rest fits the limit, and
// stops early at a body that still has readers. It keeps the records, so that
// their keys are still known as answered.
func (s *shard) trimBodies() {
	for len(s.withBody) > 0 {
		rec := s.withBody[0]
		if rec.bodyBytes > 0 && (s.answerBytes <= s.limits.MaxAnswerBytes || rec.readers > 0) {
			return
		}
		s.withBody[0] = nil
		s.withBody = s.withBody[1:]
		if rec.bodyBytes == 0 {
			continue
		}
		s.answerBytes -= rec.bodyBytes
		rec.bodyBytes = 0
		a := *rec.answer
		a.Body = nil
		rec.answer = &a
	}
}

// creationHeap orders records by creation time, earliest first.
type creationHeap []*Record

func (h creationHeap) Len() int           { return len(h) }
func (h creationHeap) Less(i, j int) bool { return h[i].Key.BirthMs < h[j].Key.BirthMs }
func (h creationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *creationHeap) Push(x any)        { *h = append(*h, x.(*Record)) }
func (h *creationHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return rec
}
