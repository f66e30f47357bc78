package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const outcomeLog = `0.1 edge-1 {"time":"2026-01-01T00:00:00Z","msg":"entry starting","node":"edge-1","domain":"z1"}
0.2 edge-1 {"time":"2026-01-01T00:00:01Z","msg":"job ended","node":"edge-1","job":"j1","outcome":"complete"}
0.3 edge-1 {"time":"2026-01-01T00:00:02.5Z","msg":"job refused","node":"edge-1","job":"j2","queue":"q","reason":"overloaded","cause":"it would start in 1s"}
0.3 edge-1 {"time":"2026-01-01T00:00:02.6Z","msg":"job ended","node":"edge-1","job":"j3","queue":"q","outcome":"timed_out","ran":"unknown","cause":"job ended late"}
0.3 edge-1 {"time":"2026-01-01T00:00:02.6Z","msg":"job ended","node":"edge-1","job":"j5","queue":"q","outcome":"overloaded","ran":"no"}
0.4 edge-1 {"time":"2026-01-01T00:00:02.7Z","msg":"run ended","node":"edge-1","job":"j3","cause":"job ended"}
0.5 edge-1 {"time":"2026-01-01T00:00:03Z","msg":"job ended","nod
`

// Guards against refusals that cannot be located without reading the logs of all processes.
func TestSummaryCountsOutcomes(t *testing.T) {
	c := qt.New(t)
	var s Summarizer
	c.Assert(s.Read(strings.NewReader(outcomeLog)), qt.IsNil)
	c.Assert(s.Read(strings.NewReader(`{"time":"2026-01-01T00:00:01.2Z","msg":"request not begun","node":"edge-2","job":"j4","cause":"its caller has left"}`)), qt.IsNil)
	sum := s.Summary()
	c.Check(sum.Malformed, qt.Equals, 1)
	c.Check(sum.To.Sub(sum.From).Seconds(), qt.Equals, 1.6)
	c.Check(sum.Reasons, qt.DeepEquals, []OutcomeCounts{
		{Name: "ended: overloaded", Refused: 1}, {Name: "ended: timed_out", Failed: 1}, {Name: "not begun: its caller has left", Refused: 1},
		{Name: "refused: overloaded", Refused: 1}, {Name: "ended: complete", Complete: 1},
	})
	c.Check(sum.Queues, qt.DeepEquals, []OutcomeCounts{{Name: "q", Refused: 2, Failed: 1}, {Name: "(not logged)", Complete: 1, Refused: 1}})
	c.Check(sum.Domains, qt.DeepEquals, []OutcomeCounts{{Name: "z1", Complete: 1, Refused: 2, Failed: 1}, {Name: "(not logged)", Refused: 1}})
	c.Check(sum.Entries, qt.DeepEquals, []OutcomeCounts{{Name: "edge-1", Complete: 1, Refused: 2, Failed: 1}, {Name: "edge-2", Refused: 1}})
	c.Check(sum.Seconds, qt.DeepEquals, []OutcomeCounts{{Name: "   0", Complete: 1, Refused: 1}, {Name: "   1", Refused: 2, Failed: 1}})
	var b strings.Builder
	c.Assert(sum.Write(&b, 1), qt.IsNil)
	c.Check(b.String(), qt.Contains, "edge-1  1         2        1")
	c.Check(b.String(), qt.Not(qt.Contains), "edge-2")
}

// Guards against a crash of the command on logs without a job.
func TestSummaryOfNoOutcomes(t *testing.T) {
	var b strings.Builder
	qt.Assert(t, new(Summarizer).Summary().Write(&b, 10), qt.IsNil)
	qt.Check(t, b.String(), qt.Contains, "0 lines could not be parsed")
}
