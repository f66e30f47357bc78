package standin

import (
	"encoding/json"
	"net/http"

	"wigeontray/internal/store/etcdjson"
)

// handleWatch streams the events of a key range until the client disconnects.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
		return
	}
	s.beginCall(r)
	st := s.openStream(req.Create)
	send := newSender(w)
	if !send(&etcdjson.WatchResponse{Header: etcdjson.Header{Revision: s.Revision()}, Created: true}) {
		return
	}
	for {
		resp, notify, isClosed := s.nextResponse(st)
		if isClosed {
			panic(http.ErrAbortHandler)
		}
		if resp != nil && (!send(resp) || resp.Canceled) {
			return
		}
		select {
		case <-notify:
		case <-r.Context().Done():
			return
		}
	}
}

// stream is one open watch.
type stream struct {
	create     etcdjson.WatchCreate
	generation int
}

func (s *Server) openStream(c etcdjson.WatchCreate) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.StartRevision == 0 {
		c.StartRevision = s.state.revision + 1
	}
	return &stream{create: c, generation: s.streamGeneration}
}

// nextResponse returns the message that the watch has to send now, if any, and
// a channel that is closed when the watch must check again. isClosed means that
// the watch is to be aborted.
func (s *Server) nextResponse(st *stream) (resp *etcdjson.WatchResponse, notify <-chan struct{}, isClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &st.create
	switch {
	case st.generation < s.streamGeneration || s.faults.down:
		return nil, nil, true
	case s.faults.stalled:
		return nil, s.changed, false
	case c.StartRevision <= s.state.compacted:
		return &etcdjson.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: s.state.compacted + 1}, s.changed, false
	}
	events := s.state.eventsSince(c.StartRevision, c.Key, c.RangeEnd)
	c.StartRevision = max(c.StartRevision, s.state.revision+1)
	if len(events) == 0 {
		return nil, s.changed, false
	}
	return &etcdjson.WatchResponse{Header: s.header(), Events: events}, s.changed, false
}

// newSender returns a function that writes one message to the stream and
// flushes it. The function reports whether the client is still connected.
func newSender(w http.ResponseWriter) func(*etcdjson.WatchResponse) bool {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	return func(resp *etcdjson.WatchResponse) bool {
		if err := encoder.Encode(&etcdjson.WatchMessage{Result: resp}); err != nil {
			return false
		}
		return controller.Flush() == nil
	}
}
