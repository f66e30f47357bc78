package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Summary counts the outcomes of jobs in the logs of the entries.
type Summary struct {
	From, To  time.Time // of the first and the last outcome; zero if there is none
	Malformed int       // lines about an outcome that could not be parsed
	// The outcomes by reason, queue, failure domain, entry, and second since From. Each list has
	// the rows with the most jobs that were not completed first, except that seconds are in order.
	Reasons, Queues, Domains, Entries, Seconds []OutcomeCounts
}

// OutcomeCounts counts the outcomes of some of the jobs.
type OutcomeCounts struct {
	Name string // of the reason, queue, failure domain or entry, or the number of the second
	// Complete is a lower bound: the lines of completed jobs are the first to be dropped when a process
	// logs too much.
	Complete int
	Refused  int // not admitted, not begun, or ended before any task had run
	Failed   int // ended otherwise; tasks may have run
}

func (c *OutcomeCounts) incomplete() int { return c.Refused + c.Failed }

func (c *OutcomeCounts) add(o *outcomeLine) {
	switch {
	case o.Message == messageJobEnded && o.Outcome == outcomeComplete:
		c.Complete++
	case o.Message == messageJobEnded && o.Ran != ranNo:
		c.Failed++
	default:
		c.Refused++
	}
}

// Messages of the lines that a summary is made of.
const (
	messageJobEnded      = "job ended"
	messageJobRefused    = "job refused"
	messageNotBegun      = "request not begun"
	messageEntryStarting = "entry starting"
	outcomeComplete      = "complete"
	ranNo                = "no"
)

// outcomeLine is a line about the outcome of a job, or about the start of an entry.
type outcomeLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Queue   string    `json:"queue"`
	Outcome string    `json:"outcome"` // of job ended
	Ran     string    `json:"ran"`     // of job ended: whether a task has run
	Reason  string    `json:"reason"`  // of job refused
	Cause   string    `json:"cause"`
	Domain  string    `json:"domain"` // of entry starting
}

// reason returns the reason for an outcome, in a few words that many jobs share.
func (o *outcomeLine) reason() string {
	switch o.Message {
	case messageJobRefused:
		return "refused: " + o.Reason
	case messageNotBegun:
		return "not begun: " + o.Cause
	}
	return "ended: " + o.Outcome
}

// Summarizer reads logs and counts the outcomes of jobs in them.
type Summarizer struct {
	outcomes  []outcomeLine
	domainOf  map[string]string // failure domain by entry
	malformed int
}

// Read adds the lines of a log. Text before the first brace of a line is ignored, as are lines without
// an outcome.
func (s *Summarizer) Read(r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scan.Scan() {
		b := scan.Bytes()
		start := bytes.IndexByte(b, '{')
		if start < 0 || !mentionsOutcome(b) {
			continue
		}
		var line outcomeLine
		if err := json.Unmarshal(b[start:], &line); err != nil {
			s.malformed++
			continue
		}
		s.add(&line)
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// mentionsOutcome reports whether an unparsed line may be an outcomeLine.
func mentionsOutcome(line []byte) bool {
	for _, message := range []string{messageJobEnded, messageJobRefused, messageNotBegun, messageEntryStarting} {
		if bytes.Contains(line, []byte(message)) {
			return true
		}
	}
	return false
}

func (s *Summarizer) add(line *outcomeLine) {
	switch line.Message {
	case messageEntryStarting:
		if s.domainOf == nil {
			s.domainOf = make(map[string]string)
		}
		s.domainOf[line.Node] = line.Domain
	case messageJobEnded, messageJobRefused, messageNotBegun:
		s.outcomes = append(s.outcomes, *line)
	}
}

// Summary returns the counts of all logs that were read.
func (s *Summarizer) Summary() *Summary {
	sum := &Summary{Malformed: s.malformed}
	if len(s.outcomes) == 0 {
		return sum
	}
	byTime := func(a, b outcomeLine) int { return a.Time.Compare(b.Time) }
	sum.From, sum.To = slices.MinFunc(s.outcomes, byTime).Time, slices.MaxFunc(s.outcomes, byTime).Time
	sum.Reasons = s.countBy((*outcomeLine).reason)
	sum.Queues = s.countBy(func(o *outcomeLine) string { return cmp.Or(o.Queue, "(not logged)") })
	sum.Domains = s.countBy(func(o *outcomeLine) string { return cmp.Or(s.domainOf[o.Node], "(not logged)") })
	sum.Entries = s.countBy(func(o *outcomeLine) string { return o.Node })
	sum.Seconds = s.countBy(func(o *outcomeLine) string { return fmt.Sprintf("%4d", int(o.Time.Sub(sum.From).Seconds())) })
	slices.SortFunc(sum.Seconds, func(a, b OutcomeCounts) int { return strings.Compare(a.Name, b.Name) })
	return sum
}

// countBy returns the outcomes grouped by a name.
func (s *Summarizer) countBy(name func(*outcomeLine) string) []OutcomeCounts {
	counts := make(map[string]*OutcomeCounts)
	for i := range s.outcomes {
		n := name(&s.outcomes[i])
		if counts[n] == nil {
			counts[n] = &OutcomeCounts{Name: n}
		}
		counts[n].add(&s.outcomes[i])
	}
	var list []OutcomeCounts
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, *counts[n])
	}
	slices.SortStableFunc(list, func(a, b OutcomeCounts) int { return b.incomplete() - a.incomplete() })
	return list
}

// Write writes the summary as text, with at most maxRows rows for entries.
func (sum *Summary) Write(w io.Writer, maxRows int) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%s to %s; %d lines could not be parsed\n", sum.From.Format(time.RFC3339), sum.To.Format(time.RFC3339), sum.Malformed)
	for _, table := range []struct {
		title string
		rows  []OutcomeCounts
	}{
		{"reason", sum.Reasons}, {"queue", sum.Queues}, {"failure domain", sum.Domains},
		{"entry", sum.Entries[:min(len(sum.Entries), maxRows)]}, {"second", sum.Seconds},
	} {
		fmt.Fprintf(out, "\n%s\tcomplete\trefused\tfailed\n", table.title)
		for _, row := range table.rows {
			fmt.Fprintf(out, "%s\t%d\t%d\t%d\n", row.Name, row.Complete, row.Refused, row.Failed)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}
