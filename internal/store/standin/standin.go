// Package standin is a small stand-in of the platform's key-value service: the
// part of etcd v3's JSON gateway that package store uses, in memory, in one
// process. Tests run against it and set its Faults; the standalone command
// embeds it. It keeps nothing over a restart.
//
// It may import store/etcdjson and nothing else of the project.
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

// Limits of the service that the brief describes.
const (
	maxValue = 1 << 20 // bytes of a value
	maxBody  = 2 << 20 // bytes of a request, whose values are base64
)

// Server is the stand-in; it is an http.Handler.
type Server struct {
	mu      sync.Mutex
	state   *state
	changed chan struct{} // closed and replaced when a watch must look again
	faults  Faults
	calls   map[string]int
	streams int // number that ends the streams opened under a lower one
	mux     *http.ServeMux
}

// New makes an empty store at revision 1.
func New() *Server {
	s := &Server{state: newState(), changed: make(chan struct{}), calls: map[string]int{}, mux: http.NewServeMux()}
	s.mux.HandleFunc(etcdjson.PathRange, handle(s, s.doRange))
	s.mux.HandleFunc(etcdjson.PathTxn, handle(s, s.doTxn))
	s.mux.HandleFunc(etcdjson.PathGrant, handle(s, s.doGrant))
	s.mux.HandleFunc(etcdjson.PathKeepAlive, handle(s, s.doKeepAlive))
	s.mux.HandleFunc(etcdjson.PathRevoke, handle(s, s.doRevoke))
	s.mux.HandleFunc(etcdjson.PathWatch, s.watch)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeError(w, http.StatusNotImplemented, etcdjson.Error{Message: "only POST"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	s.mux.ServeHTTP(w, r)
}

// Calls tells how many calls came in for a path, failed ones included.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Revision gives the store's revision.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// Close stops the timers of leases and ends the watches.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		l.timer.Stop()
	}
	s.streams++
	s.wake()
}

// wake makes every watch look again. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apiError is what an operation refuses with.
type apiError struct {
	status int
	body   etcdjson.Error
}

// handle wraps one operation: decode, faults, the operation under the lock,
// faults, answer.
func handle[Req any](s *Server, op func(*Req) (any, *apiError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := new(Req)
		if err := json.NewDecoder(r.Body).Decode(req); err != nil {
			writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
			return
		}
		s.before(r)
		resp, refused, lose := s.run(r.URL.Path, func() (any, *apiError) { return op(req) })
		if lose {
			// The write took effect; its answer never arrives.
			panic(http.ErrAbortHandler)
		}
		if refused != nil {
			writeError(w, refused.status, refused.body)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp) // the client has gone
	}
}

func (s *Server) run(path string, op func() (any, *apiError)) (resp any, refused *apiError, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.revision
	resp, refused = op()
	wrote := s.state.revision != before
	if wrote {
		s.wake()
	}
	return resp, refused, s.faults.loses(path, wrote)
}

func writeError(w http.ResponseWriter, status int, body etcdjson.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone
}

func (s *Server) header() etcdjson.Header { return etcdjson.Header{Revision: s.state.revision} }

func (s *Server) doRange(req *etcdjson.RangeRequest) (any, *apiError) {
	if past := s.faults.past; past > 0 {
		return rangeOf(req, s.state.at(past), past), nil
	}
	return rangeOf(req, s.state.live, s.state.revision), nil
}

func rangeOf(req *etcdjson.RangeRequest, content map[string]etcdjson.KeyValue, revision int64) *etcdjson.RangeResponse {
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

func (s *Server) doTxn(req *etcdjson.TxnRequest) (any, *apiError) {
	resp := &etcdjson.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		if c.Target != etcdjson.TargetMod || c.Result != etcdjson.CompareEqual {
			return nil, invalid("only an equal mod_revision can be compared")
		}
		resp.Succeeded = resp.Succeeded && s.state.live[string(c.Key)].ModRevision == c.ModRevision
	}
	ops := req.Failure
	if resp.Succeeded {
		ops = req.Success
	}
	for _, op := range ops {
		r, refused := s.apply(op)
		if refused != nil {
			return nil, refused
		}
		resp.Responses = append(resp.Responses, r)
	}
	resp.Header = s.header()
	return resp, nil
}

func (s *Server) apply(op etcdjson.RequestOp) (etcdjson.ResponseOp, *apiError) {
	switch {
	case op.Put != nil:
		if len(op.Put.Value) > maxValue {
			return etcdjson.ResponseOp{}, invalid("etcdserver: request is too large")
		}
		if op.Put.Lease != 0 && s.state.leases[op.Put.Lease] == nil {
			return etcdjson.ResponseOp{}, leaseNotFound()
		}
		s.state.put(op.Put)
	case op.Delete != nil:
		s.state.remove(string(op.Delete.Key))
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: rangeOf(op.Range, s.state.live, s.state.revision)}, nil
	}
	return etcdjson.ResponseOp{}, nil
}

func (s *Server) doGrant(req *etcdjson.GrantRequest) (any, *apiError) {
	if req.TTL <= 0 {
		return nil, invalid("etcdserver: too small lease TTL")
	}
	s.state.lastLease++
	id, ttl := s.state.lastLease, time.Duration(req.TTL)*time.Second
	s.state.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	return &etcdjson.LeaseResponse{Header: s.header(), ID: id, TTL: req.TTL}, nil
}

// doKeepAlive answers a TTL of 0 for a lease that is gone, as etcd does.
func (s *Server) doKeepAlive(req *etcdjson.LeaseRequest) (any, *apiError) {
	resp := &etcdjson.LeaseResponse{Header: s.header(), ID: req.ID}
	if l := s.state.leases[req.ID]; l != nil {
		l.timer.Reset(l.ttl)
		resp.TTL = int64(l.ttl / time.Second)
	}
	return &etcdjson.KeepAliveMessage{Result: resp}, nil
}

func (s *Server) doRevoke(req *etcdjson.LeaseRequest) (any, *apiError) {
	if !s.state.endLease(req.ID) {
		return nil, leaseNotFound()
	}
	return &etcdjson.LeaseResponse{Header: s.header()}, nil
}

func invalid(message string) *apiError {
	return &apiError{http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: message}}
}

func leaseNotFound() *apiError {
	return &apiError{http.StatusNotFound, etcdjson.Error{Code: etcdjson.CodeNotFound, Message: "etcdserver: requested lease not found"}}
}
