package standin

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/store/etcdjson"
)

// maxHistory is how many events are kept for watches before the older half is
// compacted, so that a process that runs for months does not grow.
const maxHistory = 10_000

// change is one event of the history.
type change struct {
	kv      etcdjson.KeyValue
	deleted bool
}

// lease holds a time to live and the timer that ends it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// state is the store's content. The caller holds the server's lock.
type state struct {
	revision  int64
	compacted int64 // events up to here are gone
	live      map[string]etcdjson.KeyValue
	base      map[string]etcdjson.KeyValue // content at compacted
	history   []change
	leases    map[int64]*lease
	lastLease int64
}

func newState() *state {
	return &state{
		revision: 1,
		live:     map[string]etcdjson.KeyValue{},
		base:     map[string]etcdjson.KeyValue{},
		leases:   map[int64]*lease{},
	}
}

// inRange follows etcd: no end selects key alone, an end of one zero byte all
// keys from key on.
func inRange(k string, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return k == string(key)
	case bytes.Equal(end, []byte{0}):
		return k >= string(key)
	}
	return k >= string(key) && k < string(end)
}

func (s *state) put(req *etcdjson.PutRequest) {
	s.revision++
	old := s.live[string(req.Key)]
	kv := etcdjson.KeyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease, ModRevision: s.revision,
		CreateRevision: old.CreateRevision, Version: old.Version + 1,
	}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = s.revision
	}
	s.live[string(req.Key)] = kv
	s.record(change{kv: kv})
}

// remove deletes keys at one revision, as etcd does for one request.
func (s *state) remove(keys ...string) {
	keys = slices.DeleteFunc(keys, func(k string) bool { return s.live[k].ModRevision == 0 })
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		delete(s.live, k)
		s.record(change{kv: etcdjson.KeyValue{Key: []byte(k), ModRevision: s.revision}, deleted: true})
	}
}

func (s *state) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.compact(s.history[maxHistory/2].kv.ModRevision)
	}
}

// compact forgets the events up to revision.
func (s *state) compact(revision int64) {
	n := 0
	for n < len(s.history) && s.history[n].kv.ModRevision <= revision {
		s.history[n].apply(s.base)
		n++
	}
	s.history = slices.Clone(s.history[n:])
	s.compacted = max(s.compacted, min(revision, s.revision))
}

func (c change) apply(content map[string]etcdjson.KeyValue) {
	if c.deleted {
		delete(content, string(c.kv.Key))
		return
	}
	content[string(c.kv.Key)] = c.kv
}

// at gives the content at a revision that is not compacted.
func (s *state) at(revision int64) map[string]etcdjson.KeyValue {
	content := maps.Clone(s.base)
	for _, c := range s.history {
		if c.kv.ModRevision <= revision {
			c.apply(content)
		}
	}
	return content
}

// since lists the events of a range from revision start on.
func (s *state) since(start int64, key, end []byte) []etcdjson.Event {
	var out []etcdjson.Event
	for _, c := range s.history {
		if c.kv.ModRevision < start || !inRange(string(c.kv.Key), key, end) {
			continue
		}
		ev := etcdjson.Event{KV: c.kv}
		if c.deleted {
			ev.Type = etcdjson.EventDelete
		}
		out = append(out, ev)
	}
	return out
}

// endLease deletes the lease with its keys, and tells whether it existed.
func (s *state) endLease(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for k, kv := range s.live {
		if kv.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	s.remove(keys...)
	return true
}
