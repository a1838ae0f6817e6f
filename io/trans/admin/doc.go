// Package admin is the HTTP endpoint of every process for metrics, health and
// the time line, and the client for the latter.
package admin
