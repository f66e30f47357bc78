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

var update = flag.Bool("update", false, "write the tables that follow from the code")

// root is the top of the tree, seen from this package.
const root = "../.."

func readPage(c *qt.C, page string) string {
	b, err := os.ReadFile(filepath.Join(root, page))
	c.Assert(err, qt.IsNil)
	return string(b)
}

// Marks around a table that a test reads.
func openMark(name string) string { return "<!-- table " + name + " -->\n" }

const closeMark = "<!-- /table -->\n"

// cut splits a page around the body of a marked table.
func cut(c *qt.C, page, name string) (before, body, after string) {
	before, rest, ok := strings.Cut(readPage(c, page), openMark(name))
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s has no table %s", page, name))
	body, after, ok = strings.Cut(rest, closeMark)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s: table %s has no end", page, name))
	return before + openMark(name), body, closeMark + after
}

// column gives the cells of a table's first column, without backquotes.
func column(body string) []string {
	var out []string
	for i, line := range strings.Split(strings.TrimSpace(body), "\n") {
		if i < 2 { // header and rule
			continue
		}
		cells := strings.Split(line, "|")
		out = append(out, strings.Trim(strings.TrimSpace(cells[1]), "`"))
	}
	return out
}

// render writes a Markdown table.
func render(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(header)
	line(slices.Repeat([]string{"---"}, len(header)))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

func code(s string) string { return "`" + s + "`" }

// checkTable compares a table with what the code gives, or writes it.
func checkTable(c *qt.C, page, name, want string) {
	before, body, after := cut(c, page, name)
	if *update && body != want {
		c.Assert(os.WriteFile(filepath.Join(root, page), []byte(before+want+after), 0o644), qt.IsNil)
		return
	}
	got, all := strings.SplitAfter(body, "\n"), strings.SplitAfter(want, "\n")
	note := qt.Commentf("%s, table %s: run go test ./internal/pages -update", page, name)
	c.Check(without(all, got), qt.HasLen, 0, note)
	c.Check(without(got, all), qt.HasLen, 0, note)
	c.Check(body == want, qt.IsTrue, note)
}

// without gives the lines of a that b lacks.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(line string) bool { return slices.Contains(b, line) })
}

// checkNames compares the first column of a table with names, in any order.
func checkNames(c *qt.C, page, name string, want []string) {
	_, body, _ := cut(c, page, name)
	got := column(body)
	note := qt.Commentf("%s, table %s", page, name)
	c.Check(without(want, got), qt.HasLen, 0, note)
	c.Check(without(got, want), qt.HasLen, 0, note)
}

func TestColumn(t *testing.T) {
	c := qt.New(t)
	c.Assert(column("| a | b |\n| --- | --- |\n| `x` | 1 |\n| y | 2 |\n"), qt.DeepEquals, []string{"x", "y"})
}
