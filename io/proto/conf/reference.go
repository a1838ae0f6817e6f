package conf

import (
	"fmt"
	"slices"
	"strings"
)

// Reference returns the reference page docs/settings.md. It lists every key of
// every kind of file, from the tables that parsing and checking use.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Settings

This page is generated from the tables in ` + "`io/proto/conf`" + `; a test of that package checks that it matches them and rewrites it when run with ` + "`-update`" + `.

All files are INI with ` + "`=`" + ` as the only delimiter. Names of sections and keys are in kebab case, with the unit at the end. NAME stands for a name of ` + nameRule.allowed + `; a section or key with NAME may be given any number of times. A key without default must be present unless it is optional. Unknown or duplicate sections and keys, values out of range and inconsistent values are errors; all errors of a file are reported in one run, and the process does not start.
`)
	writeKeys(&b, "Entry process", entryKeys())
	writeKeys(&b, "Control process", controlKeys())
	writeKeys(&b, "Contract", contractKeys())
	writeKeys(&b, "Job", jobKeys())
	return b.String()
}

// writeKeys writes the part of the page for one kind of file: a heading and, for each
// section of the file, a table of its keys.
func writeKeys[T any](b *strings.Builder, title string, keys []Key[T]) {
	fmt.Fprintf(b, "\n## %s\n", title)
	var written []string
	for _, first := range keys {
		if slices.Contains(written, first.Section) {
			continue
		}
		written = append(written, first.Section)
		fmt.Fprintf(b, "\n### `[%s]`\n\n| key | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", first.Section)
		for _, k := range keys {
			if k.Section == first.Section {
				fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, k.defaultText(), k.Allowed, k.Meaning)
			}
		}
	}
}

// defaultText returns the default as the reference page shows it.
func (k Key[T]) defaultText() string {
	switch {
	case k.Default != "":
		return k.Default
	case k.required():
		return "required"
	default:
		return "none"
	}
}
