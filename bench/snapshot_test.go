package bench

import (
	"fmt"
	"strings"
	"testing"

	"wigeontray/internal/record"
)

// Dimensions of a fleet with the 81 teams of letter 1: nine members, each with nine
// teams, two services and four declared kinds of job.
const (
	snapshotMembers   = 9
	teamsPerMember    = 9
	servicesPerMember = 2
	jobsPerMember     = 4
	tokenHashDigit    = "a"
)

// snapshotRecords returns the records of that fleet.
func snapshotRecords() []record.Raw {
	var out []record.Raw
	add := func(kind record.Kind, name, fields string) {
		value := fmt.Sprintf(`{"kind":%q,"name":%q,%s,"write_id":"0198f3a0-0000-4000-8000-000000000001"}`, kind, name, fields)
		out = append(out, record.Raw{Key: record.Key(kind, name), Value: []byte(value), ModRevision: int64(len(out) + 1)})
	}
	for m := range snapshotMembers {
		member := fmt.Sprintf("member-%d", m)
		hash := strings.Repeat(tokenHashDigit, 63) + fmt.Sprint(m)
		add(record.KindMember, member, fmt.Sprintf(`"schema":1,"token_sha256":[%q],"teams":[%s]`, hash, teamList(`"team-%d"`)))
		for s := range servicesPerMember {
			name := fmt.Sprintf("%s/service-%d", member, s)
			add(record.KindService, name, `"schema":2,"path":"/run","default_deadline_ms":5000,"max_tasks":500`)
			add(record.KindPolicy, name, fmt.Sprintf(`"schema":1,"teams":{%s}`, teamList(`"team-%d":{"starts_per_second":420,"burst":840,"weight":1}`)))
		}
		for j := range jobsPerMember {
			add(record.KindJob, fmt.Sprintf("%s/job-%d", member, j), fmt.Sprintf(`"schema":1,"service":"%s/service-0","deadline_ms":3000`, member))
		}
	}
	return out
}

// teamList returns one formatted element for each team, separated by commas.
func teamList(format string) string {
	var parts []string
	for t := range teamsPerMember {
		parts = append(parts, fmt.Sprintf(format, t))
	}
	return strings.Join(parts, ",")
}

// BenchmarkSnapshot reports the encoded size of the configuration and the time to decode
// and apply it.
func BenchmarkSnapshot(b *testing.B) {
	raw := snapshotRecords()
	first := record.Build(nil, raw, 1)
	if len(first.Rejected()) > 0 {
		b.Fatal(first.Rejected())
	}
	encoded, err := first.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := record.Decode(nil, encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "B/snapshot")
	b.ReportMetric(float64(len(raw)), "records")
}
