package raft

import (
	"slices"

	"camphorridge/core/state/clock"
)

// maxInflight is the number of appends to one member that may be without an
// answer. With 64 KiB messages it bounds the data under way to 4 MiB.
const maxInflight = 64

// peerState is how the leader sends to a member.
type peerState int

const (
	// stateProbe: the point of agreement is not known; one append at a time.
	stateProbe peerState = iota
	// stateStream: appends follow on each other without waiting for answers.
	stateStream
	// stateSnapshot: the member needs entries that were compacted.
	stateSnapshot
)

// progress is what the leader knows of another member.
type progress struct {
	// match is the last index known to be on the member's disk; it only grows.
	match uint64
	// next is the index that the next append starts with; above match.
	next  uint64
	state peerState
	// inflight holds the last index of each append that is not answered yet,
	// in ascending order; at most maxInflight.
	inflight []uint64
	// paused is set in stateProbe from an append until an answer.
	paused bool
	// nudge asks for an append even when it is empty, to find a lost one.
	nudge bool
	heard clock.Millis
	// acked is the last heartbeat round that the member answered.
	acked uint64
	out   transfer
}

func (p *progress) probe(next uint64) {
	p.state, p.next = stateProbe, max(next, p.match+1)
	p.inflight, p.paused, p.nudge = nil, false, false
	p.out = transfer{}
}

// broadcastHeartbeat sends a heartbeat to every member. Its commit index never
// exceeds what the member is known to hold.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatDue = n.now + n.cfg.HeartbeatInterval
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			n.send(Message{
				Kind: MsgHeartbeat, To: m.ID, Term: n.term,
				Commit: min(p.match, n.commit), Context: n.round,
			})
		}
	}
}

// sendTo sends a member what it lacks, as far as its state allows.
func (n *Node) sendTo(id MemberID, p *progress) {
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
	for p.next <= n.log.last() && len(p.inflight) < maxInflight {
		last := n.sendAppend(id, p)
		p.next = last + 1
		p.inflight = append(p.inflight, last)
		sent = true
	}
	if p.nudge && !sent && p.match < n.log.last() {
		n.send(Message{
			Kind: MsgAppend, To: id, Term: n.term, Commit: n.commit,
			Index: p.next - 1, LogTerm: n.termAt(p.next - 1),
		})
	}
	p.nudge = false
}

// sendAppend sends entries from p.next on and returns the last index sent.
func (n *Node) sendAppend(id MemberID, p *progress) uint64 {
	es := n.log.bounded(p.next, n.cfg.MaxAppendBytes)
	n.send(Message{
		Kind: MsgAppend, To: id, Term: n.term, Commit: n.commit,
		Index: p.next - 1, LogTerm: n.termAt(p.next - 1), Entries: es,
	})
	return p.next - 1 + uint64(len(es))
}

func (n *Node) termAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// onAppend stores the entries of the leader. The reply travels in the output
// that carries the entries, hence after their sync.
func (n *Node) onAppend(m Message) error {
	prev, prevTerm, es := m.Index, m.LogTerm, m.Entries
	// Committed entries agree with every leader; skip those in the message.
	if prev < n.commit {
		skip := min(n.commit-prev, uint64(len(es)))
		prev, es = n.commit, es[skip:]
		prevTerm = n.termAt(prev)
	}
	if t, ok := n.log.term(prev); !ok || t != prevTerm {
		hint, term := n.log.agree(min(prev-1, n.log.last()), prevTerm)
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
		if e.Index <= n.commit || e.Index != prev+uint64(i)+1 {
			return failf("append", KindInvalid, "entry %d of term %d does not follow on commit %d", e.Index, e.Term, n.commit)
		}
		n.truncateLog(e.Index)
		n.addEntries(es[i:])
		break
	}
	n.commitTo(min(m.Commit, last))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.term, Index: last})
	return nil
}

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
		p.state, p.paused = stateStream, false
	case p.state == stateSnapshot && (held || p.match >= p.out.meta.Index && p.out.data != nil):
		p.probe(p.match + 1)
	}
	keep := slices.IndexFunc(p.inflight, func(i uint64) bool { return i > m.Index })
	if keep < 0 {
		keep = len(p.inflight)
	}
	p.inflight = p.inflight[keep:]
}

// onReject moves back to the point where the logs may agree. Rejections of
// appends that were answered meanwhile are ignored, unless the follower has
// less than it had acknowledged: its disk lost a record, and without going
// back it would never catch up. A late rejection that looks the same only
// costs a resend, as a lower match can't raise the commit index.
func (n *Node) onReject(m Message, p *progress) {
	lost := m.Index <= p.match && m.Hint < p.match
	switch {
	case p.state == stateSnapshot || (m.Index <= p.match && !lost):
		return
	case lost:
		hint, _ := n.log.agree(m.Hint, m.LogTerm)
		p.match = min(p.match, hint)
		p.probe(p.match + 1)
		return
	case p.state == stateProbe && m.Index != p.next-1:
		return
	}
	hint, _ := n.log.agree(m.Hint, m.LogTerm)
	p.probe(min(m.Index, hint+1))
}

func (n *Node) onHeartbeatReply(m Message, p *progress) {
	p.acked = max(p.acked, m.Context)
	p.paused = false
	p.nudge = true
	n.confirmReads()
}

// advanceCommit commits what a quorum of voters has on disk. Only an entry of
// the own term is counted; it commits those before it.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, m := range n.Members() {
		switch p := n.peers[m.ID]; {
		case !m.Voter:
		case m.ID == n.self:
			matches = append(matches, n.log.stable)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= n.commit || n.termAt(index) != n.term {
		return
	}
	n.commitTo(index)
	n.startReads()
	// A leader that was removed leads until the removal is committed.
	if _, ok := n.member(n.self); !ok && !n.MembersPending() {
		n.becomeFollower(n.term, 0)
	}
}
