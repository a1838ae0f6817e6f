// Package maint plans maintenance. It decides which instances to release, hand
// over to the platform, verify and return to service, and which limits keep
// the others waiting.
//
// A Planner is an index over the replicated state, the observations of
// instances and the shares of unserved requests. All of its content derives from
// these inputs, so a new leader that loads a new Planner from them makes the same
// decisions. Each planning pass applies the stop policy to all waves and plans the
// next steps of all started maintenances. Of everything else it evaluates only what
// has changed or become due since the previous pass.
package maint
