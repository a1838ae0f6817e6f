package raft

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.Hard == nil && len(o.Append) == 0 && o.Install == nil && len(o.Messages) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0 && len(o.NeedSnapshot) == 0
}

// Output returns the work since the last output. All appends are made here, so
// that proposals of one batch travel in one message. After an output that is
// not empty the caller calls Persisted; until then Output returns nothing.
func (n *Node) Output() Output {
	if n.writing {
		return Output{}
	}
	n.flush()
	out := Output{
		Append:       n.log.slice(n.log.unsaved, n.log.last()),
		Install:      n.install,
		InstallData:  n.installData,
		Messages:     n.messages,
		Committed:    n.log.slice(n.applied+1, n.commit),
		Reads:        n.ready,
		NeedSnapshot: n.want,
	}
	hard := n.hardState()
	// A commit index that changed alone is written with the next entries: a
	// restarted member learns it again from the leader.
	if hard.Term != n.handed.Term || hard.Vote != n.handed.Vote || (len(out.Append) > 0 && hard != n.handed) {
		out.Hard = &hard
		n.handed = hard
	}
	n.log.unsaved = n.log.last() + 1
	n.applied = n.commit
	n.messages, n.ready, n.want = nil, nil, nil
	n.install, n.installData = nil, nil
	n.writing = !out.Empty()
	return out
}

// hardState returns the state to write. Its commit index covers only entries
// that were synced before: a crash may keep the new hard state and lose the
// entries or the snapshot written with it, and then entries that they would
// have replaced must not count as committed.
func (n *Node) hardState() HardState {
	hard := HardState{Term: n.term, Vote: n.vote, Commit: min(n.commit, n.log.stable)}
	if n.install != nil {
		hard.Commit = n.handed.Commit
	}
	return hard
}

// Persisted tells that the last output is on disk and synced. Only now do the
// leader's own entries count towards a quorum.
func (n *Node) Persisted() {
	if !n.writing {
		return
	}
	n.writing = false
	n.log.stable = n.log.unsaved - 1
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// flush makes the leader's messages.
func (n *Node) flush() {
	if n.role != RoleLeader {
		return
	}
	if n.roundWanted {
		n.round++
		n.roundWanted = false
		n.broadcastHeartbeat()
	}
	n.confirmReads()
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			n.sendTo(m.ID, p)
		}
	}
}
