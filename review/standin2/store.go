package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*kvLease
	changed  chan struct{} // closed and replaced at each change
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *kvStore {
	return &kvStore{revision: 1, items: make(map[string]item), leases: make(map[int64]*kvLease), changed: make(chan struct{})}
}

// listen serves the store at a free port of a loopback address.
func (s *kvStore) listen(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	s.revision++
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if previous, ok := s.items[key]; ok {
		next.Created = previous.Created
	}
	s.items[key] = next
	s.addEvent(next)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.addEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *kvStore) addEvent(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) endLease(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements the calls that PROTOCOL.md names.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/wigeontray/")
	switch {
	case path == "kv-key":
		s.serveKey(w, q.Get("key"))
	case path == "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"), false)
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-lease-end/"), true)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies are plain values
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *kvStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "current_rev": s.revision})
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "current_rev": s.revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed, events := s.revision, s.changed, []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		waiting := len(events) == 0
		if waiting {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
		return
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, differs := []item{}, false
	for _, e := range body.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		differs = differs || it.Revision != e.Revision
	}
	if differs {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs <= 0 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases)) + 1000
	for s.leases[id] != nil {
		id++
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	l := &kvLease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == l {
			s.endLease(id)
		}
	})
	s.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMs})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, name string, end bool) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	case end:
		s.endLease(id)
	default:
		l.timer.Reset(l.ttl)
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
