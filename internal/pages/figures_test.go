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

// metricFuncs are the calls whose literals name a figure.
var metricFuncs = []string{"count", "gauge", "GetOrRegisterCounter", "GetOrRegister"}

// metricLiterals gives the literals in the counting calls of a package.
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

func calleeName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	}
	return ""
}

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

// packageMetrics lists the figures that packages count on go-metrics alone, in
// the form of the exposition. A star stands for what is only known at run time.
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
		case s == "store." || s == ".": // parts of the common form
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
