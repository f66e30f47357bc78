package pages

import (
	"go/ast"
	"go/token"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// metricFuncs are the functions whose calls contain metric names as string literals.
var metricFuncs = []string{"count", "gauge", "GetOrRegisterCounter", "GetOrRegister"}

// metricLiterals returns the string literals in the calls of metricFuncs in a package.
func metricLiterals(c *qt.C, dir string) []string {
	var out []string
	for _, f := range parseDir(c, dir) {
		ast.Inspect(f, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && slices.Contains(metricFuncs, calleeName(call)) {
				out = append(out, stringLiterals(call)...)
			}
			return true
		})
	}
	return out
}

// calleeName returns the unqualified name of the called function, empty if it has none.
func calleeName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	}
	return ""
}

// stringLiterals returns the values of all string literals below n.
func stringLiterals(n ast.Node) []string {
	var out []string
	ast.Inspect(n, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			if s, err := strconv.Unquote(l.Value); err == nil {
				out = append(out, s)
			}
		}
		return true
	})
	return out
}

// packageMetrics returns the names of the metrics that packages register only with go-metrics, in
// the exposition format. A star replaces a part that is determined at run time.
func packageMetrics(c *qt.C) []string {
	var out []string
	add := func(name string) {
		if strings.HasSuffix(name, ".") {
			name += "*"
		}
		out = append(out, "wigeontray_"+strings.ReplaceAll(name, ".", "_"))
	}
	for _, s := range metricLiterals(c, "internal/guard") {
		add(s)
	}
	add("guard.result.")
	add("guard.refused.")
	for dir, prefix := range map[string]string{"internal/confsync": "config.", "internal/peers": "peers."} {
		for _, s := range metricLiterals(c, dir) {
			if s != prefix {
				add(prefix + strings.TrimPrefix(s, prefix))
			}
		}
	}
	for _, s := range metricLiterals(c, "internal/store") {
		switch {
		case s == "store." || s == ".": // fragments from which all metric names of the package are built
		case strings.HasPrefix(s, "store."):
			add(s)
		default:
			add("store." + s + ".")
		}
	}
	return out
}

func TestPackageMetrics(t *testing.T) {
	c := qt.New(t)
	checkFirstColumn(c, "docs/operators.md", "package-figures", packageMetrics(c))
}
