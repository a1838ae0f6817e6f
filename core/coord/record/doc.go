// Package record keeps the event log of a process: it stamps events, keeps the
// newest ones in a bounded log and answers queries about them.
package record
