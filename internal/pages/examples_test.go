package pages

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/record"
	"wigeontray/internal/settings"
)

// exampleDeployments are the example folders, named after the member, with their service and failure
// domains.
var exampleDeployments = []struct {
	member, service string
	domains         []string
}{
	{"ayni", "ayni/reserva", []string{"callao-a", "callao-b", "surco", "ate"}},
	{"leeuwin", "leeuwin/clubcast", []string{"fremantle", "rottnest", "mandurah", "geographe"}},
}

func TestExampleSettings(t *testing.T) {
	c := qt.New(t)
	for _, d := range exampleDeployments {
		dir := filepath.Join(root, "examples", d.member)
		entry, err := settings.LoadEntry(filepath.Join(dir, "entry.ini"))
		c.Assert(err, qt.IsNil)
		c.Check(slices.Contains(d.domains, entry.FailureDomain), qt.IsTrue)
		c.Check(entry.Peers, qt.HasLen, len(d.domains)-1, qt.Commentf("want one peer in each other failure domain"))
		guard, err := settings.LoadGuard(filepath.Join(dir, "guard.ini"))
		c.Assert(err, qt.IsNil)
		c.Check(slices.Contains(d.domains, guard.FailureDomain), qt.IsTrue)
		c.Check(guard.Upstream.Service, qt.Equals, d.service)
		c.Check(guard.Upstream.Slots, qt.Equals, int64(8))
		c.Check(guard.Upstream.Connections, qt.Equals, int64(64))
		c.Check(guard.Entries, qt.HasLen, len(d.domains))
		c.Check(guard.Region, qt.Equals, entry.Region)
	}
}

// Checks that the example records of a deployment are valid together: there is one record of each
// kind, none is rejected, the deployment's service is available, and every team has a quota.
func TestExampleRecords(t *testing.T) {
	c := qt.New(t)
	for _, d := range exampleDeployments {
		var raw []record.Raw
		files, err := filepath.Glob(filepath.Join(root, "examples", d.member, "records", "*.json"))
		c.Assert(err, qt.IsNil)
		c.Assert(files, qt.HasLen, len(record.Kinds()))
		for _, file := range files {
			b, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			p, err := record.Parse(b)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", file))
			c.Check(strings.HasPrefix(filepath.Base(file), string(p.Kind)), qt.IsTrue, qt.Commentf("%s", file))
			raw = append(raw, record.Raw{Key: record.Key(p.Kind, p.Name), Value: b, ModRevision: 1})
		}
		s := record.Build(nil, raw, 1)
		c.Assert(s.Rejected(), qt.HasLen, 0)
		c.Check(s.Services(), qt.DeepEquals, []string{d.service})
		m, ok := s.Member(d.member)
		c.Assert(ok, qt.IsTrue)
		for _, team := range m.Teams {
			_, ok := s.PolicyFor(d.service).Teams[team]
			c.Check(ok, qt.IsTrue, qt.Commentf("%s has no quota", team))
		}
	}
}
