// Package standin implements an in-memory replacement for the platform's
// key-value service: the part of etcd v3's JSON gateway that package store
// uses. Tests run against it and inject faults with the Server's methods; the
// standalone command embeds it. It does not persist its content.
//
// It may import store/etcdjson and no other package of the project.
package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeontray/internal/store/etcdjson"
)

// Limits of the platform's key-value service.
const (
	maxValueSize = 1 << 20 // bytes of a value
	maxBodySize  = 2 << 20 // bytes of a request body, with its values in base64
)

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mu               sync.Mutex
	state            *state
	changed          chan struct{} // closed and replaced when watches must check for new events
	faults           faultState
	calls            map[string]int
	streamGeneration int // watches opened under a lower generation are closed
	mux              *http.ServeMux
}

// New returns an empty store at revision 1.
func New() *Server {
	s := &Server{state: newState(), changed: make(chan struct{}), calls: map[string]int{}, mux: http.NewServeMux()}
	s.mux.HandleFunc(etcdjson.PathRange, handle(s, s.handleRange))
	s.mux.HandleFunc(etcdjson.PathTxn, handle(s, s.handleTxn))
	s.mux.HandleFunc(etcdjson.PathGrant, handle(s, s.handleGrant))
	s.mux.HandleFunc(etcdjson.PathKeepAlive, handle(s, s.handleKeepAlive))
	s.mux.HandleFunc(etcdjson.PathRevoke, handle(s, s.handleRevoke))
	s.mux.HandleFunc(etcdjson.PathWatch, s.handleWatch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeError(w, http.StatusNotImplemented, etcdjson.Error{Message: "only POST"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
	s.mux.ServeHTTP(w, r)
}

// Calls returns the number of calls received for a path, failed ones included.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Revision returns the store's current revision.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// Close stops the lease timers and closes all watches.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		l.timer.Stop()
	}
	s.streamGeneration++
	s.notifyWatches()
}

// notifyWatches makes every watch check for new events. The caller holds s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apiError is the error response of an operation.
type apiError struct {
	status int
	body   etcdjson.Error
}

// handle returns the handler of one operation. It decodes the request, applies
// the faults that act before the execution, runs op under the lock, and sends
// or drops the response.
func handle[Req any](s *Server, op func(*Req) (any, *apiError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := new(Req)
		if err := json.NewDecoder(r.Body).Decode(req); err != nil {
			writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
			return
		}
		s.beginCall(r)
		resp, opErr, dropResponse := s.runOp(r.URL.Path, func() (any, *apiError) { return op(req) })
		if dropResponse {
			// The write took effect, but its response is dropped.
			panic(http.ErrAbortHandler)
		}
		if opErr != nil {
			writeError(w, opErr.status, opErr.body)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp) // fails only if the client has disconnected
	}
}

func (s *Server) runOp(path string, op func() (any, *apiError)) (resp any, opErr *apiError, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldRevision := s.state.revision
	resp, opErr = op()
	wrote := s.state.revision != oldRevision
	if wrote {
		s.notifyWatches()
	}
	return resp, opErr, s.faults.takeDroppedResponse(path, wrote)
}

func writeError(w http.ResponseWriter, status int, body etcdjson.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (s *Server) header() etcdjson.Header { return etcdjson.Header{Revision: s.state.revision} }

func (s *Server) handleRange(req *etcdjson.RangeRequest) (any, *apiError) {
	if staleRevision := s.faults.staleRevision; staleRevision > 0 {
		return queryRange(req, s.state.contentAt(staleRevision), staleRevision), nil
	}
	return queryRange(req, s.state.current, s.state.revision), nil
}

func queryRange(req *etcdjson.RangeRequest, content map[string]etcdjson.KeyValue, revision int64) *etcdjson.RangeResponse {
	resp := &etcdjson.RangeResponse{Header: etcdjson.Header{Revision: revision}}
	for k, kv := range content {
		if !inRange(k, req.Key, req.RangeEnd) {
			continue
		}
		if req.KeysOnly {
			kv.Value = nil
		}
		resp.KVs = append(resp.KVs, kv)
	}
	resp.Count = int64(len(resp.KVs))
	slices.SortFunc(resp.KVs, func(a, b etcdjson.KeyValue) int {
		if req.SortTarget == etcdjson.TargetMod && req.SortOrder == etcdjson.SortDescend {
			return int(b.ModRevision - a.ModRevision)
		}
		return strings.Compare(string(a.Key), string(b.Key))
	})
	if req.Limit > 0 && resp.Count > req.Limit {
		resp.KVs = resp.KVs[:req.Limit]
	}
	return resp
}

func (s *Server) handleTxn(req *etcdjson.TxnRequest) (any, *apiError) {
	resp := &etcdjson.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		if c.Target != etcdjson.TargetMod || c.Result != etcdjson.CompareEqual {
			return nil, invalidArgument("only an equal mod_revision can be compared")
		}
		resp.Succeeded = resp.Succeeded && s.state.current[string(c.Key)].ModRevision == c.ModRevision
	}
	ops := req.Failure
	if resp.Succeeded {
		ops = req.Success
	}
	for _, op := range ops {
		r, opErr := s.applyOp(op)
		if opErr != nil {
			return nil, opErr
		}
		resp.Responses = append(resp.Responses, r)
	}
	resp.Header = s.header()
	return resp, nil
}

func (s *Server) applyOp(op etcdjson.RequestOp) (etcdjson.ResponseOp, *apiError) {
	switch {
	case op.Put != nil:
		if len(op.Put.Value) > maxValueSize {
			return etcdjson.ResponseOp{}, invalidArgument("etcdserver: request is too large")
		}
		if op.Put.Lease != 0 && s.state.leases[op.Put.Lease] == nil {
			return etcdjson.ResponseOp{}, leaseNotFound()
		}
		s.state.put(op.Put)
	case op.Delete != nil:
		s.state.remove(string(op.Delete.Key))
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: queryRange(op.Range, s.state.current, s.state.revision)}, nil
	}
	return etcdjson.ResponseOp{}, nil
}

func (s *Server) handleGrant(req *etcdjson.GrantRequest) (any, *apiError) {
	if req.TTL <= 0 {
		return nil, invalidArgument("etcdserver: too small lease TTL")
	}
	s.state.lastLease++
	id, ttl := s.state.lastLease, time.Duration(req.TTL)*time.Second
	s.state.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	return &etcdjson.LeaseResponse{Header: s.header(), ID: id, TTL: req.TTL}, nil
}

// handleKeepAlive returns a TTL of 0 for a lease that does not exist, as etcd
// does.
func (s *Server) handleKeepAlive(req *etcdjson.LeaseRequest) (any, *apiError) {
	resp := &etcdjson.LeaseResponse{Header: s.header(), ID: req.ID}
	if l := s.state.leases[req.ID]; l != nil {
		l.timer.Reset(l.ttl)
		resp.TTL = int64(l.ttl / time.Second)
	}
	return &etcdjson.KeepAliveMessage{Result: resp}, nil
}

func (s *Server) handleRevoke(req *etcdjson.LeaseRequest) (any, *apiError) {
	if !s.state.removeLease(req.ID) {
		return nil, leaseNotFound()
	}
	return &etcdjson.LeaseResponse{Header: s.header()}, nil
}

func invalidArgument(message string) *apiError {
	return &apiError{http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: message}}
}

func leaseNotFound() *apiError {
	return &apiError{http.StatusNotFound, etcdjson.Error{Code: etcdjson.CodeNotFound, Message: "etcdserver: requested lease not found"}}
}
