package record

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/store"
)

func rawRecord(kind Kind, name, value string, revision int64) Raw {
	return Raw{Key: Key(kind, name), Value: []byte(value), ModRevision: revision}
}

func memberWithToken(name, token string) Raw {
	h := HashToken(token)
	return rawRecord(KindMember, name, fmt.Sprintf(`{"kind":"member","name":%q,"schema":1,"token_sha256":[%q]}`, name, hex.EncodeToString(h[:])), 1)
}

func TestOldAndNewServiceSchemasCoexist(t *testing.T) {
	c := qt.New(t)
	s := Build(nil, []Raw{
		memberWithToken("ayni", "t"),
		rawRecord(KindService, "ayni/old", `{"kind":"service","name":"ayni/old","schema":1,"path":"/b","deadline_ms":3000,"run_s":0.25,"max_tasks":50}`, 2),
		rawRecord(KindService, "ayni/new", `{"kind":"service","name":"ayni/new","schema":2,"path":"/b","default_deadline_ms":3000,"declared_ms":250,"max_tasks":50}`, 3),
	}, 3)
	c.Assert(s.Rejected(), qt.HasLen, 0)
	before, _ := s.Service("ayni/old")
	after, _ := s.Service("ayni/new")
	want := Service{Path: "/b", DefaultDeadlineMs: 3000, DeclaredMs: 250, MaxTasks: 50, MaxBody: defaultBodyBytes}
	want.Name = "ayni/old"
	c.Assert(*before, qt.Equals, want)
	want.Name = "ayni/new"
	c.Assert(*after, qt.Equals, want)
}

func TestTaskResourceRequirements(t *testing.T) {
	c := qt.New(t)
	s := Build(nil, []Raw{
		memberWithToken("ayni", "t"),
		rawRecord(KindService, "ayni/new", `{"kind":"service","name":"ayni/new","schema":3,"accelerators":2,"memory_mb":64000}`, 2),
		rawRecord(KindService, "ayni/old", `{"kind":"service","name":"ayni/old","schema":2,"accelerators":2}`, 3),
		rawRecord(KindJob, "ayni/j", `{"kind":"job","name":"ayni/j","schema":2,"service":"ayni/new","accelerators":4}`, 4),
	}, 4)
	c.Assert(s.Rejected(), qt.HasLen, 1)
	sv, _ := s.Service("ayni/new")
	c.Assert(sv.Need, qt.Equals, dispatch.Need{Accelerators: 2, MemoryMB: 64_000})
	j, _ := s.Job("ayni/j")
	c.Assert(j.Need, qt.Equals, dispatch.Need{Accelerators: 4})
}

func TestPolicyRecordIsConvertedToDispatchPolicy(t *testing.T) {
	c := qt.New(t)
	s := Build(nil, []Raw{rawRecord(KindPolicy, "leeuwin/clubcast", `{"kind":"policy","name":"leeuwin/clubcast","schema":1,
		"weighting":"messages","max_queued":100,"retry_ratio":0.1,"grace_ms":500,
		"teams":{"day-1":{"starts_per_second":40,"burst":80,"weight":2},"day-2":{"starts_per_second":1,"burst":1}}}`, 1)}, 1)
	c.Assert(s.Rejected(), qt.HasLen, 0)
	c.Assert(s.PolicyFor("leeuwin/clubcast"), qt.DeepEquals, dispatch.Policy{
		Weighting: dispatch.PreferFewMessages, Entries: 1, MaxQueued: 100, RetryRatio: 0.1, GracePeriod: 500 * time.Millisecond,
		Teams: map[string]dispatch.Quota{"day-1": {StartsPerSecond: 40, Burst: 80, Weight: 2}, "day-2": {StartsPerSecond: 1, Burst: 1, Weight: 1}},
	})
	c.Assert(s.PolicyFor("leeuwin/other"), qt.DeepEquals, dispatch.DefaultPolicy())
}

// An operator makes a mistake in a record. Ignoring it would leave a team without
// its quota or a service with an unintended default; the error must name the field.
func TestInvalidFieldsAreReportedByPath(t *testing.T) {
	hexDigits := strings.Repeat("0a", len(TokenHash{}))
	for value, want := range map[string]string{
		`{"kind":"service","name":"a/b","schema":2,"deadline_ms":1}`:                                                                      `deadline_ms: unknown field`,
		`{"kind":"service","name":"a/b","schema":1,"max_body":1}`:                                                                         `max_body: unknown field`,
		`{"kind":"service","name":"a/b","schema":2,"max_tasks":501}`:                                                                      `max_tasks: 501 is not within 1 to 500`,
		`{"kind":"service","name":"a/b","schema":2,"max_tasks":"5"}`:                                                                      `max_tasks: want a whole number`,
		`{"kind":"service","name":"a/b","schema":2,"max_tasks":null}`:                                                                     `max_tasks: want a whole number`,
		`{"kind":"service","name":"a/b","schema":2,"Path":"/"}`:                                                                           `Path: unknown field`,
		`{"kind":"service","name":"a/b","schema":2,"path":"http://x/"}`:                                                                   `path: .*absolute path.*`,
		`{"kind":"service","name":"a/b"}`:                                                                                                 `schema: missing`,
		`{"kind":"service","name":"a","schema":2}`:                                                                                        `name: "a": want member/name .*`,
		`{"kind":"upstream","name":"a","schema":2}`:                                                                                       `kind: "upstream" is none of .*`,
		`{"kind":"policy","name":"a/b","schema":1,"teams":{"kiosk":{"starts_per_second":1,"burst":1,"bursts":1}}}`:                        `teams.kiosk.bursts: unknown field`,
		`{"kind":"policy","name":"a/b","schema":1,"teams":{"kiosk":{"starts_per_second":1,"burst":-1}}}`:                                  `teams.kiosk.burst: -1 is not within 1 to 1e\+06`,
		`{"kind":"policy","name":"a/b","schema":1,"teams":{"k":{"starts_per_second":1,"burst":1},"k":{"starts_per_second":1,"burst":1}}}`: `teams.k: stands twice`,
		`{"kind":"policy","name":"a/b","schema":1,"teams":{"k":{}}}`:                                                                      `teams.k.starts_per_second: missing\nteams.k.burst: missing`,
		`{"kind":"policy","name":"a/b","schema":1,"weighting":"fast"}`:                                                                    `weighting: "fast" is none of .*`,
		`{"kind":"job","name":"a/b","schema":1,"service":"c/d"}`:                                                                          `service: "c/d" belongs to another member`,
		`{"kind":"member","name":"a","schema":1,"token_sha256":["secret"]}`:                                                               `token_sha256.0: want 64 .*`,
		`{"kind":"member","name":"a","schema":1,"guard_key_sha256":["secret"]}`:                                                           `guard_key_sha256.0: want 64 .*`,
		`{"kind":"member","name":"a","schema":1,"token_sha256":["` + hexDigits + `"],"guard_key_sha256":["` + hexDigits + `"]}`:           `guard_key_sha256.0: is a caller's token as well`,
		`{"kind":"member","name":"a","schema":1} {}`:                                                                                      `more follows after the JSON object`,
		`{"kind":"member","name":"a","schema":1`:                                                                                          `malformed JSON: .*`,
		`{"kind":"policy","name":"a/b","schema":1,"retry_ratio":2,"max_queued":-1}`:                                                       `max_queued: .*\nretry_ratio: .*`,
		`{"kind":"member","name":"a","schema":1,"teams":["` + string(bytes.Repeat([]byte("x"), MaxSize)) + `"]}`:                          `\d+ bytes exceed 65536`,
	} {
		_, err := Parse([]byte(value))
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}

// A token is being rotated. Both tokens must be valid until callers have switched,
// and the old one must become invalid when it is removed from the record.
func TestTokenRotationAcceptsBothTokens(t *testing.T) {
	c := qt.New(t)
	a, b := HashToken("first"), HashToken("second")
	s := Build(nil, []Raw{rawRecord(KindMember, "ayni", fmt.Sprintf(`{"kind":"member","name":"ayni","schema":1,"token_sha256":["%x","%x"]}`, a, b), 1)}, 1)
	for _, token := range []string{"first", "second"} {
		m, ok := s.MemberByToken(token)
		c.Assert(ok, qt.IsTrue)
		c.Assert(m.Name, qt.Equals, "ayni")
	}
	s = s.Apply(store.Batch{Revision: 2, Events: []store.Event{{KV: store.KV{
		Key: Key(KindMember, "ayni"), ModRevision: 2, Value: fmt.Appendf(nil, `{"kind":"member","name":"ayni","schema":1,"token_sha256":["%x"]}`, b),
	}}}})
	_, ok := s.MemberByToken("first")
	c.Assert(ok, qt.IsFalse)
	_, ok = s.MemberByToken("")
	c.Assert(ok, qt.IsFalse)
}

// A member copies the hash of another member's token into its own record. The other
// member's requests must not be served as its own, since it could read them.
func TestTokenHashClaimedByTwoMembersIsInvalid(t *testing.T) {
	s := Build(nil, []Raw{memberWithToken("ayni", "same"), memberWithToken("leeuwin", "same")}, 1)
	_, ok := s.MemberByToken("same")
	qt.Assert(t, ok, qt.IsFalse)
}

// A record in the store is corrupted, manually or by a fault. The version accepted
// before must stay in use and the record must be listed as rejected, after further
// changes and after encoding and decoding the snapshot.
func TestCorruptRecordKeepsTheLastAcceptedOne(t *testing.T) {
	c := qt.New(t)
	good := rawRecord(KindService, "ayni/reserva", `{"kind":"service","name":"ayni/reserva","schema":2,"max_tasks":7}`, 2)
	s := Build(nil, []Raw{memberWithToken("ayni", "t"), good}, 2)
	change := func(revision int64, value string) store.Batch {
		return store.Batch{Revision: revision, Events: []store.Event{{KV: store.KV{Key: good.Key, Value: []byte(value), ModRevision: revision}}}}
	}
	s = s.Apply(change(3, `{"kind":`)).Apply(change(4, `{}`))
	b, err := s.Encode()
	c.Assert(err, qt.IsNil)
	decoded, err := Decode(nil, b)
	c.Assert(err, qt.IsNil)
	for _, s := range []*Snapshot{s, decoded} {
		v, ok := s.Service("ayni/reserva")
		c.Assert(ok, qt.IsTrue)
		c.Assert(v.MaxTasks, qt.Equals, 7)
		c.Assert(s.Rejected(), qt.HasLen, 1)
		c.Assert(s.Rejected()[0].FallbackRevision, qt.Equals, int64(2))
	}
	s = s.Apply(store.Batch{Revision: 5, Events: []store.Event{{KV: store.KV{Key: good.Key, ModRevision: 5}, Deleted: true}}})
	_, ok := s.Service("ayni/reserva")
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Rejected(), qt.HasLen, 0)
}

func TestSnapshotEncodingRoundTrip(t *testing.T) {
	c := qt.New(t)
	s := Build(nil, []Raw{memberWithToken("ayni", "t"), memberWithToken("leeuwin", "u")}, 9)
	b, err := s.Encode()
	c.Assert(err, qt.IsNil)
	got, err := Decode(nil, b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Revision, qt.Equals, int64(9))
	c.Assert(got.Members(), qt.DeepEquals, []string{"ayni", "leeuwin"})
	reencoded, _ := got.Encode()
	c.Assert(reencoded, qt.DeepEquals, b)
	c.Assert(got.List("ayni"), qt.HasLen, 1)
}

func TestWithWriteIDPreservesOtherFields(t *testing.T) {
	c := qt.New(t)
	b, err := WithWriteID([]byte(`{"schema":1,"name":"a/b","kind":"policy","retry_ratio":0.10,"write_id":"old"}`), "new")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, `{"kind":"policy","name":"a/b","retry_ratio":0.10,"schema":1,"write_id":"new"}`)
	c.Assert(WriteID(b), qt.Equals, "new")
}

// loadSamples returns a snapshot of one member's sample records.
func loadSamples(t *testing.T, member string) *Snapshot {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", member, "records", "*.json"))
	qt.Assert(t, err, qt.IsNil)
	var all []Raw
	for i, file := range files {
		b, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		p, err := Parse(b)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(file))
		all = append(all, rawRecord(p.Kind, p.Name, string(b), int64(i+1)))
	}
	return Build(nil, all, int64(len(all)))
}

func TestSampleRecords(t *testing.T) {
	for member, names := range map[string][2]string{
		"ayni": {"ayni/reserva", "ayni/escort-booking"}, "leeuwin": {"leeuwin/clubcast", "leeuwin/course-wind"},
	} {
		c := qt.New(t)
		s := loadSamples(t, member)
		c.Assert(s.Rejected(), qt.HasLen, 0)
		c.Assert(s.Services(), qt.DeepEquals, []string{names[0]})
		_, ok := s.Job(names[1])
		c.Assert(ok, qt.IsTrue)
		m, _ := s.Member(member)
		quotas := s.PolicyFor(names[0]).Teams
		c.Assert(slices.Sorted(maps.Keys(quotas)), qt.DeepEquals, m.Teams)
	}
}
