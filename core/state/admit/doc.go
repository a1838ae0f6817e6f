// Package admit decides which request may run next: shares of a contract's
// concurrency, bounded queues, fair choice between customers, deadlines and
// the retry budget. It starts no goroutine and reads no clock.
package admit
