// Package member tracks the upstreams of a zone by their announcements. It
// implements leases, incarnations and the rules by which an announcement is
// accepted. It starts no goroutine and reads no clock.
package member
