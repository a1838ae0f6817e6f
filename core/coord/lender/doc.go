// Package lender sends messages about loans of slots to the other entry processes.
// Each receiver has its own goroutine and ring, so that an unresponsive process
// doesn't delay the renewal of loans with the others.
package lender
