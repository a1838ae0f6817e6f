// Package uplink sends requests to upstreams over pooled HTTP/1.1 connections.
// A request is written at most once, to a single connection, and its Result says
// reliably whether any byte of it may have been written.
package uplink
