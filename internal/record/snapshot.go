package record

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"maps"
	"slices"
	"strings"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/store"
)

// Raw is one record as the store holds it.
type Raw struct {
	Key         string `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint"`
	ModRevision int64  `cbor:"3,keyasint"`
}

// Rejected is a record that is not in force as the store holds it.
type Rejected struct {
	Key         string
	ModRevision int64
	Reason      string
	// TooNew means that its schema is above what this software understands.
	TooNew bool
	// FallbackRevision is the revision of the record that is obeyed in its place; 0 if
	// there is none.
	FallbackRevision int64
}

// Snapshot is the whole configuration at one revision of the store. It never
// changes, and any goroutine may read it.
type Snapshot struct {
	// Revision is the store's revision up to which the snapshot is complete.
	Revision int64

	raw       map[string]Raw // as the store holds them
	fallbacks map[string]Raw // obeyed in place of a rejected one
	rejected  []Rejected
	parsed    map[string]*Parsed // the records in force as the store holds them

	members  map[string]*Member
	services map[string]*Service
	policies map[string]*Policy
	jobs     map[string]*Job
	tokens   []tokenEntry
}

// tokenEntry is one good token of a member.
type tokenEntry struct {
	hash   TokenHash
	member *Member
}

// Build makes the snapshot of raw records at revision. Records that cannot be
// read stay as they were in before, which may be nil: if a newer process
// writes a schema that this one has never heard of, or a record is spoilt, the
// service must go on under what was accepted last, and not under defaults.
func Build(previous *Snapshot, raw []Raw, revision int64) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		raw:      make(map[string]Raw, len(raw)), fallbacks: map[string]Raw{},
		parsed:  make(map[string]*Parsed, len(raw)),
		members: map[string]*Member{}, services: map[string]*Service{},
		policies: map[string]*Policy{}, jobs: map[string]*Job{},
	}
	for _, r := range raw {
		s.raw[r.Key] = r
	}
	for _, key := range slices.Sorted(maps.Keys(s.raw)) {
		s.addRecord(previous, s.raw[key])
	}
	s.indexTokens()
	return s
}

func (s *Snapshot) addRecord(previous *Snapshot, r Raw) {
	p, err := previous.parseCached(r)
	if err == nil {
		s.parsed[r.Key] = p
		s.index(p)
		return
	}
	rejection := Rejected{Key: r.Key, ModRevision: r.ModRevision, Reason: err.Error(), TooNew: errors.Is(err, ErrSchemaTooNew)}
	if fallback, ok := previous.acceptedRecord(r.Key); ok {
		if p, err := parseRaw(fallback); err == nil {
			s.index(p)
			s.fallbacks[r.Key] = fallback
			rejection.FallbackRevision = fallback.ModRevision
		}
	}
	s.rejected = append(s.rejected, rejection)
}

// parseCached is parseRaw, but for a record that s has read already.
func (s *Snapshot) parseCached(r Raw) (*Parsed, error) {
	if s != nil && bytes.Equal(s.raw[r.Key].Value, r.Value) {
		if p, ok := s.parsed[r.Key]; ok {
			return p, nil
		}
	}
	return parseRaw(r)
}

func parseRaw(r Raw) (*Parsed, error) {
	kind, name, err := ParseKey(r.Key)
	if err != nil {
		return nil, err
	}
	return ParseAs(kind, name, r.Value)
}

// acceptedRecord gives the record that s obeys under key.
func (s *Snapshot) acceptedRecord(key string) (Raw, bool) {
	if s == nil {
		return Raw{}, false
	}
	if r, ok := s.fallbacks[key]; ok {
		return r, true
	}
	r, ok := s.raw[key]
	return r, ok
}

func (s *Snapshot) index(p *Parsed) {
	switch p.Kind {
	case KindMember:
		s.members[p.Name] = p.Member
	case KindService:
		s.services[p.Name] = p.Service
	case KindPolicy:
		s.policies[p.Name] = p.Policy
	case KindJob:
		s.jobs[p.Name] = p.Job
	}
}

// indexTokens leaves out a hash that two members claim. Otherwise a member that
// learned a rival's hash could copy it into its own record, and the rival's
// callers would be served as the wrong member.
func (s *Snapshot) indexTokens() {
	claims := map[TokenHash]int{}
	for _, m := range s.members {
		for _, h := range m.Tokens {
			claims[h]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		for _, h := range m.Tokens {
			if claims[h] == 1 {
				s.tokens = append(s.tokens, tokenEntry{hash: h, member: m})
			}
		}
	}
}

// CheckTokens refuses a hash that another member's record holds: no request
// would be served under it, neither the one member's nor the other's.
func (s *Snapshot) CheckTokens(m *Member) error {
	for _, t := range s.tokens {
		if t.member.Name != m.Name && slices.Contains(m.Tokens, t.hash) {
			return &FieldError{Path: "token_sha256", Problem: "a hash is in use already; make a new token"}
		}
	}
	return nil
}

// HashToken gives what a member's record holds in place of a token.
func HashToken(text string) TokenHash { return sha256.Sum256([]byte(text)) }

// MemberByToken finds the member that a caller's token belongs to. It compares
// with every hash, so that its time tells nothing of how close a guess was.
func (s *Snapshot) MemberByToken(text string) (*Member, bool) {
	h := HashToken(text)
	found := -1
	for i := range s.tokens {
		equal := subtle.ConstantTimeCompare(h[:], s.tokens[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return nil, false
	}
	return s.tokens[found].member, true
}

// Member finds a member by name.
func (s *Snapshot) Member(name string) (*Member, bool) {
	m, ok := s.members[name]
	return m, ok
}

// Service finds "member/service". A service whose member's record was deleted
// is not in force; it comes back with the member.
func (s *Snapshot) Service(name string) (*Service, bool) {
	if _, ok := s.members[Owner(name)]; !ok {
		return nil, false
	}
	v, ok := s.services[name]
	return v, ok
}

// PolicyFor gives the policy of a service, or the default one. The caller fills
// in Entries and Domain, which no record holds.
func (s *Snapshot) PolicyFor(service string) dispatch.Policy {
	if p, ok := s.policies[service]; ok {
		return p.Dispatch
	}
	return dispatch.DefaultPolicy()
}

// Job finds "member/job". A job whose service is not in force is not either.
func (s *Snapshot) Job(name string) (*Job, bool) {
	j, ok := s.jobs[name]
	if !ok {
		return nil, false
	}
	_, ok = s.Service(j.Service)
	return j, ok
}

// Services lists the names of the services in force, sorted.
func (s *Snapshot) Services() []string {
	var out []string
	for name := range s.services {
		if _, ok := s.Service(name); ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Members lists the names of all members, sorted.
func (s *Snapshot) Members() []string { return slices.Sorted(maps.Keys(s.members)) }

// Rejected lists the records that are not in force as the store holds them.
func (s *Snapshot) Rejected() []Rejected { return slices.Clone(s.rejected) }

// Raw gives a record as the store holds it, in force or not.
func (s *Snapshot) Raw(kind Kind, name string) (Raw, bool) {
	r, ok := s.raw[Key(kind, name)]
	return r, ok
}

// List gives the records of one member as the store holds them, sorted by key.
func (s *Snapshot) List(member string) []Raw {
	return s.filterRecords(func(_ Kind, name string) bool { return Owner(name) == member })
}

// ListKind gives the records of one kind as the store holds them, sorted.
func (s *Snapshot) ListKind(kind Kind) []Raw {
	return s.filterRecords(func(k Kind, _ string) bool { return k == kind })
}

func (s *Snapshot) filterRecords(match func(kind Kind, name string) bool) []Raw {
	var out []Raw
	for _, r := range s.raw {
		if kind, name, err := ParseKey(r.Key); err == nil && match(kind, name) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Raw) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Len is the number of records that the store holds.
func (s *Snapshot) Len() int { return len(s.raw) }

// Apply gives the snapshot after a batch of changes.
func (s *Snapshot) Apply(b store.Batch) *Snapshot {
	raw := maps.Clone(s.raw)
	for _, ev := range b.Events {
		if ev.Deleted {
			delete(raw, ev.Key)
			continue
		}
		raw[ev.Key] = Raw{Key: ev.Key, Value: ev.Value, ModRevision: ev.ModRevision}
	}
	return Build(s, slices.Collect(maps.Values(raw)), b.Revision)
}

// HasSameRecords tells whether the snapshot holds exactly these records.
func (s *Snapshot) HasSameRecords(raw []Raw) bool {
	if s == nil || len(raw) != len(s.raw) {
		return false
	}
	for _, r := range raw {
		if s.raw[r.Key].ModRevision != r.ModRevision {
			return false
		}
	}
	return true
}
