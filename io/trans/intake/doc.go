// Package intake limits what the clients of a process can make it hold: the bytes of
// requests that are not yet handled, the memory for decoding them, open connections, and
// the time for a body or a response. Every listener of a process shares one Gate.
package intake
