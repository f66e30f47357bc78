package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one key of the store, and also one event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// kvStore is a stand-in for the platform's metadata store. It is linearizable and loses nothing.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

func newStore() *kvStore {
	return &kvStore{revision: 100, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
}

// gate is the store's address for one machine. While refused is set, the store turns the machine
// away with 503, which means that nothing was done.
type gate struct {
	store   *kvStore
	refused atomic.Bool
	address string
}

func (s *kvStore) listen(host string) (*gate, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, address: l.Addr().String()}
	go func() { _ = http.Serve(l, g) }() // ends with the process
	return g, nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.refused.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := g.store.handle(r, &g.refused)
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain structs
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *kvStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: []byte(value)})
}

// write stores an item. mu must be held.
func (s *kvStore) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if previous, exists := s.items[i.Key]; exists {
		i.Created = previous.Created
	}
	s.items[i.Key] = i
	s.appendEvent(i)
}

// remove deletes a key. mu must be held.
func (s *kvStore) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *kvStore) appendEvent(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) handle(r *http.Request, refused *atomic.Bool) (int, any) {
	const prefix = "/wigeontray/"
	switch path := strings.TrimPrefix(r.URL.Path, prefix); {
	case path == "kv-key":
		return s.get(r)
	case path == "kv-range":
		return s.list(r)
	case path == "kv-watch":
		return s.watch(r, refused)
	case path == "kv-txn":
		return s.txn(r)
	case path == "kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "kv-keep/"):
		return s.renew(strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		return s.revoke(strings.TrimPrefix(path, "kv-lease-end/"))
	}
	return http.StatusNotFound, struct{}{}
}

func (s *kvStore) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		return http.StatusNotFound, map[string]any{"current_rev": s.revision}
	}
	return http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision,
	}
}

func (s *kvStore) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return http.StatusOK, map[string]any{"items": found, "has_more": false, "current_rev": s.revision}
}

func (s *kvStore) watch(r *http.Request, refused *atomic.Bool) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found, revision, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		body := map[string]any{"events": found, "current_rev": revision}
		switch {
		case refused.Load():
			return http.StatusServiceUnavailable, struct{}{}
		case len(found) > 0:
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, body
		case <-r.Context().Done():
			return http.StatusOK, body
		}
	}
}

type txnRequest struct {
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

func (s *kvStore) txn(r *http.Request) (int, any) {
	var t txnRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, differs := []item{}, false
	for _, e := range t.Expected {
		i, exists := s.items[e.Key]
		if exists {
			current = append(current, i)
		}
		differs = differs || i.Revision != e.Revision
	}
	if differs {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
		if l := s.leases[p.Lease]; l != nil {
			l.keys[p.Key] = true
		}
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *kvStore) grant(r *http.Request) (int, any) {
	var b struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(max(1000, b.TTLMs))*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, keys: make(map[string]bool), timer: time.AfterFunc(ttl, func() { s.end(id) })}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()}
}

func (s *kvStore) renew(name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(name, 10, 64)
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *kvStore) revoke(name string) (int, any) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.end(id)
	return http.StatusOK, struct{}{}
}

// end removes a lease and its keys.
func (s *kvStore) end(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}
