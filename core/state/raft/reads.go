package raft

import "camphorridge/core/state/clock"

// waitingRead is a read that waits for a heartbeat round.
type waitingRead struct {
	context uint64
	// index is the commit index when the read came in, or later.
	index uint64
	// round is the heartbeat round that confirms the read; 0 while the leader
	// has not committed an entry of its own term.
	round uint64
}

// ReadIndex asks for the right to answer a read from the state. The answer is in
// the Reads of a later output. Reads are dropped when the leader steps down.
// The error is of kind not-leader.
func (n *Node) ReadIndex(context uint64, now clock.Millis) error {
	n.advance(now)
	if n.role != RoleLeader {
		return failf("read", KindNotLeader, "member %x is a %s", n.self, n.role)
	}
	n.reads = append(n.reads, waitingRead{context: context})
	n.startReads()
	return nil
}

// ownCommitted reports whether the leader has committed an entry of its own
// term; before that its commit index may lag behind the group's.
func (n *Node) ownCommitted() bool {
	t, ok := n.log.term(n.commit)
	return ok && t == n.term
}

// startReads assigns the waiting reads to the next heartbeat round. All reads
// between two outputs share one.
func (n *Node) startReads() {
	if !n.ownCommitted() {
		return
	}
	for i := len(n.reads) - 1; i >= 0 && n.reads[i].round == 0; i-- {
		n.reads[i].round = n.round + 1
		n.reads[i].index = n.commit
		n.roundWanted = true
	}
}

// confirmReads releases the reads whose round a quorum has answered. Rounds
// ascend, so that the first unconfirmed read ends the search.
func (n *Node) confirmReads() {
	for len(n.reads) > 0 {
		r := n.reads[0]
		if r.round == 0 || r.round > n.round || !n.quorum(func(id MemberID) bool { return n.acked(id) >= r.round }) {
			return
		}
		n.ready = append(n.ready, ReadReady{Context: r.context, Index: r.index})
		n.reads = n.reads[1:]
	}
}

// acked returns the last heartbeat round that a member has answered.
func (n *Node) acked(id MemberID) uint64 {
	if id == n.self {
		return n.round
	}
	if p := n.peers[id]; p != nil {
		return p.acked
	}
	return 0
}
