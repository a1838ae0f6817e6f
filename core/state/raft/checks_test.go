package raft

// check looks at one host after each event: election safety, leader
// completeness and a commit index that only grows.
func (w *world) check(h *host) {
	n := h.node
	if n.Commit() < h.commit || n.Commit() > n.log.last() {
		w.failf("host %d: commit went from %d to %d with last index %d", h.self.ID, h.commit, n.Commit(), n.log.last())
	}
	grown := n.Commit() > h.commit
	h.commit = n.Commit()
	if n.Role() != RoleLeader {
		return
	}
	if grown {
		w.checkCommit(n)
	}
	held, known := w.leaders[n.Term()]
	if known && held != h.self.ID {
		w.failf("term %d has the leaders %d and %d", n.Term(), held, h.self.ID)
	}
	if !known {
		w.leaders[n.Term()] = h.self.ID
		w.checkComplete(n)
	}
}

// checkCommit looks at a commit index that a leader has just moved: the entry
// is of its own term, on the disks of a quorum, and at most one membership
// change is not committed. Lost disks count as holding it, since they may have
// acknowledged it before.
func (w *world) checkCommit(n *Node) {
	if n.termAt(n.commit) != n.term {
		w.failf("leader %d of term %d committed entry %d of term %d", n.self, n.term, n.commit, n.termAt(n.commit))
	}
	if !n.quorum(func(id MemberID) bool {
		h := w.byID(id)
		return h == nil || h.disk.last() >= n.commit
	}) {
		w.failf("leader %d committed entry %d without a quorum of disks", n.self, n.commit)
	}
	if k := len(n.lists); k > 1 && n.lists[k-2].index > n.commit {
		w.failf("leader %d has two membership changes under way", n.self)
	}
}

// checkHard fails when a hard state counts an entry as committed that a crash
// during its write could lose or leave with old content.
func (w *world) checkHard(h *host, hard *HardState) {
	if hard == nil || hard.Commit <= h.disk.snap.Index {
		return
	}
	if hard.Commit > h.disk.last() {
		w.failf("host %d writes commit %d with only %d on disk", h.self.ID, hard.Commit, h.disk.last())
		return
	}
	t, ok := h.node.log.term(hard.Commit)
	if ok && h.disk.entries[hard.Commit-h.disk.snap.Index-1].Term != t {
		w.failf("host %d writes commit %d before the entry", h.self.ID, hard.Commit)
	}
}

// checkComplete fails when a new leader lacks an entry that was committed in
// an earlier term.
func (w *world) checkComplete(n *Node) {
	for _, e := range w.committed {
		t, ok := n.log.term(e.Index)
		if e.Term < n.Term() && e.Index >= n.log.base && (!ok || t != e.Term) {
			w.failf("leader %d of term %d lacks entry %d of term %d", n.self, n.Term(), e.Index, e.Term)
			return
		}
	}
}

// checkSynced fails when a promise leaves before what it promises is on disk.
func (w *world) checkSynced(h *host, m Message) {
	switch {
	case m.Term > h.disk.hard.Term && m.Kind != MsgPreVote && m.Kind != MsgPreVoteReply:
		w.failf("host %d sent term %d with only term %d on disk", h.self.ID, m.Term, h.disk.hard.Term)
	case m.Kind == MsgAppendReply && !m.Reject && m.Term == h.disk.hard.Term && m.Index > h.disk.last():
		w.failf("host %d acknowledged %d with only %d on disk", h.self.ID, m.Index, h.disk.last())
	case m.Kind == MsgVoteReply && !m.Reject && m.Term == h.disk.hard.Term && m.To != h.disk.hard.Vote:
		w.failf("host %d voted for %d with a vote for %d on disk", h.self.ID, m.To, h.disk.hard.Vote)
	}
}

// checkLogs fails when two logs agree at an index and differ below it.
func (w *world) checkLogs() {
	for i, a := range w.hosts {
		for _, b := range w.hosts[:i] {
			if a.node != nil && b.node != nil {
				w.checkPair(&a.node.log, &b.node.log)
			}
		}
	}
}

func (w *world) checkPair(a, b *entryLog) {
	same := false
	for i := min(a.last(), b.last()); i > max(a.base, b.base); i-- {
		x, y := a.slice(i, i)[0], b.slice(i, i)[0]
		if x.Term == y.Term {
			same = true
		}
		if same && (x.Term != y.Term || string(x.Data) != string(y.Data) || x.Kind != y.Kind) {
			w.failf("logs agree above index %d and differ at it", i)
			return
		}
	}
}

// converged reports whether the wanted hosts are the voters and all hold the
// same state.
func (w *world) converged() bool {
	l := w.leader()
	if l == nil || l.node.MembersPending() || l.applied != l.node.log.last() {
		return false
	}
	voters := 0
	for _, m := range l.node.Members() {
		if h := w.byID(m.ID); !m.Voter || h == nil || !h.wanted {
			return false
		}
		voters++
	}
	for _, h := range w.hosts {
		if h.wanted {
			voters--
			if h.node == nil || h.applied != l.applied || h.value != l.value {
				return false
			}
		}
	}
	return voters == 0
}
