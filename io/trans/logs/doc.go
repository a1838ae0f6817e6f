// Package logs sets up the log of a process from its settings.
package logs
