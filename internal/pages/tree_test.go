package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// excludedDirs are folders without maintained text: the repository's metadata, build
// output, and records of runs, which are never edited. Scanning the binaries in the build output
// alone took 40 s on several processors and made tests with time limits fail that ran at the same
// time.
var excludedDirs = []string{".git", "bin", "target", "journal"}

// textFiles returns the paths, relative to root, of the text files in the repository.
func textFiles(c *qt.C) []string {
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains(excludedDirs, d.Name()) {
			return filepath.SkipDir
		}
		if d.Type().IsRegular() && d.Name() != ".git" {
			rel, err := filepath.Rel(root, path)
			out = append(out, rel)
			return err
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	return out
}

// Guards against absolute paths of the machine on which a file was written, which do not exist
// on other machines.
func TestNoMachinePaths(t *testing.T) {
	c := qt.New(t)
	machinePath := regexp.MustCompile(`(^|[\s"'(=` + "`" + `])/(work|root|Users|home/\w+)/`)
	for _, name := range textFiles(c) {
		for i, line := range strings.Split(readFile(c, name), "\n") {
			c.Check(machinePath.MatchString(line), qt.IsFalse, qt.Commentf("%s:%d: %s", name, i+1, line))
		}
	}
}

// Numbers of lines above which the test logs a Go file as long, and above which it fails.
const (
	warnFileLines = 400
	maxFileLines  = 500
)

func TestFileLength(t *testing.T) {
	c := qt.New(t)
	for _, name := range textFiles(c) {
		if filepath.Ext(name) != ".go" {
			continue
		}
		n := strings.Count(readFile(c, name), "\n")
		c.Check(n <= maxFileLines, qt.IsTrue, qt.Commentf("%s has %d lines", name, n))
		if n > warnFileLines {
			c.Logf("long file %s: %d lines", name, n)
		}
	}
}

// markdownFiles returns the paths of the Markdown pages.
func markdownFiles(c *qt.C) []string {
	return slices.DeleteFunc(textFiles(c), func(name string) bool { return filepath.Ext(name) != ".md" })
}

// Markers for the line before a table: one of the first three is required in docs/CAPACITY.md and
// optional on other pages. Below a table of measured values, a line with commandPrefix must name
// the command that produced them.
const (
	measuredMark  = "<!-- measured -->"
	derivedMark   = "<!-- worked out -->"
	noFiguresMark = "<!-- no figures -->"
	commandPrefix = "Command: `"
)

func TestMeasuredTablesNameCommand(t *testing.T) {
	c := qt.New(t)
	for _, page := range markdownFiles(c) {
		lines := strings.Split(readFile(c, page), "\n")
		for i, line := range lines {
			if line == measuredMark {
				c.Check(hasCommandBelow(lines[i+1:]), qt.IsTrue, qt.Commentf("%s:%d: no %q below the table", page, i+1, commandPrefix))
			}
		}
	}
}

// hasCommandBelow reports whether a line with commandPrefix precedes the next heading.
func hasCommandBelow(lines []string) bool {
	for _, line := range lines {
		if strings.HasPrefix(line, "#") {
			return false
		}
		if strings.HasPrefix(line, commandPrefix) {
			return true
		}
	}
	return false
}

func TestCapacityTablesAreMarked(t *testing.T) {
	c := qt.New(t)
	lines := strings.Split(readFile(c, "docs/CAPACITY.md"), "\n")
	marks := []string{measuredMark, derivedMark, noFiguresMark}
	for i, line := range lines {
		if strings.HasPrefix(line, "|") && (i == 0 || !strings.HasPrefix(lines[i-1], "|")) {
			c.Check(i > 0 && slices.Contains(marks, lines[i-1]), qt.IsTrue, qt.Commentf("docs/CAPACITY.md:%d: %s", i+1, line))
		}
	}
}

// shellCommands returns the lines of a page's sh blocks, without comments and
// continuation lines. The README has its commands in indented blocks.
func shellCommands(name, page string) []string {
	var out []string
	inBlock, continued := false, false
	for _, line := range strings.Split(page, "\n") {
		trimmed := strings.TrimSpace(line)
		indented := name == "README.md" && strings.HasPrefix(line, "    ")
		switch {
		case strings.HasPrefix(trimmed, "```"):
			inBlock = trimmed == "```sh"
		case (inBlock || indented) && !continued && trimmed != "" && !strings.HasPrefix(trimmed, "#"):
			out = append(out, trimmed)
		}
		continued = strings.HasSuffix(trimmed, `\`)
	}
	return out
}

// treePrefixes are prefixes of command arguments that are paths in the tree.
var treePrefixes = []string{"./cmd/", "./internal/", "./bench", ".ci/", "examples/"}

// externalTools are programs outside the tree that a page may use.
var externalTools = []string{"bash", "cd", "curl", "go", "kill", "mkdir", "export", "openssl"}

// builtBinary matches the paths of binaries that commands on the pages build.
var builtBinary = regexp.MustCompile(`^(\./)?bin/(wigeontray|wigeontray-guard)$`)

func TestShellCommandsExist(t *testing.T) {
	c := qt.New(t)
	known := parseCommands(c)
	for _, page := range markdownFiles(c) {
		for _, line := range shellCommands(page, readFile(c, page)) {
			words := strings.Fields(line)
			note := qt.Commentf("%s: %s", page, line)
			c.Check(isKnownProgram(words[0]), qt.IsTrue, note)
			if strings.HasSuffix(words[0], "wigeontray") {
				c.Check(isKnownCommand(known, words[1:]), qt.IsTrue, note)
			}
			for _, w := range words[1:] {
				if slices.ContainsFunc(treePrefixes, func(p string) bool { return strings.HasPrefix(w, p) }) {
					_, err := os.Stat(filepath.Join(root, strings.TrimSuffix(w, "/...")))
					c.Check(err, qt.IsNil, note)
				}
			}
		}
	}
}

// isKnownProgram reports whether the first word of a command is a known program or a path in the tree.
func isKnownProgram(word string) bool {
	if slices.Contains(externalTools, word) || builtBinary.MatchString(word) || word == "wigeontray" || word == "wigeontray-guard" {
		return true
	}
	_, err := os.Stat(filepath.Join(root, word))
	return err == nil
}

// isKnownCommand reports whether the arguments begin with a command of wigeontray.
func isKnownCommand(known []command, words []string) bool {
	line := strings.Join(words, " ") + " "
	return slices.ContainsFunc(known, func(k command) bool { return strings.HasPrefix(line, k.name+" ") })
}
