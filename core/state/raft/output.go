package raft

// Empty reports whether the output contains no work.
func (o *Output) Empty() bool {
	return o.Hard == nil && len(o.Append) == 0 && o.Install == nil && len(o.Messages) == 0 &&
		len(o.Committed) == 0 && len(o.Reads) == 0 && len(o.NeedSnapshot) == 0
}

// Output returns the work that accumulated since the last call. All append
// messages are created here, so that the proposals of one batch are sent in one
// message. After a non-empty output the caller must call ConfirmDurable; until
// then Output returns an empty output.
func (n *Node) Output() Output {
	if n.awaitingDurable {
		return Output{}
	}
	n.sendLeaderMessages()
	out := Output{
		Append:       n.log.slice(n.log.nextOutput, n.log.last()),
		Install:      n.install,
		InstallData:  n.installData,
		Messages:     n.messages,
		Committed:    n.log.slice(n.applied+1, n.commit),
		Reads:        n.readyReads,
		NeedSnapshot: n.needSnapshot,
	}
	hard := n.hardState()
	// A change of the commit index alone is not written until the next change of
	// the term, the vote or the entries: after a restart the member receives the
	// commit index from the leader again.
	if hard.Term != n.lastOutputHard.Term || hard.Vote != n.lastOutputHard.Vote || (len(out.Append) > 0 && hard != n.lastOutputHard) {
		out.Hard = &hard
		n.lastOutputHard = hard
	}
	n.log.nextOutput = n.log.last() + 1
	n.applied = n.commit
	n.messages, n.readyReads, n.needSnapshot = nil, nil, nil
	n.install, n.installData = nil, nil
	n.awaitingDurable = !out.Empty()
	return out
}

// hardState returns the hard state to write. Its commit index covers only
// entries that are durable already: a crash may preserve the new hard state but
// lose the entries or the snapshot written with it. The entries that they
// were to replace must not count as committed after such a crash.
func (n *Node) hardState() HardState {
	hard := HardState{Term: n.term, Vote: n.vote, Commit: min(n.commit, n.log.lastDurable)}
	if n.install != nil {
		hard.Commit = n.lastOutputHard.Commit
	}
	return hard
}

// ConfirmDurable tells the node that the hard state, the entries and the snapshot
// of the last output are durable. Only then do the leader's own entries count
// towards a quorum.
func (n *Node) ConfirmDurable() {
	if !n.awaitingDurable {
		return
	}
	n.awaitingDurable = false
	n.log.lastDurable = n.log.nextOutput - 1
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// sendLeaderMessages creates the pending heartbeat, append and snapshot messages
// of the leader.
func (n *Node) sendLeaderMessages() {
	if n.role != RoleLeader {
		return
	}
	if n.roundRequested {
		n.heartbeatRound++
		n.roundRequested = false
		n.broadcastHeartbeat()
	}
	n.confirmReads()
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			n.replicateTo(m.ID, p)
		}
	}
}
