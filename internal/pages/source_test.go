package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"net/http"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// parseDir parses the files of a package except its tests.
func parseDir(c *qt.C, dir string) []*ast.File {
	names, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	c.Assert(err, qt.IsNil)
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		files = append(files, f)
	}
	c.Assert(files, qt.Not(qt.HasLen), 0, qt.Commentf("no Go files in %s", dir))
	return files
}

// httpPackages are the packages that write HTTP responses.
var httpPackages = []string{"internal/errkind", "internal/entry", "internal/guard", "internal/recordapi"}

// statusByName returns the values of the status constants of net/http by name.
func statusByName() map[string]int {
	out := make(map[string]int)
	for s := 100; s < 600; s++ {
		if text := http.StatusText(s); text != "" {
			out["Status"+strings.NewReplacer(" ", "", "-", "", "'", "").Replace(text)] = s
		}
	}
	return out
}

func TestHTTPStatuses(t *testing.T) {
	c := qt.New(t)
	statuses := statusByName()
	found := make(map[string]bool)
	for _, dir := range httpPackages {
		for _, f := range parseDir(c, dir) {
			ast.Inspect(f, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok && strings.HasPrefix(s.Sel.Name, "Status") && isIdent(s.X, "http") {
					found[strconv.Itoa(statuses[s.Sel.Name])] = statuses[s.Sel.Name] != 0
				}
				return true
			})
		}
	}
	delete(found, "0") // http.StatusText and other names that are not status constants
	checkFirstColumn(c, "docs/http.md", "statuses", slices.Collect(maps.Keys(found)))
}

func isIdent(x ast.Expr, name string) bool {
	id, ok := x.(*ast.Ident)
	return ok && id.Name == name
}

var endpointPattern = regexp.MustCompile(`^(GET|POST|PUT|DELETE|PATCH) /`)

func TestEndpoints(t *testing.T) {
	c := qt.New(t)
	found := make(map[string]bool)
	for _, dir := range httpPackages {
		files := parseDir(c, dir)
		consts := stringConstants(files)
		for _, f := range files {
			ast.Inspect(f, func(n ast.Node) bool {
				if x, ok := n.(ast.Expr); ok {
					if s := stringValue(x, consts); endpointPattern.MatchString(s) {
						found[s] = true
					}
				}
				return true
			})
		}
	}
	checkFirstColumn(c, "docs/http.md", "endpoints", slices.Collect(maps.Keys(found)))
}

// stringConstants returns the values of the string constants of a package by name.
func stringConstants(files []*ast.File) map[string]string {
	out := make(map[string]string)
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == len(v.Names) {
				for i := range v.Names {
					out[v.Names[i].Name] = stringValue(v.Values[i], out)
				}
			}
			return true
		})
	}
	return out
}

// stringValue evaluates an expression of string literals and constants. It returns an empty string
// for any other expression.
func stringValue(x ast.Expr, consts map[string]string) string {
	switch x := x.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(x.Value); err == nil && x.Kind == token.STRING {
			return s
		}
	case *ast.Ident:
		return consts[x.Name]
	case *ast.BinaryExpr:
		return stringValue(x.X, consts) + stringValue(x.Y, consts)
	}
	return ""
}

// command is a command of the binary wigeontray with its help text.
type command struct{ name, help string }

// parseCommands reads the commands of wigeontray from the struct tags from which kong builds the
// command line.
func parseCommands(c *qt.C) []command {
	structs := make(map[string]*ast.StructType)
	for _, f := range parseDir(c, "internal/cli") {
		ast.Inspect(f, func(n ast.Node) bool {
			if ts, ok := n.(*ast.TypeSpec); ok {
				if st, ok := ts.Type.(*ast.StructType); ok {
					structs[ts.Name.Name] = st
				}
			}
			return true
		})
	}
	c.Assert(structs["commands"], qt.IsNotNil)
	return subcommands(structs, structs["commands"], "")
}

// subcommands returns the commands that the fields of st define. A command with subcommands is
// replaced by these, with its name as their prefix.
func subcommands(structs map[string]*ast.StructType, st *ast.StructType, prefix string) []command {
	var out []command
	for _, f := range st.Fields.List {
		if f.Tag == nil || len(f.Names) == 0 {
			continue
		}
		text, err := strconv.Unquote(f.Tag.Value)
		tag := reflect.StructTag(text)
		if _, ok := tag.Lookup("cmd"); err != nil || !ok {
			continue
		}
		name := prefix + strings.ToLower(f.Names[0].Name)
		if id, ok := f.Type.(*ast.Ident); ok && structs[id.Name] != nil {
			if subs := subcommands(structs, structs[id.Name], name+" "); len(subs) > 0 {
				out = append(out, subs...)
				continue
			}
		}
		out = append(out, command{name, tag.Get("help")})
	}
	return out
}

func TestCommands(t *testing.T) {
	c := qt.New(t)
	var rows [][]string
	for _, cmd := range parseCommands(c) {
		rows = append(rows, []string{codeSpan("wigeontray " + cmd.name), cmd.help})
	}
	checkTable(c, "docs/operators.md", "commands", renderTable([]string{"command", "what it does"}, rows))
}
