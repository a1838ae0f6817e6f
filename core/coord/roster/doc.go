// Package roster is the duty that passes the announcements of upstreams on to
// the other entry processes of the zone. Each neighbour has a goroutine and a
// ring of its own, so that a frozen neighbour holds up no other.
package roster
