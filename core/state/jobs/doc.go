// Package jobs is the replicated state of submitted work: the configuration
// that names queues, the jobs with the phase of each of their tasks, and the
// maintenance waves. It changes by operations only, so that every member of
// the group that applies the same operations holds the same state.
//
// What is known from heartbeats alone, such as workers and their leases, is not
// part of it.
package jobs
