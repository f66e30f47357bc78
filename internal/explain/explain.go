// Package explain finds what the logs of several processes tell of one job. It
// imports nothing of the project.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Node    string // name of the process
	Level   string
	Message string
	Fields  map[string]string // the rest, as written
}

// Fields that every line has, and the one that names the job.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldNode    = "node"
	fieldJob     = "job"
	fieldRequest = "request" // a caller's name for one submission of the job
)

// maxLineBytes bounds a line, in bytes. A longer one is no line of ours.
const maxLineBytes = 1 << 20

// JobOf gives the job that a caller's request was about, and id itself if no line
// names such a request.
func JobOf(lines []Line, id string) string {
	for i := range lines {
		if lines[i].Fields[fieldRequest] == id {
			return lines[i].Fields[fieldJob]
		}
	}
	return id
}

// Read appends the lines of a log that are about a job, a request or a drain of a failure domain,
// and counts the lines that could not be read. What stands before the first brace of a line, such as the
// name of a collector, is passed over.
func Read(lines []Line, r io.Reader, id string) ([]Line, int, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	unreadable := 0
	for scan.Scan() {
		b := scan.Bytes()
		start := bytes.IndexByte(b, '{')
		if start < 0 || !bytes.Contains(b, []byte(id)) && !mentionsDrain(b) {
			continue
		}
		l, err := parse(b[start:])
		switch {
		case err != nil:
			unreadable++
		case l.Fields[fieldJob] == id || l.Fields[fieldRequest] == id || l.Message == messageDrained || l.Message == messageReinstated:
			lines = append(lines, l)
		}
	}
	if err := scan.Err(); err != nil {
		return lines, unreadable, fmt.Errorf("read log: %w", err)
	}
	return lines, unreadable, nil
}

func parse(b []byte) (Line, error) {
	var raw map[string]any
	if err := json.Unmarshal(b, &raw); err != nil {
		return Line{}, fmt.Errorf("line is not JSON: %w", err)
	}
	l := Line{Fields: make(map[string]string, len(raw))}
	for k, v := range raw {
		l.Fields[k] = fmt.Sprint(v)
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields[fieldTime])
	if err != nil {
		return Line{}, fmt.Errorf("line without a time: %w", err)
	}
	l.Time, l.Node, l.Level, l.Message = at, l.Fields[fieldNode], l.Fields[fieldLevel], l.Fields[fieldMessage]
	if ago, err := time.ParseDuration(l.Fields["ago"]); err == nil {
		l.Time = l.Time.Add(-ago) // written later than it happened
	}
	for _, k := range []string{fieldTime, fieldLevel, fieldMessage, fieldNode, "ago"} {
		delete(l.Fields, k)
	}
	return l, nil
}

// Write prints the story of a job in order of time, and what is missing from it.
func Write(w io.Writer, lines []Line) error {
	lines, drains := splitDrains(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var b strings.Builder
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(&b, "%10.3fs  %-22s  %s", l.Time.Sub(lines[0].Time).Seconds(), l.Node, l.Message)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[k]; k != fieldJob && !isEmptyValue(v) {
				fmt.Fprintf(&b, "  %s=%s", k, v)
			}
		}
		b.WriteString("\n")
	}
	for _, d := range drainsDuring(lines, drains) {
		b.WriteString("drained: " + d + "\n")
	}
	for _, m := range missingLines(lines) {
		b.WriteString("missing: " + m + "\n")
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write story: %w", err)
	}
	return nil
}

// isEmptyValue tells whether a field says nothing.
func isEmptyValue(v string) bool { return v == "" || v == "0" || v == "0s" || v == "none" }

// missingLines tells which lines a whole story would have besides.
func missingLines(lines []Line) []string {
	if len(lines) == 0 {
		return []string{"every line: the job came to no process whose log is here, or was complete and its routine lines were dropped"}
	}
	var out []string
	has := func(text string) bool {
		return slices.ContainsFunc(lines, func(l Line) bool { return l.Message == text })
	}
	if !has("job ended") && !has("job refused") {
		out = append(out, "the answer: the entry ended before it, or its log is not here")
	}
	for _, g := range guardsNamed(lines) {
		if !slices.ContainsFunc(lines, func(l Line) bool { return strings.HasPrefix(g, l.Node+"-") }) {
			out = append(out, "lines of guard "+g+": its log is not here, or its routine lines were dropped")
		}
	}
	return out
}

// guardsNamed lists the guards that a story names.
func guardsNamed(lines []Line) []string {
	var out []string
	for i := range lines {
		if g := lines[i].Fields["guard"]; g != "" && !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}
