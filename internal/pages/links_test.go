package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

func TestLinkTargetsExist(t *testing.T) {
	c := qt.New(t)
	for _, page := range markdownFiles(c) {
		for _, m := range linkPattern.FindAllStringSubmatch(readFile(c, page), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			file, anchor, _ := strings.Cut(m[1], "#")
			target := page
			if file != "" {
				target = filepath.Join(filepath.Dir(page), file)
			}
			_, err := os.Stat(filepath.Join(root, target))
			c.Check(err, qt.IsNil, qt.Commentf("%s: %s", page, m[1]))
			if err == nil && anchor != "" {
				c.Check(hasHeading(readFile(c, target), anchor), qt.IsTrue, qt.Commentf("%s: no heading %s", page, m[1]))
			}
		}
	}
}

var nonAnchorChars = regexp.MustCompile(`[^a-z0-9 -]`)

// hasHeading reports whether a page has a heading with the given anchor. Anchors follow the common
// Markdown convention: lower case, punctuation removed, hyphens for spaces.
func hasHeading(page, anchor string) bool {
	for _, line := range strings.Split(page, "\n") {
		text, ok := strings.CutPrefix(strings.TrimLeft(line, "#"), " ")
		if !ok || !strings.HasPrefix(line, "#") {
			continue
		}
		slug := strings.ReplaceAll(nonAnchorChars.ReplaceAllString(strings.ToLower(text), ""), " ", "-")
		if slug == anchor {
			return true
		}
	}
	return false
}
