// Package lender sends the messages about loans of slots to the other entry
// processes. Each of them has its own goroutine and ring, so that an unresponsive
// process doesn't delay renewals with the others.
package lender
