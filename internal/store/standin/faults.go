package standin

import (
	"net/http"
	"time"

	"wigeontray/internal/store/etcdjson"
)

// Faults are the failures that are switched on now.
type Faults struct {
	down      bool
	delay     time.Duration
	loseWrite int
	past      int64
	stalled   bool
	late      []time.Duration
}

// nextLate takes the time by which the next write comes late.
func (f *Faults) nextLate(path string) time.Duration {
	if len(f.late) == 0 || path != etcdjson.PathTxn {
		return 0
	}
	d := f.late[0]
	f.late = f.late[1:]
	return d
}

// loses tells whether the answer of a call that is done is to be lost.
func (f *Faults) loses(path string, wrote bool) bool {
	if f.loseWrite == 0 || !wrote || path != etcdjson.PathTxn {
		return false
	}
	f.loseWrite--
	return true
}

// before counts the call and plays the faults that come ahead of it.
func (s *Server) before(r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	delay, late := s.faults.delay, s.faults.nextLate(r.URL.Path)
	s.mu.Unlock()
	time.Sleep(late)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	down := s.faults.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// SetDown cuts every connection, now and until it is called with false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.wake()
}

// SetDelay makes each call wait before it is carried out. A call whose client
// gives up in that time has no effect.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers lets the next n writes take effect and cuts the connection in
// place of their answers.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseWrite = n
}

// DelayWrites makes the next writes wait, each for its time, and carries them
// out whether or not their clients still wait, as a queue in the service does.
func (s *Server) DelayWrites(late ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.late = late
}

// AnswerFrom makes reads answer with the content at a past revision, as a
// replica does that lags behind; 0 ends it.
func (s *Server) AnswerFrom(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.past = revision
}

// StallWatches keeps watches open and silent; false lets them go on.
func (s *Server) StallWatches(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.stalled = stalled
	s.wake()
}

// DropWatches cuts the watches that are open.
func (s *Server) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	s.wake()
}

// Compact forgets the events up to the present revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.revision)
	s.wake()
}

// ExpireLease ends a lease as if its holder had not renewed it.
func (s *Server) ExpireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.endLease(id) {
		s.wake()
	}
}

// ExpireLeases ends every lease.
func (s *Server) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.state.leases {
		s.state.endLease(id)
	}
	s.wake()
}
