// Package runner schedules submitted jobs on the leader of the control group.
// It receives calls from submitters and operators and heartbeats from workers,
// lets package sched decide, replicates the decisions through the control group,
// and answers only after they are committed.
package runner
