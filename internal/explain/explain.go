// Package explain extracts the history of one job from the logs of several
// processes. It imports no other package of the project.
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

// Line is one log line.
type Line struct {
	Time    time.Time // of the event, which may precede the writing of the line
	Node    string    // name of the process that wrote the line
	Level   string
	Message string
	Fields  map[string]string // all other fields, with their values as text
}

// Fields that each line has, and those that identify a job and a request.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldNode    = "node"
	fieldJob     = "job"
	fieldRequest = "request" // ID that the caller set for one submission of the job
)

// maxLineBytes is the maximum length of a line, above which Read returns an error.
// The processes of this project write no longer lines.
const maxLineBytes = 1 << 20

// FindJob returns the job that the request with the given ID submitted, or id itself
// if no line has that request ID.
func FindJob(lines []Line, id string) string {
	for i := range lines {
		if lines[i].Fields[fieldRequest] == id {
			return lines[i].Fields[fieldJob]
		}
	}
	return id
}

// Read appends the lines of a log that are about the job or request with the given
// ID or about a drain of a failure domain. It also returns the number of lines
// that mention one of them but cannot be parsed. Text before the first brace of a
// line, such as the prefix of a log collector, is ignored.
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

// parse parses a JSON log line. The time of a line with an "ago" field is that of
// its event, not of its writing.
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
		return Line{}, fmt.Errorf("line has no valid time: %w", err)
	}
	l.Time, l.Node, l.Level, l.Message = at, l.Fields[fieldNode], l.Fields[fieldLevel], l.Fields[fieldMessage]
	if ago, err := time.ParseDuration(l.Fields["ago"]); err == nil {
		l.Time = l.Time.Add(-ago) // the line was written after the event
	}
	for _, k := range []string{fieldTime, fieldLevel, fieldMessage, fieldNode, "ago"} {
		delete(l.Fields, k)
	}
	return l, nil
}

// Write writes the lines of a job in order of time, the share with which the wait of a refused
// one was estimated, the drains of failure domains in that time, and which lines are missing.
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
	for i := range lines {
		if share := shareOf(&lines[i]); share != "" {
			b.WriteString("share: " + share + "\n")
		}
	}
	for _, d := range drainsDuring(lines, drains) {
		b.WriteString("drained: " + d + "\n")
	}
	for _, m := range missingLines(lines) {
		b.WriteString("missing: " + m + "\n")
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write job history: %w", err)
	}
	return nil
}

// isEmptyValue reports whether the value of a field carries no information.
func isEmptyValue(v string) bool { return v == "" || v == "0" || v == "0s" || v == "none" }

// missingLines describes the lines that the complete history of a job would have
// in addition.
func missingLines(lines []Line) []string {
	if len(lines) == 0 {
		return []string{"every line: the job reached no process whose log is included, or it completed and its routine lines were dropped"}
	}
	var out []string
	has := func(text string) bool {
		return slices.ContainsFunc(lines, func(l Line) bool { return l.Message == text })
	}
	if !has("job ended") && !has(messageJobRefused) {
		out = append(out, "the answer: the entry terminated before it answered, or its log is not included")
	}
	for _, g := range guardsNamed(lines) {
		if !slices.ContainsFunc(lines, func(l Line) bool { return strings.HasPrefix(g, l.Node+"-") }) {
			out = append(out, "lines of guard "+g+": its log is not included, or its routine lines were dropped")
		}
	}
	return out
}

// guardsNamed lists the guards that the lines refer to.
func guardsNamed(lines []Line) []string {
	var out []string
	for i := range lines {
		if g := lines[i].Fields["guard"]; g != "" && !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}
