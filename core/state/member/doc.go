// Package member holds what upstreams announced: leases, incarnations and the
// rules by which an announcement is accepted. It starts no goroutine and reads
// no clock.
package member
