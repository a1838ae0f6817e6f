// Package sched assigns the tasks of submitted jobs to workers, stops them, and
// schedules the maintenance and moves of machines. It works by answering
// heartbeats: a worker accepts orders only in the reply to one.
//
// The Scheduler works on the leader's own copy of the state of package jobs.
// Each decision is an operation on that state, and the orders that follow from
// it may be sent only once the operation is committed.
package sched
