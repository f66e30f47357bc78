package pages

import (
	"go/ast"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

func TestErrorKinds(t *testing.T) {
	var rows [][]string
	for _, k := range errkind.All() {
		a := k.Answer()
		rows = append(rows, []string{codeSpan(a.Name), strconv.Itoa(a.Status), a.Ran.String(), a.Advice.String(), a.Text})
	}
	header := []string{"kind", "status", "ran", "advice", "meaning"}
	checkTable(qt.New(t), "docs/http.md", "error-kinds", renderTable(header, rows))
}

func TestMetrics(t *testing.T) {
	var rows [][]string
	for _, f := range telemetry.Families() {
		rows = append(rows, []string{codeSpan(f.Name), f.Type, f.Label, f.Help})
	}
	header := []string{"figure", "type", "label", "meaning"}
	checkTable(qt.New(t), "docs/operators.md", "figures", renderTable(header, rows))
}

func TestRecordKinds(t *testing.T) {
	var names []string
	for _, k := range record.Kinds() {
		names = append(names, string(k))
	}
	checkFirstColumn(qt.New(t), "docs/operators.md", "record-kinds", names)
}

// Guards against advice on an error kind that does not exist: an operator would look for a counter
// that is never exported.
func TestAdviceNamesKnownErrorKinds(t *testing.T) {
	c := qt.New(t)
	_, body, _ := splitTable(c, "docs/operators.md", "what-to-do")
	known := make(map[string]bool)
	for _, k := range errkind.All() {
		known[k.String()] = true
	}
	for _, name := range firstColumn(body) {
		c.Check(known[name], qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestRetryReasons(t *testing.T) {
	var names []string
	for _, r := range telemetry.RetryReasons() {
		names = append(names, r.String())
	}
	checkFirstColumn(qt.New(t), "docs/operators.md", "retry-reasons", names)
}

func TestMessages(t *testing.T) {
	var rows [][]string
	frame := reflect.TypeFor[wire.Frame]()
	known := make(map[reflect.Type]bool)
	var nested []reflect.Type
	for i := range frame.NumField() {
		f := frame.Field(i)
		known[f.Type.Elem()] = true
		rows = append(rows, fieldRows(f.Type.Elem(), cborKey(f))...)
	}
	for i := range frame.NumField() {
		nested = appendNestedTypes(nested, frame.Field(i).Type.Elem(), known)
	}
	for _, nestedType := range nested {
		rows = append(rows, fieldRows(nestedType, "")...)
	}
	header := []string{"message", "frame key", "field", "key", "type"}
	checkTable(qt.New(t), "docs/inner-protocol.md", "messages", renderTable(header, rows))
}

// appendNestedTypes appends the struct types of a message's fields, recursively, unless they are in
// known.
func appendNestedTypes(types []reflect.Type, message reflect.Type, known map[reflect.Type]bool) []reflect.Type {
	for i := range message.NumField() {
		t := message.Field(i).Type
		if t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		if t.Kind() == reflect.Struct && !known[t] {
			known[t] = true
			types = appendNestedTypes(append(types, t), t, known)
		}
	}
	return types
}

// fieldRows returns a table row for each field of a message.
func fieldRows(message reflect.Type, frameKey string) [][]string {
	var rows [][]string
	for i := range message.NumField() {
		f := message.Field(i)
		rows = append(rows, []string{codeSpan(message.Name()), frameKey, codeSpan(f.Name), cborKey(f), cborType(f.Type)})
	}
	return rows
}

// cborKey returns the CBOR key in the tag of a field.
func cborKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	return key
}

// cborType returns the name of the CBOR type that a Go type is encoded as.
func cborType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return "array of " + cborType(t.Elem())
	case reflect.Pointer:
		return cborType(t.Elem())
	case reflect.Struct:
		return codeSpan(t.Name())
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "bool"
	default:
		return "integer"
	}
}

// Guards against a metric that no code updates: it stays at zero, and an operator would read the zero
// as the absence of a problem.
func TestEveryMetricIsUpdated(t *testing.T) {
	c := qt.New(t)
	used := make(map[string]bool)
	for _, dir := range internalPackages(c) {
		if dir == "internal/telemetry" {
			continue
		}
		for _, f := range parseDir(c, dir) {
			ast.Inspect(f, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok && isIdent(s.X, "telemetry") {
					used[s.Sel.Name] = true
				}
				return true
			})
		}
	}
	byKind := used["RetryAfter"] // RetryAfter counts the retry reasons that are derived from an error kind
	for _, name := range metricConstants(c) {
		updated := used[name] || byKind && strings.HasPrefix(name, "Retry")
		c.Check(updated, qt.IsTrue, qt.Commentf("telemetry.%s is never updated", name))
	}
}

// internalPackages returns the folders below internal that contain non-test Go files.
func internalPackages(c *qt.C) []string {
	seen := make(map[string]bool)
	for _, name := range textFiles(c) {
		if strings.HasPrefix(name, "internal/") && strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			seen[filepath.Dir(name)] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// metricTypes are the types in package telemetry whose constants identify metrics.
var metricTypes = []string{"Counter", "Gauge", "Latency", "RetryReason"}

// metricConstants returns the exported constants of metricTypes.
func metricConstants(c *qt.C) []string {
	var out []string
	for _, f := range parseDir(c, "internal/telemetry") {
		for _, d := range f.Decls {
			if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.CONST {
				out = append(out, metricNames(g)...)
			}
		}
	}
	return out
}

// metricNames returns the exported names of a constant block whose first constant has one of
// metricTypes.
func metricNames(g *ast.GenDecl) []string {
	first := g.Specs[0].(*ast.ValueSpec)
	if id, ok := first.Type.(*ast.Ident); !ok || !slices.Contains(metricTypes, id.Name) {
		return nil
	}
	var out []string
	for _, spec := range g.Specs {
		for _, name := range spec.(*ast.ValueSpec).Names {
			if name.IsExported() {
				out = append(out, name.Name)
			}
		}
	}
	return out
}
