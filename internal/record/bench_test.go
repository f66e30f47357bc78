package record

import (
	"fmt"
	"testing"

	"wigeontray/internal/store"
)

// Number of records for the fleet planned in two years: 81 teams, here spread over
// 20 members with four services each.
const (
	benchMembers  = 20
	benchServices = 4
	benchTeams    = 4
)

func benchSnapshot() *Snapshot {
	var all []Raw
	for i := range benchMembers {
		member := fmt.Sprintf("member-%d", i)
		all = append(all, memberWithToken(member, "token of "+member))
		for j := range benchServices {
			name := fmt.Sprintf("%s/service-%d", member, j)
			teams := ""
			for k := range benchTeams {
				teams += fmt.Sprintf(`,"team-%d":{"starts_per_second":100,"burst":200,"weight":1}`, k)
			}
			all = append(all,
				rawRecord(KindService, name, fmt.Sprintf(`{"kind":"service","name":%q,"schema":2,"path":"/v1/task","max_tasks":500}`, name), 1),
				rawRecord(KindPolicy, name, fmt.Sprintf(`{"kind":"policy","name":%q,"schema":1,"teams":{%s}}`, name, teams[1:]), 1),
				rawRecord(KindJob, name, fmt.Sprintf(`{"kind":"job","name":%q,"schema":1,"service":%q}`, name, name), 1))
		}
	}
	return Build(nil, all, 1)
}

func BenchmarkMemberByToken(b *testing.B) {
	s := benchSnapshot()
	for b.Loop() {
		if _, ok := s.MemberByToken("token of member-13"); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkApplyOneChange(b *testing.B) {
	s := benchSnapshot()
	batch := store.Batch{Revision: 2, Events: []store.Event{{KV: store.KV{
		Key: Key(KindMember, "member-0"), Value: []byte(`{"kind":"member","name":"member-0","schema":1}`), ModRevision: 2,
	}}}}
	for b.Loop() {
		s.Apply(batch)
	}
}

func BenchmarkEncode(b *testing.B) {
	s := benchSnapshot()
	var size int
	for b.Loop() {
		encoded, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(s.Len()), "records")
}
