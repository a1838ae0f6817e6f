package raft

import "camphorridge/core/state/clock"

// pendingRead is a read that waits for a heartbeat round to be acknowledged by a
// quorum.
type pendingRead struct {
	context uint64
	// index is the commit index when the read was assigned to its round.
	index uint64
	// round is the heartbeat round that confirms the read; 0 until the leader
	// has committed an entry of its own term.
	round uint64
}

// ReadIndex requests a confirmation that a linearizable read may be answered from
// the local state. The Reads of a later Output contain the confirmation with the
// same context. Pending reads are dropped when the leader steps down. The error
// has KindNotLeader.
func (n *Node) ReadIndex(context uint64, now clock.Millis) error {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return failf("read", KindNotLeader, "member %x is a %s, not the leader", n.self, n.role)
	}
	n.pendingReads = append(n.pendingReads, pendingRead{context: context})
	n.assignReadRounds()
	return nil
}

// committedInTerm reports whether the last committed entry is of the current
// term. Before a leader has committed an entry of its own term, its commit index
// may lag behind that of the group.
func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.commit)
	return ok && t == n.term
}

// assignReadRounds assigns the pending reads without a round to the next
// heartbeat round. All reads between two outputs share one round.
func (n *Node) assignReadRounds() {
	if !n.committedInTerm() {
		return
	}
	for i := len(n.pendingReads) - 1; i >= 0 && n.pendingReads[i].round == 0; i-- {
		n.pendingReads[i].round = n.heartbeatRound + 1
		n.pendingReads[i].index = n.commit
		n.roundRequested = true
	}
}

// confirmReads moves the reads whose round a quorum has acknowledged to the next
// Output. It stops at the first unconfirmed read, because later reads have the
// same round, a later one or none.
func (n *Node) confirmReads() {
	for len(n.pendingReads) > 0 {
		r := n.pendingReads[0]
		if r.round == 0 || r.round > n.heartbeatRound || !n.hasQuorum(func(id MemberID) bool { return n.ackedRound(id) >= r.round }) {
			return
		}
		n.readyReads = append(n.readyReads, ReadReady{Context: r.context, Index: r.index})
		n.pendingReads = n.pendingReads[1:]
	}
}

// ackedRound returns the last heartbeat round that a member has acknowledged.
func (n *Node) ackedRound(id MemberID) uint64 {
	if id == n.self {
		return n.heartbeatRound
	}
	if p := n.peers[id]; p != nil {
		return p.ackedRound
	}
	return 0
}
