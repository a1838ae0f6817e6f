// Package uplink holds the connections to upstreams. A request is written to
// at most one connection and at most once, and its result says truthfully
// whether any byte was written.
package uplink
