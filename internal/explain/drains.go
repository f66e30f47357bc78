package explain

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Messages and field of the log lines that entries write about drains of a failure
// domain.
const (
	messageDrained    = "failure domain is drained"
	messageReinstated = "failure domain is taken back"
	fieldDomain       = "domain"
)

// mentionsDrain reports whether an unparsed line may be about a drain.
func mentionsDrain(line []byte) bool {
	return bytes.Contains(line, []byte(messageDrained)) || bytes.Contains(line, []byte(messageReinstated))
}

// splitDrains separates the lines about drains from the others.
func splitDrains(lines []Line) (jobLines, drains []Line) {
	for _, l := range lines {
		if l.Message == messageDrained || l.Message == messageReinstated {
			drains = append(drains, l)
		} else {
			jobLines = append(jobLines, l)
		}
	}
	return jobLines, drains
}

// drainsDuring returns a line for each failure domain that was drained during the
// time of jobLines, which are in order of time. The line names the entries that
// knew of the drain, and since when, in seconds relative to the first of jobLines.
func drainsDuring(jobLines, drains []Line) []string {
	if len(jobLines) == 0 {
		return nil
	}
	from, to := jobLines[0].Time, jobLines[len(jobLines)-1].Time
	slices.SortStableFunc(drains, func(a, b Line) int { return a.Time.Compare(b.Time) })
	drainedSince := make(map[string]map[string]time.Time) // by failure domain and entry
	for i := range drains {
		d := &drains[i]
		domain := d.Fields[fieldDomain]
		switch {
		case d.Time.After(to):
		case d.Message == messageDrained:
			if drainedSince[domain] == nil {
				drainedSince[domain] = make(map[string]time.Time)
			}
			drainedSince[domain][d.Node] = d.Time
		case d.Time.Before(from):
			delete(drainedSince[domain], d.Node)
		}
	}
	var summaries []string
	for domain, entries := range drainedSince {
		var reports []string
		for node, at := range entries {
			reports = append(reports, fmt.Sprintf("%s since %.3fs", node, at.Sub(from).Seconds()))
		}
		if len(reports) > 0 {
			slices.Sort(reports)
			summaries = append(summaries, domain+", known to "+strings.Join(reports, ", "))
		}
	}
	slices.Sort(summaries)
	return summaries
}
