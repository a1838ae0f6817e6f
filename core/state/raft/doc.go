// Package raft is the consensus of the control group as a pure state machine:
// messages, clock values and stored state go in; messages, writes and
// committed entries come out. It reads no clock, opens no file and sends
// nothing, so that tests can drive any schedule.
package raft
