package raft

import "camphorridge/core/state/clock"

// resetElection draws the next election timeout.
func (n *Node) resetElection() {
	t := n.cfg.ElectionTimeout
	n.electionDue = n.now + t + clock.Millis(n.random.Int64N(int64(t)))
}

// becomeFollower enters a term without a role in it. leader is 0 when it is
// not known. Reads that wait for a confirmation are dropped.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	n.role = RoleFollower
	n.pre = false
	n.leader = leader
	n.votes, n.peers, n.reads = nil, nil, nil
	n.roundWanted = false
	n.resetElection()
}

// follow notes a message from the leader of the term.
func (n *Node) follow(leader MemberID) {
	if n.role != RoleFollower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heard = n.now
	n.resetElection()
}

// inLease reports whether a leader was heard within the smallest election
// timeout. A member that was cut off or removed cannot depose that leader.
func (n *Node) inLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != 0 && n.now-n.heard < n.cfg.ElectionTimeout
}

// campaign asks the voters for their pre-vote or, once a quorum gave it, for
// their vote in a new term.
func (n *Node) campaign(pre bool) {
	kind, term := MsgPreVote, n.term+1
	n.role, n.pre, n.leader = RoleCandidate, pre, 0
	if !pre {
		kind = MsgVote
		n.term = term
		n.vote = n.self
	}
	n.resetElection()
	n.votes = map[MemberID]bool{n.self: true}
	for _, m := range n.Members() {
		if m.Voter && m.ID != n.self {
			n.send(Message{Kind: kind, To: m.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes()
}

// mayVote reports whether this member may vote for the candidate. A candidate
// asks only those that its own member list calls voters, so that a member that
// has not seen its promotion yet may still elect the leader that promoted it.
// A member that has not been added, such as one with an empty disk, is not in
// its own list and never votes.
func (n *Node) mayVote(m Message) bool {
	listed, _ := n.belongs()
	return listed && n.log.upToDate(m.Index, m.LogTerm)
}

func (n *Node) onPreVote(m Message) {
	granted := m.Term > n.term && !n.inLease() && n.mayVote(m)
	term := n.term
	if granted {
		term = m.Term
	}
	n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: term, Reject: !granted})
}

func (n *Node) onVote(m Message) {
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	granted := free && n.role == RoleFollower && n.mayVote(m)
	if granted {
		n.vote = m.From
		n.resetElection()
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Term: n.term, Reject: !granted})
}

// onVoteReply counts a grant. A pre-vote is granted for the term after the
// current one, a vote for the current one.
func (n *Node) onVoteReply(m Message) {
	pre := m.Kind == MsgPreVoteReply
	if n.role != RoleCandidate || n.pre != pre || m.Reject {
		return
	}
	if (pre && m.Term != n.term+1) || (!pre && m.Term != n.term) {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) countVotes() {
	if !n.quorum(func(id MemberID) bool { return n.votes[id] }) {
		return
	}
	if n.pre {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

// becomeLeader starts the term with an empty entry: older entries are
// committed, and reads answered, only once it is.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self
	n.votes, n.reads = nil, nil
	n.round = 0
	n.peers = map[MemberID]*progress{}
	n.appendOwn(Entry{Kind: EntryNoOp})
	n.syncPeers()
	n.broadcastHeartbeat()
}

// quorum reports whether a majority of the voters satisfies f.
func (n *Node) quorum(f func(MemberID) bool) bool {
	voters, yes := 0, 0
	for _, m := range n.Members() {
		if !m.Voter {
			continue
		}
		voters++
		if f(m.ID) {
			yes++
		}
	}
	return yes > voters/2
}

// recent reports whether a member was heard within an election timeout.
func (n *Node) recent(id MemberID) bool {
	if id == n.self {
		return true
	}
	p := n.peers[id]
	return p != nil && n.now-p.heard <= n.cfg.ElectionTimeout
}
