package standin

import (
	"encoding/json"
	"net/http"

	"wigeontray/internal/store/etcdjson"
)

// watch streams the events of a range until the client goes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
		return
	}
	s.before(r)
	st := s.openStream(req.Create)
	send := sender(w)
	if !send(&etcdjson.WatchResponse{Header: etcdjson.Header{Revision: s.Revision()}, Created: true}) {
		return
	}
	for {
		resp, wait, ended := s.next(st)
		if ended {
			panic(http.ErrAbortHandler)
		}
		if resp != nil && (!send(resp) || resp.Canceled) {
			return
		}
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		}
	}
}

// stream is one open watch.
type stream struct {
	create etcdjson.WatchCreate
	number int
}

func (s *Server) openStream(c etcdjson.WatchCreate) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.StartRevision == 0 {
		c.StartRevision = s.state.revision + 1
	}
	return &stream{create: c, number: s.streams}
}

// next gives what a watch has to send now, and the channel that is closed when
// it should ask again.
func (s *Server) next(st *stream) (resp *etcdjson.WatchResponse, wait <-chan struct{}, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &st.create
	switch {
	case st.number < s.streams || s.faults.down:
		return nil, nil, true
	case s.faults.stalled:
		return nil, s.changed, false
	case c.StartRevision <= s.state.compacted:
		return &etcdjson.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: s.state.compacted + 1}, s.changed, false
	}
	events := s.state.since(c.StartRevision, c.Key, c.RangeEnd)
	c.StartRevision = max(c.StartRevision, s.state.revision+1)
	if len(events) == 0 {
		return nil, s.changed, false
	}
	return &etcdjson.WatchResponse{Header: s.header(), Events: events}, s.changed, false
}

// sender writes one line of the stream and flushes it.
func sender(w http.ResponseWriter) func(*etcdjson.WatchResponse) bool {
	w.Header().Set("Content-Type", "application/json")
	lines := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	return func(resp *etcdjson.WatchResponse) bool {
		if err := lines.Encode(&etcdjson.WatchMessage{Result: resp}); err != nil {
			return false
		}
		return flush.Flush() == nil
	}
}
