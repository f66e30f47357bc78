package pages

import (
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// importRow is a row of the table of packages with its allowed imports.
var importRow = regexp.MustCompile(`(?m)^\| ([a-z/]+) \| [^|]* \| ([^|]*) \|$`)

const module = "wigeontray/internal/"

// The table of packages in docs/architecture.md names what each may import.
func TestImportsPointOneWay(t *testing.T) {
	c := qt.New(t)
	allowed := make(map[string][]string)
	for _, m := range importRow.FindAllStringSubmatch(readPage(c, "docs/architecture.md"), -1) {
		allowed[m[1]] = strings.Split(m[2], ", ")
	}
	cmd := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./internal/...")
	cmd.Dir = root
	out, err := cmd.Output()
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], module)
		if slices.Contains([]string{"wire/wiretest", "proctest", "pages", "e2e"}, name) {
			continue
		}
		may, listed := allowed[name]
		c.Check(listed, qt.IsTrue, qt.Commentf("package %s is not in the table", name))
		for _, imp := range fields[1:] {
			if own, ok := strings.CutPrefix(imp, module); ok {
				c.Check(slices.Contains(may, own), qt.IsTrue, qt.Commentf("%s imports %s", name, own))
			}
		}
	}
}
