package raft

import (
	"slices"

	"camphorridge/core/state/clock"
)

// maxInflightAppends is the maximum number of unacknowledged appends to one
// member. Config.MaxInflightBytes limits their size.
const maxInflightAppends = 64

// inflightAppend is an unacknowledged append: the index of its last entry and its size.
type inflightAppend struct {
	last  uint64
	bytes int
}

// peerState is the mode in which the leader replicates to a member.
type peerState int

const (
	// stateProbe means that the leader does not know the last index at which the
	// member's log agrees with its own; it sends one append at a time.
	stateProbe peerState = iota
	// stateReplicate means that appends are sent without waiting for the replies
	// to earlier ones.
	stateReplicate
	// stateSnapshot means that the member needs entries that were compacted and
	// is sent a snapshot.
	stateSnapshot
)

var stateNames = [...]string{"probe", "replicate", "snapshot"}

// String returns the name of the state as used in reports.
func (s peerState) String() string { return stateNames[s] }

// progress is the replication state of another member as tracked by the leader.
type progress struct {
	// match is the index of the last entry known to be durable on the member. It
	// decreases only if a rejection suggests that the member's disk lost entries; see
	// onReject.
	match uint64
	// next is the index of the first entry of the next append; above match.
	next  uint64
	state peerState
	// inflight holds the unacknowledged appends in ascending order, at most
	// maxInflightAppends of them.
	inflight []inflightAppend
	// paused is set in stateProbe from an append until the reply to it or to a
	// heartbeat.
	paused bool
	// sendEmpty requests an append even if it is empty, to detect a lost append.
	sendEmpty bool
	// lastContact is the time of the last reply from the member; initially the
	// time at which the leader began to track it.
	lastContact clock.Millis
	// ackedRound is the last heartbeat round that the member acknowledged.
	ackedRound uint64
	// leavesUntil is the time until which the member counts as about to stop; see
	// onLeave.
	leavesUntil clock.Millis
	outgoing    outgoingSnapshot
	transfers   Transfers
}

// becomeProbe changes to stateProbe. The next append starts at next, or after
// match if that is higher.
func (p *progress) becomeProbe(next uint64) {
	p.state, p.next = stateProbe, max(next, p.match+1)
	p.inflight, p.paused, p.sendEmpty = nil, false, false
	p.outgoing = outgoingSnapshot{}
}

// broadcastHeartbeat sends a heartbeat to every other member. Its commit index
// never exceeds the last entry that the member is known to hold.
func (n *Node) broadcastHeartbeat() {
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			n.send(Message{
				Kind: MsgHeartbeat, To: m.ID, Term: n.term,
				Commit: min(p.match, n.commit), HeartbeatRound: n.heartbeatRound,
			})
		}
	}
}

// replicateTo sends a member the entries or the snapshot chunk that it needs, as
// far as the replication state of the member allows.
func (n *Node) replicateTo(id MemberID, p *progress) {
	if _, ok := n.log.term(p.next - 1); !ok || p.state == stateSnapshot {
		n.sendSnapshot(id, p)
		return
	}
	if p.state == stateProbe {
		if !p.paused {
			p.paused = true
			n.sendAppend(id, p)
		}
		return
	}
	sent := false
	for p.next <= n.log.last() && len(p.inflight) < maxInflightAppends && p.inflightBytes() < n.cfg.MaxInflightBytes {
		a := n.sendAppend(id, p)
		p.next = a.last + 1
		p.inflight = append(p.inflight, a)
		sent = true
	}
	if p.sendEmpty && !sent && p.match < n.log.last() {
		n.send(Message{
			Kind: MsgAppend, To: id, Term: n.term, Commit: n.commit,
			Index: p.next - 1, LogTerm: n.termAt(p.next - 1),
		})
	}
	p.sendEmpty = false
}

// inflightBytes returns the size of the unacknowledged appends.
func (p *progress) inflightBytes() int {
	size := 0
	for _, a := range p.inflight {
		size += a.bytes
	}
	return size
}

// sendAppend sends the entries starting at p.next that fit in one message and returns
// the append. If there is no entry at p.next, it sends an empty append, whose last index
// is the one before p.next.
func (n *Node) sendAppend(id MemberID, p *progress) inflightAppend {
	es := n.log.sliceMaxBytes(p.next, n.cfg.MaxAppendBytes)
	m := Message{
		Kind: MsgAppend, To: id, Term: n.term, Commit: n.commit,
		Index: p.next - 1, LogTerm: n.termAt(p.next - 1), Entries: es,
	}
	n.send(m)
	return inflightAppend{last: p.next - 1 + uint64(len(es)), bytes: m.Bytes()}
}

// termAt returns the term of the entry at an index, or 0 if the log does not hold
// the entry.
func (n *Node) termAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// onAppend appends the entries of the leader to the log, in place of entries that
// differ from them, and raises the commit index. It rejects them if the log does not
// hold the entry before them. The reply is part of the same Output as the entries
// and is therefore sent after they are durable. The error has KindInvalid if an
// entry would replace a committed one or leave a gap.
func (n *Node) onAppend(m Message) error {
	prev, prevTerm, es := m.Index, m.LogTerm, m.Entries
	for i, e := range es {
		if e.Index != prev+uint64(i)+1 {
			return failf("append", KindInvalid, "entry %d stands in place of entry %d", e.Index, prev+uint64(i)+1)
		}
	}
	// Committed entries are the same on every leader; skip those in the message.
	if prev < n.commit {
		skip := min(n.commit-prev, uint64(len(es)))
		prev, es = n.commit, es[skip:]
		prevTerm = n.termAt(prev)
	}
	if t, ok := n.log.term(prev); !ok || t != prevTerm {
		hint, term := n.log.findConflictByTerm(min(prev-1, n.log.last()), prevTerm)
		// This log agrees with the leader's up to the commit index, so the leader
		// need not go back further.
		if hint < n.commit {
			hint, term = n.commit, n.termAt(n.commit)
		}
		n.send(Message{
			Kind: MsgAppendReply, To: m.From, Term: n.term, Reject: true,
			Index: m.Index, Hint: hint, LogTerm: term,
		})
		return nil
	}
	last := prev + uint64(len(es))
	for i, e := range es {
		if t, ok := n.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			return failf("append", KindInvalid, "entry %d of term %d contradicts the log with commit index %d", e.Index, e.Term, n.commit)
		}
		n.truncateLog(e.Index)
		n.appendEntries(es[i:])
		break
	}
	n.commitTo(min(m.Commit, last))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.term, Index: last})
	return nil
}

// onAppendReply records the entries that a member has acknowledged. A reply to a
// probe changes the member to stateReplicate. The transfer of a snapshot ends when
// the member has acknowledged the snapshot, or when appends can continue because the
// log holds the entry at match.
func (n *Node) onAppendReply(m Message, p *progress) {
	if m.Reject {
		n.onReject(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	_, held := n.log.term(p.match)
	switch {
	case p.state == stateProbe && m.Index >= p.next-1:
		p.state, p.paused = stateReplicate, false
	case p.state == stateSnapshot && (held || p.match >= p.outgoing.meta.Index && p.outgoing.data != nil):
		n.endTransfer(&p.transfers, acknowledgedOutcome(p, held))
		p.becomeProbe(p.match + 1)
	}
	keep := slices.IndexFunc(p.inflight, func(a inflightAppend) bool { return a.last > m.Index })
	if keep < 0 {
		keep = len(p.inflight)
	}
	p.inflight = p.inflight[keep:]
}

// acknowledgedOutcome returns the outcome of a transfer that ends because of p.match.
// held is set if the leader's log has the entry at p.match.
func acknowledgedOutcome(p *progress, held bool) TransferOutcome {
	switch {
	case p.match < p.outgoing.meta.Index:
		return TransferUnneeded
	case !held:
		return TransferTooOld
	}
	return TransferDone
}

// onReject moves next back to the largest index at which the logs may agree.
// Rejections of earlier probes, and those that arrive during the transfer of a
// snapshot, are ignored. Rejections of appends that have been acknowledged in the
// meantime are ignored too, unless the follower has fewer entries than it had
// acknowledged: its disk lost a record, and the follower would never catch up if
// match and next were not moved back. A delayed rejection that looks the same only
// costs a resend, because a lower match cannot raise the commit index.
func (n *Node) onReject(m Message, p *progress) {
	lost := m.Index <= p.match && m.Hint < p.match
	switch {
	case p.state == stateSnapshot || (m.Index <= p.match && !lost):
		return
	case lost:
		hint, _ := n.log.findConflictByTerm(m.Hint, m.LogTerm)
		p.match = min(p.match, hint)
		p.becomeProbe(p.match + 1)
		return
	case p.state == stateProbe && m.Index != p.next-1:
		return
	}
	hint, _ := n.log.findConflictByTerm(m.Hint, m.LogTerm)
	p.becomeProbe(min(m.Index, hint+1))
}

// onHeartbeatReply records the acknowledged heartbeat round and confirms the reads
// that waited for it. It allows another append to the member, because an earlier
// append or the reply to it may have been lost.
func (n *Node) onHeartbeatReply(m Message, p *progress) {
	p.ackedRound = max(p.ackedRound, m.HeartbeatRound)
	p.paused = false
	p.sendEmpty = true
	n.confirmReads()
}

// advanceCommit commits the entries that are durable on a quorum. Only an entry of
// the current term is committed this way; it commits all entries before it.
func (n *Node) advanceCommit() {
	index := n.quorumIndex(isVoter)
	if n.joint() {
		index = min(index, n.quorumIndex(isOldVoter))
	}
	if index <= n.commit || n.termAt(index) != n.term {
		return
	}
	n.commitTo(index)
	n.assignReadRounds()
	// A leader that is no longer a voter remains the leader until that change is
	// committed.
	if m, _ := n.member(n.self); !m.Voter && !m.OldVoter && !n.MembersPending() {
		n.becomeFollower(n.term, 0)
		return
	}
	n.completeVoters()
}

// quorumIndex returns the largest index up to which a majority of the members in the
// set has the entries, or 0 if the set is empty.
func (n *Node) quorumIndex(inSet func(Member) bool) uint64 {
	var matches []uint64
	for _, m := range n.Members() {
		switch p := n.peers[m.ID]; {
		case !inSet(m):
		case m.ID == n.self:
			matches = append(matches, n.log.lastDurable)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
