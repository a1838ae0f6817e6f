// Package admit implements admission control: it decides which request may run
// next, by shares of a contract's concurrency, bounded queues, fair queueing
// between customers, deadlines and retry budgets. It starts no goroutine and
// reads no clock.
package admit
