// Package admin provides the HTTP endpoint of every process for metrics, health
// and events, and a client that fetches the events.
package admin
