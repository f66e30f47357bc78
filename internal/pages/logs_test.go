package pages

import (
	"go/ast"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var logFieldPattern = regexp.MustCompile("`([a-z_]+)`")

// Guards against log fields that are missing from docs/OPERATIONS.md, and against listed fields
// that no log line has.
func TestLogFieldsAreDocumented(t *testing.T) {
	c := qt.New(t)
	var used []string
	for _, dir := range []string{"internal/batchnode", "internal/limitwatch", "platform"} {
		for _, f := range parseDir(c, dir) {
			ast.Inspect(f, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					used = append(used, logFieldsOf(call)...)
				}
				return true
			})
		}
	}
	documented := documentedFields(c)
	slices.Sort(used)
	for _, name := range slices.Compact(used) {
		c.Check(slices.Contains(documented, name), qt.IsTrue, qt.Commentf("docs/OPERATIONS.md does not list %q", name))
	}
	for _, name := range documented {
		c.Check(slices.Contains(used, name), qt.IsTrue, qt.Commentf("no log line has the documented field %q", name))
	}
}

// logFieldsOf returns the field names in a logging call, nothing for any other call.
func logFieldsOf(call *ast.CallExpr) []string {
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Info", "Warn", "Error"}, f.Sel.Name) {
		return nil
	}
	var out []string
	for i := 1; i < len(call.Args); i += 2 {
		if lit, ok := call.Args[i].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if name, err := strconv.Unquote(lit.Value); err == nil {
				out = append(out, name)
			}
		}
	}
	return out
}

// documentedFields returns the field names in the log field table of docs/OPERATIONS.md.
func documentedFields(c *qt.C) []string {
	_, after, found := strings.Cut(readFile(c, filepath.Join("docs", "OPERATIONS.md")), "<!-- log fields -->")
	c.Assert(found, qt.IsTrue)
	table, _, _ := strings.Cut(after, "\n\n")
	var out []string
	for line := range strings.Lines(table) {
		first, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
		for _, m := range logFieldPattern.FindAllStringSubmatch(first, -1) {
			out = append(out, m[1])
		}
	}
	return out
}
