package raft

import "camphorridge/core/state/clock"

// resetElectionTimer sets the next election deadline to a random timeout
// between one and two election timeouts from now. A member that votes only by an earlier
// list, which may still be in force, waits for two more: it would resign as soon as the
// current list is committed, so that the current voters should be elected first. So does a
// member that is about to stop: its disk may be so slow that it lost the leadership.
func (n *Node) resetElectionTimer() {
	t := n.cfg.ElectionTimeout
	n.electionDeadline = n.now + t + clock.Millis(n.random.Int64N(int64(t)))
	if m, _ := n.member(n.self); n.leaving || (!m.Voter && !m.OldVoter) {
		n.electionDeadline += 2 * t
	}
}

// becomeFollower makes the member a follower in the given term. leader is 0
// when it is not known. Pending reads are dropped.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	n.role = RoleFollower
	n.preVote = false
	n.leader = leader
	n.votes, n.peers, n.pendingReads = nil, nil, nil
	n.roundRequested = false
	n.resetElectionTimer()
}

// recordLeaderContact follows the leader of the current term and restarts the
// election timer. It is called for each message from that leader.
func (n *Node) recordLeaderContact(leader MemberID) {
	if n.role != RoleFollower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
}

// inLeaderLease reports whether this member leads, or knows a leader and received
// a message from it within the minimum election timeout, or may have received one
// before it started again. This member then grants no votes, so that a member that was
// partitioned or removed cannot depose the leader. A leader may answer reads for half of
// the election timeout after it was confirmed, which a restart must not cut short.
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader || (n.startedAt > 0 && n.now-n.startedAt < n.cfg.ElectionTimeout/2) {
		return true
	}
	return n.leader != 0 && n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

// campaign makes this member a candidate. If preVote is set, it requests pre-votes
// from the other voters. Otherwise it starts a new term, votes for itself and requests
// votes. If this member alone is a quorum, campaign completes the election at once.
//
// A failed vote is repeated sooner than a silent leader is noticed, because split votes
// must not delay the replacement of a lost leader as a voter.
func (n *Node) campaign(preVote bool) {
	kind, term := MsgPreVote, n.term+1
	n.role, n.preVote, n.leader = RoleCandidate, preVote, 0
	if !preVote {
		kind = MsgVote
		n.term = term
		n.vote = n.self
	}
	n.resetElectionTimer()
	if !preVote {
		half := n.cfg.ElectionTimeout / 2
		n.electionDeadline = n.now + half + clock.Millis(n.random.Int64N(int64(half)))
	}
	n.votes, n.refusals = map[MemberID]bool{n.self: true}, map[MemberID]bool{}
	for _, m := range n.Members() {
		if (m.Voter || m.OldVoter) && m.ID != n.self {
			n.send(Message{Kind: kind, To: m.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes()
}

// canVoteFor reports whether this member may vote for the sender of m. It need
// not be a voter in its own member list: a candidate requests votes only from
// the voters in the candidate's list, and a member that has not yet received
// its promotion must be able to elect the leader that promoted it. A member
// that has not been added to the group, such as one with an empty disk, is not
// in its own list and never votes.
func (n *Node) canVoteFor(m Message) bool {
	listed, _ := n.membership()
	return listed && n.log.upToDate(m.Index, m.LogTerm)
}

// onPreVote grants a pre-vote for a later term, unless a leader has been active
// recently or this member may not vote for the candidate. The pre-vote changes
// neither the term nor the vote of this member.
func (n *Node) onPreVote(m Message) {
	granted := m.Term > n.term && !n.inLeaderLease() && n.canVoteFor(m)
	term := n.term
	if granted {
		term = m.Term
	}
	n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: term, Reject: !granted})
}

// onVote grants a vote to a candidate for which this member may vote, unless it
// has voted for another candidate of the term or knows the leader of the term.
func (n *Node) onVote(m Message) {
	voteAvailable := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	granted := voteAvailable && n.role == RoleFollower && n.canVoteFor(m)
	if granted {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Term: n.term, Reject: !granted})
}

// onVoteReply counts a granted vote or pre-vote. A pre-vote is granted for the
// term after the current one, a vote for the current one.
func (n *Node) onVoteReply(m Message) {
	preVote := m.Kind == MsgPreVoteReply
	if n.role != RoleCandidate || n.preVote != preVote {
		return
	}
	if m.Reject {
		n.refusals[m.From] = true
		return
	}
	if (preVote && m.Term != n.term+1) || (!preVote && m.Term != n.term) {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// ElectionStatus describes an election without a result, for reports.
type ElectionStatus struct {
	// Number counts the elections of this member without a result; 0 means none.
	Number uint64
	// Term is the term in which the candidate would have led.
	Term    uint64
	PreVote bool
	// LastIndex is the index of the candidate's last log entry. Voters whose log has
	// more refuse.
	LastIndex uint64
	// The voters and old voters by their answer; Granted includes the candidate.
	Granted    []Member
	Refused    []Member
	Unanswered []Member
}

// FailedElection returns the last election of this member that ended without a result.
func (n *Node) FailedElection() ElectionStatus { return n.failedElection }

// recordFailedElection records the answers of the voters if the time for them has
// passed. A refusal with a higher term ends the candidacy and is not recorded.
func (n *Node) recordFailedElection() {
	if n.role != RoleCandidate {
		return
	}
	e := ElectionStatus{Number: n.failedElection.Number + 1, Term: n.term, PreVote: n.preVote, LastIndex: n.log.last()}
	if n.preVote {
		e.Term++
	}
	for _, m := range n.Members() {
		switch {
		case !m.Voter && !m.OldVoter:
		case n.votes[m.ID]:
			e.Granted = append(e.Granted, m)
		case n.refusals[m.ID]:
			e.Refused = append(e.Refused, m)
		default:
			e.Unanswered = append(e.Unanswered, m)
		}
	}
	n.failedElection = e
}

// countVotes starts an election once a quorum has granted its pre-vote, and makes
// this member the leader once a quorum has granted its vote.
func (n *Node) countVotes() {
	if !n.hasQuorum(func(id MemberID) bool { return n.votes[id] }) {
		return
	}
	if n.preVote {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

// becomeLeader makes the member the leader and appends a no-op entry. Entries of
// earlier terms are committed, and reads are answered, only once the no-op entry
// is committed.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self
	n.votes, n.pendingReads = nil, nil
	n.heartbeatRound = 0
	n.peers, n.peersAtResignation = map[MemberID]*progress{}, nil
	n.appendAsLeader(Entry{Kind: EntryNoOp})
	n.syncPeers()
	n.broadcastHeartbeat()
}

// hasQuorum reports whether f holds for a majority of the voters and, if the member
// list is joint, also for a majority of the old voters.
func (n *Node) hasQuorum(f func(MemberID) bool) bool {
	return n.hasMajority(isVoter, f) && (!n.joint() || n.hasMajority(isOldVoter, f))
}

// hasMajority reports whether f holds for a majority of the members in the set.
func (n *Node) hasMajority(inSet func(Member) bool, f func(MemberID) bool) bool {
	size, yes := 0, 0
	for _, m := range n.Members() {
		if !inSet(m) {
			continue
		}
		size++
		if f(m.ID) {
			yes++
		}
	}
	return yes > size/2
}

// recentlyActive reports whether the member has replied within the election
// timeout, or the leader began to track it within that time.
func (n *Node) recentlyActive(id MemberID) bool {
	if id == n.self {
		return true
	}
	p := n.peers[id]
	return p != nil && n.now-p.lastContact <= n.cfg.ElectionTimeout
}
