package settings

import (
	"fmt"
	"strings"
)

// Reference gives the page of all settings, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the tables in `internal/settings`; do not edit.\n")
	referenceOf(&b, "wigeontray serve", entryFields)
	referenceOf(&b, "wigeontray-guard", guardFields)
	referenceOf(&b, "wigeontray platform", batchEntryFields)
	referenceOf(&b, "wigeontray-guard --platform", batchGuardFields)
	return b.String()
}

func referenceOf[T any](b *strings.Builder, binary string, fields []field[T]) {
	fmt.Fprintf(b, "\n## %s\n", binary)
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(b, "\n### [%s]\n\n| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", f.key, f.unit, standardOf(f), f.bounds, f.doc)
	}
}

func standardOf[T any](f field[T]) string {
	switch {
	case f.required:
		return "required"
	case f.standard == "":
		return "none"
	}
	return "`" + f.standard + "`"
}
