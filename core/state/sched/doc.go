// Package sched assigns the tasks of submitted jobs to workers, stops them, and
// orders the maintenance of machines and their moves between pools. A worker
// accepts orders only in the reply to its heartbeat.
//
// The Scheduler works on the leader's own copy of the state of package jobs. It
// records each decision that changes this state as an operation. The orders and
// actions that follow from an operation may be sent only once it is committed.
package sched
