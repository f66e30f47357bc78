package entry

import (
	"net/http"
	"sync"
	"time"

	"wigeontray/internal/errkind"
)

// share is what one member's open requests hold of an entry. Connections and
// memory are common to all members: without a bound on each, one member's flood
// of waiting requests takes them, and the callers of a rival wait in the listen
// queue or the process is ended for its memory.
type share struct {
	mu       sync.Mutex
	requests int
	bytes    int64 // of bodies
}

// retryShare is when a request that was over its member's share may come back.
const retryShare = time.Second

// take claims a request with its body; false if the member's share is used up.
// The first body is let in whatever its size, or none of that size ever would be.
func (h *share) take(bytes int64, maxRequests int, maxBytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests >= maxRequests || h.bytes > 0 && h.bytes+bytes > maxBytes {
		return false
	}
	h.requests++
	h.bytes += bytes
	return true
}

func (h *share) release(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests--
	h.bytes -= bytes
}

// shares holds a share for each member. Members are authenticated, so callers
// cannot fill the table with names.
type shares struct{ byMember sync.Map }

func (t *shares) of(member string) *share {
	if h, ok := t.byMember.Load(member); ok {
		return h.(*share)
	}
	h, _ := t.byMember.LoadOrStore(member, new(share))
	return h.(*share)
}

// claim takes a request's part of its member's share until release is called.
func (s *Server) claim(member string, r *http.Request) (release func(), err *errkind.Error) {
	bytes := min(r.ContentLength, s.opts.MaxBody)
	if bytes < 0 {
		bytes = s.opts.MaxBody // its length is not told
	}
	h := s.open.of(member)
	if !h.take(bytes, s.opts.OpenRequests, s.opts.OpenBytes) {
		return nil, errkind.New(errkind.TooManyJobs, "the open requests of %s exceed %d, or their bodies %d bytes, at this entry",
			member, s.opts.OpenRequests, s.opts.OpenBytes).WithAfter(retryShare)
	}
	return func() { h.release(bytes) }, nil
}

// maxAmendments is how many amendments of one member may be under way at an
// entry. Each takes calls of the store, whose rate the entry bounds for all: a
// member that amends in a loop would hold up the renewal of the entry's lease,
// and the others would declare the entry gone.
const maxAmendments = 4

// serveRecords serves the record API within the member's share. A request of no
// member is the consortium's operator's, or is refused there.
func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request) {
	member, err := s.Authenticate(r)
	if err != nil || r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.opts.Records.ServeHTTP(w, r)
		return
	}
	h := s.amending.of(member)
	if !h.take(0, maxAmendments, 0) {
		s.refuse(w, "", errkind.New(errkind.TooManyJobs, "more than %d amendments of %s are under way", maxAmendments, member).WithAfter(retryShare))
		return
	}
	defer h.release(0)
	s.opts.Records.ServeHTTP(w, r)
}
