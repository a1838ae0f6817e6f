// Package logs creates the logger of a process and writes log lines without
// blocking.
package logs
