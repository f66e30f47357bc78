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

// Raw is a record as stored, not parsed.
type Raw struct {
	Key         string `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint"`
	ModRevision int64  `cbor:"3,keyasint"`
}

// Rejected describes a record whose stored version is not used.
type Rejected struct {
	Key         string
	ModRevision int64
	Reason      string
	// TooNew means that the record's schema is newer than this build can read.
	TooNew bool
	// FallbackRevision is the revision of the earlier version that is used
	// instead; 0 if there is none.
	FallbackRevision int64
}

// Snapshot is the whole configuration at one revision of the store. It is immutable
// and safe for concurrent use.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot has all changes.
	Revision int64

	raw       map[string]Raw // as stored
	fallbacks map[string]Raw // earlier versions used instead of rejected records
	rejected  []Rejected
	parsed    map[string]*Parsed // valid records by key, as stored

	members  map[string]*Member
	services map[string]*Service
	policies map[string]*Policy
	jobs     map[string]*Job
	tokens   []memberToken
}

// memberToken is the hash of a valid token and the member that it belongs to.
type memberToken struct {
	hash   TokenHash
	member *Member
}

// Build returns the snapshot of raw records at revision. For a record that cannot be
// read, the version accepted in previous, which may be nil, stays in use. If a newer
// process writes a schema that this build cannot read, or a record is corrupt, the
// service must continue under the last accepted version, not under defaults.
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

// parseCached is like parseRaw but reuses the result for a record that s contains.
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

// acceptedRecord returns the record that s uses for key.
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

// indexTokens builds the token index without hashes that two members claim.
// Otherwise a member that obtained another member's hash could copy it into its own
// record, and the other member's callers would be served as the wrong member.
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
				s.tokens = append(s.tokens, memberToken{hash: h, member: m})
			}
		}
	}
}

// CheckTokens returns an error if another member's record contains one of m's token
// hashes: requests with that token would be rejected for both members.
func (s *Snapshot) CheckTokens(m *Member) error {
	for _, t := range s.tokens {
		if t.member.Name != m.Name && slices.Contains(m.Tokens, t.hash) {
			return &FieldError{Path: "token_sha256", Problem: "a hash is in use already; make a new token"}
		}
	}
	return nil
}

// HashToken returns the hash of a token, as it is stored in a member's record.
func HashToken(text string) TokenHash { return sha256.Sum256([]byte(text)) }

// MemberByToken returns the member that a caller's token belongs to. It compares the
// token with every hash in constant time, so that the response time does not reveal
// how close a guess was.
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

// Member returns the member of the given name.
func (s *Snapshot) Member(name string) (*Member, bool) {
	m, ok := s.members[name]
	return m, ok
}

// Service returns the service "member/service". A service whose member's record was
// deleted is not active until the member is recreated.
func (s *Snapshot) Service(name string) (*Service, bool) {
	if _, ok := s.members[Owner(name)]; !ok {
		return nil, false
	}
	v, ok := s.services[name]
	return v, ok
}

// PolicyFor returns the policy of a service, or the default policy. The caller sets
// Entries and Domain, which are not part of records.
func (s *Snapshot) PolicyFor(service string) dispatch.Policy {
	if p, ok := s.policies[service]; ok {
		return p.Dispatch
	}
	return dispatch.DefaultPolicy()
}

// Job returns the job "member/job". A job is only active if its service is.
func (s *Snapshot) Job(name string) (*Job, bool) {
	j, ok := s.jobs[name]
	if !ok {
		return nil, false
	}
	_, ok = s.Service(j.Service)
	return j, ok
}

// Services returns the sorted names of the active services.
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

// Members returns the sorted names of all members.
func (s *Snapshot) Members() []string { return slices.Sorted(maps.Keys(s.members)) }

// Rejected returns the records whose stored version is not used.
func (s *Snapshot) Rejected() []Rejected { return slices.Clone(s.rejected) }

// Raw returns a record as stored, whether it is used or rejected.
func (s *Snapshot) Raw(kind Kind, name string) (Raw, bool) {
	r, ok := s.raw[Key(kind, name)]
	return r, ok
}

// List returns the stored records of one member, sorted by key.
func (s *Snapshot) List(member string) []Raw {
	return s.filterRecords(func(_ Kind, name string) bool { return Owner(name) == member })
}

// ListKind returns the stored records of one kind, sorted by key.
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

// Len returns the number of stored records.
func (s *Snapshot) Len() int { return len(s.raw) }

// Apply returns the snapshot after a batch of changes.
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

// HasSameRecords reports whether the snapshot has exactly these records, by key and
// revision.
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
