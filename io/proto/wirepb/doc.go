// Package wirepb holds the generated protobuf messages and twirp services
// between the system's own processes. Only package codec and the transport
// layer use it.
package wirepb
