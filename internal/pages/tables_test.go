package pages

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the tables that are generated from the code")

// root is the relative path from this package to the root of the repository.
const root = "../.."

// readFile returns the content of a file, given by its path relative to root.
func readFile(c *qt.C, name string) string {
	b, err := os.ReadFile(filepath.Join(root, name))
	c.Assert(err, qt.IsNil)
	return string(b)
}

// tableStart returns the marker before a table that a test reads.
func tableStart(name string) string { return "<!-- table " + name + " -->\n" }

// tableEnd is the marker after a table that a test reads.
const tableEnd = "<!-- /table -->\n"

// splitTable splits a page at the markers of a table. before and after include the markers.
func splitTable(c *qt.C, page, name string) (before, body, after string) {
	before, rest, ok := strings.Cut(readFile(c, page), tableStart(name))
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s has no table %s", page, name))
	body, after, ok = strings.Cut(rest, tableEnd)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s: table %s has no end marker", page, name))
	return before + tableStart(name), body, tableEnd + after
}

// firstColumn returns the cells of a table's first column, without backquotes.
func firstColumn(body string) []string {
	var out []string
	for i, line := range strings.Split(strings.TrimSpace(body), "\n") {
		if i < 2 { // header and delimiter row
			continue
		}
		cells := strings.Split(line, "|")
		out = append(out, strings.Trim(strings.TrimSpace(cells[1]), "`"))
	}
	return out
}

// renderTable returns a Markdown table.
func renderTable(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(header)
	line(slices.Repeat([]string{"---"}, len(header)))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

// codeSpan formats s as a Markdown code span.
func codeSpan(s string) string { return "`" + s + "`" }

// checkTable compares a table with the one generated from the code. With the flag -update it writes
// the generated table instead.
func checkTable(c *qt.C, page, name, want string) {
	before, body, after := splitTable(c, page, name)
	if *update && body != want {
		c.Assert(os.WriteFile(filepath.Join(root, page), []byte(before+want+after), 0o644), qt.IsNil)
		return
	}
	got, all := strings.SplitAfter(body, "\n"), strings.SplitAfter(want, "\n")
	note := qt.Commentf("%s, table %s: run go test ./internal/pages -update", page, name)
	c.Check(difference(all, got), qt.HasLen, 0, note)
	c.Check(difference(got, all), qt.HasLen, 0, note)
	c.Check(body == want, qt.IsTrue, note)
}

// difference returns the lines of a that are not in b.
func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(line string) bool { return slices.Contains(b, line) })
}

// checkFirstColumn checks that the first column of a table consists of the names in want, in any
// order.
func checkFirstColumn(c *qt.C, page, name string, want []string) {
	_, body, _ := splitTable(c, page, name)
	got := firstColumn(body)
	note := qt.Commentf("%s, table %s", page, name)
	c.Check(difference(want, got), qt.HasLen, 0, note)
	c.Check(difference(got, want), qt.HasLen, 0, note)
}

func TestFirstColumn(t *testing.T) {
	c := qt.New(t)
	c.Assert(firstColumn("| a | b |\n| --- | --- |\n| `x` | 1 |\n| y | 2 |\n"), qt.DeepEquals, []string{"x", "y"})
}
