// Package wirepb holds the generated protobuf messages and Twirp services with
// which the system's own processes communicate, and the messages of stored log
// records and snapshots. Only package codec and the transport layer use it.
package wirepb
