package settings

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of all settings, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the tables in `internal/settings`; do not edit.\n")
	writeReferenceTable(&b, "wigeontray serve", entryFields)
	writeReferenceTable(&b, "wigeontray-guard", guardFields)
	writeReferenceTable(&b, "wigeontray platform", batchEntryFields)
	writeReferenceTable(&b, "wigeontray-guard --platform", batchGuardFields)
	return b.String()
}

func writeReferenceTable[T any](b *strings.Builder, binary string, fields []field[T]) {
	fmt.Fprintf(b, "\n## %s\n", binary)
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(b, "\n### [%s]\n\n| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", f.key, f.unit, defaultText(f), f.allowed, f.doc)
	}
}

func defaultText[T any](f field[T]) string {
	switch {
	case f.required:
		return "required"
	case f.defaultValue == "":
		return "none"
	}
	return "`" + f.defaultValue + "`"
}
