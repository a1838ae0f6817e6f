// Package route chooses the upstream of a pool for a request. It implements
// shares of slots and connections, least-loaded balancing, slow start and
// outlier ejection. It starts no goroutine and reads no clock.
package route
