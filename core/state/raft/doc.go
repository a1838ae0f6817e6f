// Package raft implements the Raft consensus algorithm of the control group as
// a deterministic state machine. Its inputs are messages, clock values and
// stored state; its outputs are messages, log writes and committed entries. It
// performs no I/O and reads no clock, so that tests can run any schedule of
// events.
package raft
