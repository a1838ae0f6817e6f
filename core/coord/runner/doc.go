// Package runner is the leader's duty that runs submitted work: it takes calls
// of submitters and operators and heartbeats of workers, lets the board of
// package sched decide, has the decisions committed, and only then answers.
package runner
