// Package group is the duty that runs one member of the control group. Its
// goroutine owns the consensus, the replicated state and the storage; others
// reach them through one bounded ring. All input that waits is taken before
// the next write, so that one sync serves a batch of proposals.
package group
