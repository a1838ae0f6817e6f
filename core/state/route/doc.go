// Package route decides which upstream of a pool gets a request: shares of
// slots and connections, least loaded choice, slow start and ejection. It
// starts no goroutine and reads no clock.
package route
