package standin

import (
	"net/http"
	"time"

	"wigeontray/internal/store/etcdjson"
)

// faultState holds the faults that are currently injected.
type faultState struct {
	down          bool
	delay         time.Duration
	dropResponses int
	staleRevision int64
	stalled       bool
	writeDelays   []time.Duration
}

// takeWriteDelay returns and removes the delay for the next write.
func (f *faultState) takeWriteDelay(path string) time.Duration {
	if len(f.writeDelays) == 0 || path != etcdjson.PathTxn {
		return 0
	}
	d := f.writeDelays[0]
	f.writeDelays = f.writeDelays[1:]
	return d
}

// takeDroppedResponse reports whether the response of a completed call is to be
// dropped, and counts it.
func (f *faultState) takeDroppedResponse(path string, wrote bool) bool {
	if f.dropResponses == 0 || !wrote || path != etcdjson.PathTxn {
		return false
	}
	f.dropResponses--
	return true
}

// beginCall counts the call and applies the faults that act before its
// execution.
func (s *Server) beginCall(r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	delay, writeDelay := s.faults.delay, s.faults.takeWriteDelay(r.URL.Path)
	s.mu.Unlock()
	time.Sleep(writeDelay)
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

// SetDown sets whether the server is down. While it is, every connection is
// closed.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notifyWatches()
}

// SetDelay delays the execution of each call. A call whose client gives up
// during the delay has no effect.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// DropResponses executes the next n writes and closes the connection instead of
// sending their responses.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropResponses = n
}

// DelayWrites delays the next writes, one delay each. The writes are executed
// even if their clients have given up, as by a queue in the service.
func (s *Server) DelayWrites(writeDelays ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.writeDelays = writeDelays
}

// ServeStaleReads makes reads return the content at a past revision, as a
// lagging replica does. 0 ends the fault.
func (s *Server) ServeStaleReads(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.staleRevision = revision
}

// StallWatches sets whether watches stay open without sending events.
func (s *Server) StallWatches(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.stalled = stalled
	s.notifyWatches()
}

// CloseWatches closes all open watches.
func (s *Server) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamGeneration++
	s.notifyWatches()
}

// Compact removes all events up to the current revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.revision)
	s.notifyWatches()
}

// ExpireLease ends a lease as if its holder had not renewed it.
func (s *Server) ExpireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.removeLease(id) {
		s.notifyWatches()
	}
}

// ExpireLeases ends all leases as ExpireLease does.
func (s *Server) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.state.leases {
		s.state.removeLease(id)
	}
	s.notifyWatches()
}
