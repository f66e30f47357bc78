package explain

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Texts of the lines that entries write about the drain of a failure domain.
const (
	textDrained   = "failure domain is drained"
	textTakenBack = "failure domain is taken back"
	fieldDomain   = "domain"
)

// aboutDrain tells whether a line may be about a drain.
func aboutDrain(line []byte) bool {
	return bytes.Contains(line, []byte(textDrained)) || bytes.Contains(line, []byte(textTakenBack))
}

// splitDrains parts the lines about drains from the others.
func splitDrains(lines []Line) (story, drains []Line) {
	for _, l := range lines {
		if l.Text == textDrained || l.Text == textTakenBack {
			drains = append(drains, l)
		} else {
			story = append(story, l)
		}
	}
	return story, drains
}

// drainsDuring tells which failure domains were drained during a story, whose lines are in order
// of time, and which entries knew it since when.
func drainsDuring(story, drains []Line) []string {
	if len(story) == 0 {
		return nil
	}
	from, to := story[0].Time, story[len(story)-1].Time
	slices.SortStableFunc(drains, func(a, b Line) int { return a.Time.Compare(b.Time) })
	knew := make(map[string]map[string]time.Time) // by domain, by entry
	for i := range drains {
		d := &drains[i]
		domain := d.Fields[fieldDomain]
		switch {
		case d.Time.After(to):
		case d.Text == textDrained:
			if knew[domain] == nil {
				knew[domain] = make(map[string]time.Time)
			}
			knew[domain][d.Node] = d.Time
		case d.Time.Before(from):
			delete(knew[domain], d.Node)
		}
	}
	var out []string
	for domain, entries := range knew {
		var list []string
		for node, at := range entries {
			list = append(list, fmt.Sprintf("%s since %.3fs", node, at.Sub(from).Seconds()))
		}
		if len(list) > 0 {
			slices.Sort(list)
			out = append(out, domain+", known to "+strings.Join(list, ", "))
		}
	}
	slices.Sort(out)
	return out
}
