// Package place decides which worker runs which task. It keeps each customer
// within its quota, starts urgent tasks first, and reserves for a task what tasks
// of its class were observed to use rather than what it declares. It frees
// capacity by checkpointing, throttling and stopping tasks, in that order, within
// the disruption budgets of the contracts. It quarantines workers that fail tasks
// which other workers run.
//
// A worker runs tasks under a lease. A task is started again only after its
// worker reported the end of the run, the worker's lease expired, or a later
// heartbeat of the worker showed that the task does not run there.
package place
