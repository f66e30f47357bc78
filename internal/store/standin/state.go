package standin

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/store/etcdjson"
)

// maxHistory is the number of events kept for watches. When it is exceeded the
// older half is compacted, so that memory stays bounded in a process that runs
// for months.
const maxHistory = 10_000

// change is one event of the history.
type change struct {
	kv      etcdjson.KeyValue
	deleted bool
}

// lease is a time to live and the timer that ends the lease.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// state is the store's content. Callers of its methods hold the server's lock.
type state struct {
	revision  int64
	compacted int64 // events up to this revision have been removed
	current   map[string]etcdjson.KeyValue
	baseline  map[string]etcdjson.KeyValue // content at revision compacted
	history   []change
	leases    map[int64]*lease
	lastLease int64
}

func newState() *state {
	return &state{
		revision: 1,
		current:  map[string]etcdjson.KeyValue{},
		baseline: map[string]etcdjson.KeyValue{},
		leases:   map[int64]*lease{},
	}
}

// inRange reports whether k is in [key, end) by etcd's rules: an empty end
// selects key alone, and an end of one zero byte selects all keys from key on.
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
	old := s.current[string(req.Key)]
	kv := etcdjson.KeyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease, ModRevision: s.revision,
		CreateRevision: old.CreateRevision, Version: old.Version + 1,
	}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = s.revision
	}
	s.current[string(req.Key)] = kv
	s.record(change{kv: kv})
}

// remove deletes keys in a single revision, as etcd does for one request.
func (s *state) remove(keys ...string) {
	keys = slices.DeleteFunc(keys, func(k string) bool { return s.current[k].ModRevision == 0 })
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		delete(s.current, k)
		s.record(change{kv: etcdjson.KeyValue{Key: []byte(k), ModRevision: s.revision}, deleted: true})
	}
}

func (s *state) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.compact(s.history[maxHistory/2].kv.ModRevision)
	}
}

// compact removes the events up to revision from the history.
func (s *state) compact(revision int64) {
	n := 0
	for n < len(s.history) && s.history[n].kv.ModRevision <= revision {
		s.history[n].apply(s.baseline)
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

// contentAt returns the content at a revision that is not compacted.
func (s *state) contentAt(revision int64) map[string]etcdjson.KeyValue {
	content := maps.Clone(s.baseline)
	for _, c := range s.history {
		if c.kv.ModRevision <= revision {
			c.apply(content)
		}
	}
	return content
}

// eventsSince returns the events of a key range from revision start on.
func (s *state) eventsSince(start int64, key, end []byte) []etcdjson.Event {
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

// removeLease deletes the lease and its keys. It reports whether the lease
// existed.
func (s *state) removeLease(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for k, kv := range s.current {
		if kv.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	s.remove(keys...)
	return true
}
