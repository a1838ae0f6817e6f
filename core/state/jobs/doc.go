// Package jobs holds the replicated state of submitted work: the configuration
// with its queues, the jobs with the phase of each task, and the maintenance
// waves. The state changes only by operations, so every member of the Raft
// group that applies the same operations holds the same state.
//
// State that comes from heartbeats alone, such as workers and their leases, is
// not replicated and not part of this package.
package jobs
