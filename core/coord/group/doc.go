// Package group runs one member of the control group. The goroutine of its event
// loop owns the Raft node, the replicated state and the storage; other
// goroutines reach them through one bounded ring of inputs. All queued inputs
// are handled before the next write, so that one sync covers a batch of
// proposals.
package group
