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

// Guards against pages that reference a test that was renamed or removed: the
// guarantee would appear to be tested although it is not.
func TestReferencedTestsExist(t *testing.T) {
	c := qt.New(t)
	functions := make(map[string]map[string]bool) // function names in the test files of each package
	for _, page := range markdownFiles(c) {
		for _, m := range testReference.FindAllStringSubmatch(readFile(c, page), -1) {
			if functions[m[1]] == nil {
				functions[m[1]] = testFunctionNames(c, m[1])
			}
			c.Check(functions[m[1]][m[2]], qt.IsTrue, qt.Commentf("%s: %s.%s", page, m[1], m[2]))
		}
	}
}

// testFunctionNames returns the names of all functions in the test files of a package, either below
// internal or at the top level of the tree.
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
