package entry

import (
	"net/http"
	"sync"
	"time"

	"wigeontray/internal/errkind"
)

// memberUsage counts what one member's open requests use. Connections and memory
// are shared by all members. Without a limit per member, a burst of waiting
// requests from one member would exhaust them, and other members' callers would be
// stuck in the listen queue, or the process would be killed for its memory use.
type memberUsage struct {
	mu       sync.Mutex
	requests int
	bytes    int64 // total size of the bodies
}

// usageRetryDelay is how long a request that exceeds its member's limit should wait
// before a retry.
const usageRetryDelay = time.Second

// tryAcquire reserves capacity for a request with its body. It returns false if the
// member's limit is reached. A member without any open body may send one of any
// size, because a body larger than the limit could otherwise never be accepted.
func (u *memberUsage) tryAcquire(bytes int64, maxRequests int, maxBytes int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests >= maxRequests || u.bytes > 0 && u.bytes+bytes > maxBytes {
		return false
	}
	u.requests++
	u.bytes += bytes
	return true
}

func (u *memberUsage) release(bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests--
	u.bytes -= bytes
}

// usageTable holds the usage of each member. Members are authenticated, so callers
// cannot grow the table with invented names.
type usageTable struct{ byMember sync.Map }

func (t *usageTable) forMember(member string) *memberUsage {
	if u, ok := t.byMember.Load(member); ok {
		return u.(*memberUsage)
	}
	u, _ := t.byMember.LoadOrStore(member, new(memberUsage))
	return u.(*memberUsage)
}

// acquireRequest reserves capacity for a request under its member's limit, until
// release is called.
func (s *Server) acquireRequest(member string, r *http.Request) (release func(), err *errkind.Error) {
	bytes := min(r.ContentLength, s.opts.MaxBodyBytes)
	if bytes < 0 {
		bytes = s.opts.MaxBodyBytes // the length is not declared
	}
	u := s.requestUsage.forMember(member)
	if !u.tryAcquire(bytes, s.opts.MaxOpenRequests, s.opts.MaxOpenBytes) {
		return nil, errkind.New(errkind.TooManyJobs, "the open requests of %s exceed %d, or their bodies %d bytes, at this entry",
			member, s.opts.MaxOpenRequests, s.opts.MaxOpenBytes).WithAfter(usageRetryDelay)
	}
	return func() { u.release(bytes) }, nil
}

// maxRecordWrites limits the concurrent record writes of one member at an entry.
// Each write makes calls to the store, and the entry limits the total rate of these
// calls. A member that writes in a loop would delay the renewal of the entry's
// lease, and the other entries would declare the entry lost.
const maxRecordWrites = 4

// serveRecords serves the record API and limits the writes of each member. A
// request without a member's token comes from the consortium's operator, or is
// refused by the handler.
func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request) {
	member, err := s.Authenticate(r)
	if err != nil || r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.opts.Records.ServeHTTP(w, r)
		return
	}
	u := s.recordWriteUsage.forMember(member)
	if !u.tryAcquire(0, maxRecordWrites, 0) {
		s.refuse(w, "", errkind.New(errkind.TooManyJobs, "more than %d amendments of %s are under way", maxRecordWrites, member).WithAfter(usageRetryDelay))
		return
	}
	defer u.release(0)
	s.opts.Records.ServeHTTP(w, r)
}
