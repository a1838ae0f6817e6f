// Package maint decides the next steps of maintenance: which instance to
// release, hand over, verify and return, and what the others wait for.
//
// A Board is an index over the replicated state, the reports about instances
// and the pressure felt by callers. It holds nothing that those do not say, so
// that a new leader which fills a new Board from them takes the same
// decisions. A pass looks at what changed or fell due since the pass before.
package maint
