// Package lender is the duty that carries the messages about loans of slots to
// the other entry processes. Each of them has a goroutine and a ring of its
// own, so that a silent one holds up no renewal with another.
package lender
