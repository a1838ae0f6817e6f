// Package fanout forwards the announcements of upstreams to the other entry
// processes of the zone. Each neighbour has its own goroutine and ring, so that
// an unresponsive neighbour does not delay the others.
package fanout
