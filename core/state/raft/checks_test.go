package raft

// check verifies election safety, leader completeness and a commit index that
// never decreases for one host. It runs after each event.
func (sim *simulation) check(h *host) {
	n := h.node
	if n.Commit() < h.commit || n.Commit() > n.log.last() {
		sim.failf("host %d: the commit index changed from %d to %d with last index %d; it must not decrease or exceed the last index", h.self.ID, h.commit, n.Commit(), n.log.last())
	}
	grown := n.Commit() > h.commit
	h.commit = n.Commit()
	if n.Role() != RoleLeader {
		return
	}
	if grown {
		sim.checkCommit(n)
	}
	leader, known := sim.leaders[n.Term()]
	if known && leader != h.self.ID {
		sim.failf("term %d has two leaders, %d and %d", n.Term(), leader, h.self.ID)
	}
	if !known {
		sim.leaders[n.Term()] = h.self.ID
		sim.checkComplete(n)
	}
}

// checkCommit verifies a commit index that a leader has just raised: the entry
// must be of the leader's term and on the disks of a quorum, and at most one
// membership change may be uncommitted. Lost disks count as having the entry,
// because they may have acknowledged it before they were lost.
func (sim *simulation) checkCommit(n *Node) {
	if n.termAt(n.commit) != n.term {
		sim.failf("leader %d of term %d committed entry %d of term %d", n.self, n.term, n.commit, n.termAt(n.commit))
	}
	// The majorities are counted here again, so that a fault of hasQuorum does not hide
	// itself.
	for _, isIn := range []func(Member) bool{isVoter, isOldVoter} {
		size, held := 0, 0
		for _, m := range n.Members() {
			if !isIn(m) {
				continue
			}
			size++
			if h := sim.byID(m.ID); h == nil || h.disk.last() >= n.commit {
				held++
			}
		}
		if size > 0 && held <= size/2 {
			sim.failf("leader %d committed entry %d with %d of %d disks", n.self, n.commit, held, size)
		}
	}
	if k := len(n.memberLists); k > 1 && n.memberLists[k-2].index > n.commit {
		sim.failf("leader %d has two uncommitted membership changes", n.self)
	}
}

// checkHard fails if a hard state to be written has a commit index whose entry a
// crash during the write could lose or leave with its old content.
func (sim *simulation) checkHard(h *host, hard *HardState) {
	if hard == nil || hard.Commit <= h.disk.snap.Index {
		return
	}
	if hard.Commit > h.disk.last() {
		sim.failf("host %d writes commit index %d, but its disk ends at entry %d", h.self.ID, hard.Commit, h.disk.last())
		return
	}
	t, ok := h.node.log.term(hard.Commit)
	if ok && h.disk.entries[hard.Commit-h.disk.snap.Index-1].Term != t {
		sim.failf("host %d writes commit index %d before that entry is on disk", h.self.ID, hard.Commit)
	}
}

// checkComplete fails if a new leader does not have a committed entry of an earlier
// term.
func (sim *simulation) checkComplete(n *Node) {
	for _, e := range sim.committed {
		t, ok := n.log.term(e.Index)
		if e.Term < n.Term() && e.Index >= n.log.base && (!ok || t != e.Term) {
			sim.failf("leader %d of term %d lacks entry %d of term %d", n.self, n.Term(), e.Index, e.Term)
			return
		}
	}
}

// checkDurable fails if a message is sent before the term, entries or vote that it
// reports are on disk.
func (sim *simulation) checkDurable(h *host, m Message) {
	switch {
	case m.Term > h.disk.hard.Term && m.Kind != MsgPreVote && m.Kind != MsgPreVoteReply:
		sim.failf("host %d sent term %d, but its disk has term %d", h.self.ID, m.Term, h.disk.hard.Term)
	case m.Kind == MsgAppendReply && !m.Reject && m.Term == h.disk.hard.Term && m.Index > h.disk.last():
		sim.failf("host %d acknowledged entry %d, but its disk ends at entry %d", h.self.ID, m.Index, h.disk.last())
	case m.Kind == MsgVoteReply && !m.Reject && m.Term == h.disk.hard.Term && m.To != h.disk.hard.Vote:
		sim.failf("host %d voted for %d with a vote for %d on disk", h.self.ID, m.To, h.disk.hard.Vote)
	}
}

// checkLogs fails if two logs have the same entry at an index and differ below
// it (the log matching property).
func (sim *simulation) checkLogs() {
	for i, a := range sim.hosts {
		for _, b := range sim.hosts[:i] {
			if a.node != nil && b.node != nil {
				sim.checkPair(&a.node.log, &b.node.log)
			}
		}
	}
}

func (sim *simulation) checkPair(a, b *entryLog) {
	same := false
	for i := min(a.last(), b.last()); i > max(a.base, b.base); i-- {
		x, y := a.slice(i, i)[0], b.slice(i, i)[0]
		if x.Term == y.Term {
			same = true
		}
		if same && (x.Term != y.Term || string(x.Data) != string(y.Data) || x.Kind != y.Kind) {
			sim.failf("two logs agree above index %d and differ at that index", i)
			return
		}
	}
}

// converged reports whether the voters are exactly the wanted hosts and all of
// them have applied the same entries and have the same value.
func (sim *simulation) converged() bool {
	l := sim.leader()
	if l == nil || l.node.MembersPending() || l.applied != l.node.log.last() {
		return false
	}
	voters := 0
	for _, m := range l.node.Members() {
		if h := sim.byID(m.ID); !m.Voter || h == nil || !h.wanted {
			return false
		}
		voters++
	}
	for _, h := range sim.hosts {
		if h.wanted {
			voters--
			if h.node == nil || h.applied != l.applied || h.value != l.value {
				return false
			}
		}
	}
	return voters == 0
}
