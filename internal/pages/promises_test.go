package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

var testReference = regexp.MustCompile("`([a-z0-9]+)\\.((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)`")

// A promise that names a test which was renamed or dropped looks proved to its
// reader and is not.
func TestReferencedTestsExist(t *testing.T) {
	c := qt.New(t)
	functions := make(map[string]map[string]bool) // functions of the tests of a package
	for _, page := range markdownFiles(c) {
		for _, m := range testReference.FindAllStringSubmatch(readFile(c, page), -1) {
			if functions[m[1]] == nil {
				functions[m[1]] = testFunctionNames(c, m[1])
			}
			c.Check(functions[m[1]][m[2]], qt.IsTrue, qt.Commentf("%s: %s.%s", page, m[1], m[2]))
		}
	}
}

func testFunctionNames(c *qt.C, pkg string) map[string]bool {
	out := make(map[string]bool)
	files, err := filepath.Glob(filepath.Join(root, "internal", pkg, "*_test.go"))
	c.Assert(err, qt.IsNil)
	topLevel, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	c.Assert(err, qt.IsNil)
	for _, name := range append(files, topLevel...) {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok {
				out[fn.Name.Name] = true
			}
		}
	}
	return out
}
