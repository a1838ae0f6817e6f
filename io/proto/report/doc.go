// Package report renders the state of the system for operators, as text in aligned
// columns, as JSON with a stable order of keys, or (for the merged event logs of
// all processes, the time line) as one self-contained HTML page. It also encodes
// events as JSON and decodes them.
package report
