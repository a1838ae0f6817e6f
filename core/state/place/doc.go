// Package place decides which worker runs which task. It keeps each customer
// within its quota, starts urgent tasks first, and reserves what tasks were
// observed to use rather than what they declare. It frees capacity by
// checkpointing, throttling and stopping tasks, in that order, within the
// disruption budgets of the contracts. It quarantines workers that fail tasks
// which other workers run.
//
// A worker runs tasks under a lease. A task is started on another worker only
// after its worker reported the end of the run or the worker's lease expired.
package place
