// Package jobs holds the replicated state of submitted work: the configuration
// with its queues, the jobs with the phase of each task, and the maintenance
// waves. Only operations change the state, so all members of the Raft group
// that have applied the same operations hold the same state.
//
// State that is derived from heartbeats, such as workers and their leases, is
// not replicated and not part of this package.
package jobs
