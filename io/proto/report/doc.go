// Package report renders the state of the system for operators, as text in aligned
// columns or as JSON with a stable order of keys. The time line, which merges the
// event logs of all processes, is also available as one self-contained HTML page.
// The package also encodes events as JSON and decodes them.
package report
