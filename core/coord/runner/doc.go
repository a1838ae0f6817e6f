// Package runner schedules submitted jobs on the leader of the control group.
// It receives calls of submitters and operators and heartbeats of workers, has
// package sched decide, replicates the decisions through the consensus group,
// and answers only once they are committed.
package runner
