package pages

import (
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// importRowPattern matches a row of the package table; its groups are the package and its allowed
// imports.
var importRowPattern = regexp.MustCompile(`(?m)^\| ([a-z/]+) \| [^|]* \| ([^|]*) \|$`)

const internalPrefix = "wigeontray/internal/"

// Checks that each package imports only the internal packages that the package table in
// docs/architecture.md allows.
func TestImportsAreAllowed(t *testing.T) {
	c := qt.New(t)
	allowed := make(map[string][]string)
	for _, m := range importRowPattern.FindAllStringSubmatch(readFile(c, "docs/architecture.md"), -1) {
		allowed[m[1]] = strings.Split(m[2], ", ")
	}
	cmd := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./internal/...")
	cmd.Dir = root
	out, err := cmd.Output()
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], internalPrefix)
		if slices.Contains([]string{"wire/wiretest", "proctest", "pages", "e2e"}, name) {
			continue
		}
		allowedImports, listed := allowed[name]
		c.Check(listed, qt.IsTrue, qt.Commentf("package %s is not in the table", name))
		for _, imp := range fields[1:] {
			if imported, ok := strings.CutPrefix(imp, internalPrefix); ok {
				c.Check(slices.Contains(allowedImports, imported), qt.IsTrue, qt.Commentf("%s imports %s", name, imported))
			}
		}
	}
}
