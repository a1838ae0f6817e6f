// Package sched decides which worker runs which task of the submitted jobs,
// when a task is stopped, and when a machine is maintained. It answers
// heartbeats: a worker takes orders only in the answer to one.
//
// The board works on the leader's own copy of the jobs' state. Each decision
// is an operation on that state, and the orders that follow from it may be
// sent only once the operation is committed.
package sched
