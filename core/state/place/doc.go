// Package place decides which worker runs which task. It keeps within teams'
// quotas, starts urgent work first, reserves what tasks were seen to use and
// not what they declare, makes room by checkpoint, throttle and stop in that
// order within the contracts' disruption budgets, and sets workers aside that
// fail what their peers run.
//
// A worker runs tasks under a lease. A task is started elsewhere only after
// its worker reported its end or the lease has run out.
package place
