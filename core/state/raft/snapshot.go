package raft

import "camphorridge/core/state/clock"

// snapshotWindow is the number of chunks of a snapshot that are sent to a member before it
// acknowledges them.
const snapshotWindow = 4

// outgoingSnapshot is a snapshot that is being sent to a member in chunks.
type outgoingSnapshot struct {
	meta SnapshotMeta
	// data is nil until the caller has provided it.
	data []byte
	// acked is the offset in bytes up to which the member has received the data, and
	// next, at least acked, that of the next chunk.
	acked, next uint64
	// lastSent is set while the last chunk is unacknowledged.
	lastSent bool
	// probing is set from the time at which chunks were repeated until the member
	// acknowledges more; only one chunk at a time is sent then.
	probing bool
	// lastProgress is the time at which the data was last requested from the caller, the
	// transfer began or was repeated, or the member last acknowledged more.
	lastProgress clock.Millis
	// wait is the time without progress after which chunks are repeated: twice the time
	// that the last progress took, from one to maxRepeatWaits election timeouts. Chunks
	// that a slow link still carries must not be sent again.
	wait clock.Millis
}

// maxRepeatWaits limits outgoingSnapshot.wait, in election timeouts.
const maxRepeatWaits = 4

// repeat continues at the first byte that the member has not acknowledged.
func (o *outgoingSnapshot) repeat(now, election clock.Millis) {
	o.wait = min(2*o.wait, maxRepeatWaits*election)
	o.next, o.lastSent, o.probing, o.lastProgress = o.acked, false, true, now
}

// advance records that the member has received the data up to an offset.
func (o *outgoingSnapshot) advance(offset uint64, now, election clock.Millis) {
	o.acked = min(offset, uint64(len(o.data)))
	o.next = max(o.next, o.acked)
	o.wait = min(max(2*(now-o.lastProgress), election), maxRepeatWaits*election)
	o.probing, o.lastProgress = false, now
}

// incomingSnapshot is a partially received snapshot. It is kept only in memory
// and is lost in a restart.
type incomingSnapshot struct {
	from MemberID
	meta SnapshotMeta
	data []byte
}

// sendSnapshot requests the snapshot from the caller or, once the caller has
// provided it, sends the chunks that may be in flight. A member that falls silent keeps
// what it has received: its transfer continues when it answers again, unless the log no
// longer has the entries after the snapshot.
func (n *Node) sendSnapshot(id MemberID, p *progress) {
	if p.state != stateSnapshot {
		p.becomeProbe(p.next)
		p.state = stateSnapshot
	}
	out := &p.outgoing
	if out.data != nil && out.meta.Index < n.log.base {
		n.endTransfer(&p.transfers, TransferTooOld)
		*out = outgoingSnapshot{}
	}
	waited := n.now - out.lastProgress
	switch {
	case out.data == nil && n.recentlyActive(id) && (waited >= 2*n.cfg.HeartbeatInterval || out.lastProgress == 0):
		out.lastProgress = n.now
		n.needSnapshot = append(n.needSnapshot, id)
	case out.data == nil:
	case waited >= out.wait:
		out.repeat(n.now, n.cfg.ElectionTimeout)
		n.sendChunk(id, out)
	case !out.probing && n.recentlyActive(id):
		window := uint64(min(n.cfg.MaxInflightBytes, snapshotWindow*n.cfg.ChunkBytes))
		for !out.lastSent && out.next-out.acked < window {
			n.sendChunk(id, out)
		}
	}
}

// sendChunk sends the next chunk of a snapshot.
func (n *Node) sendChunk(id MemberID, out *outgoingSnapshot) {
	from := out.next
	out.next = min(from+uint64(n.cfg.ChunkBytes), uint64(len(out.data)))
	out.lastSent = out.next == uint64(len(out.data))
	n.send(Message{
		Kind: MsgSnapshot, To: id, Term: n.term, Snapshot: out.meta,
		Offset: from, Chunk: out.data[from:out.next:out.next], Last: out.lastSent,
	})
}

// SendsSnapshots reports whether this member leads and another one needs a snapshot.
func (n *Node) SendsSnapshots() bool {
	for _, p := range n.peers {
		if p.state == stateSnapshot {
			return true
		}
	}
	return false
}

// ProvideSnapshot provides the snapshot data that an Output requested in
// NeedSnapshot. The data is ignored if the member no longer needs a snapshot, if data
// was provided already, or if the log no longer has the entries after the snapshot.
func (n *Node) ProvideSnapshot(to MemberID, meta SnapshotMeta, data []byte) {
	p := n.peers[to]
	if n.role != RoleLeader || p == nil || p.state != stateSnapshot || p.outgoing.data != nil || meta.Index < n.log.base {
		return
	}
	if data == nil {
		data = []byte{}
	}
	p.outgoing = outgoingSnapshot{meta: meta, data: data, lastProgress: n.now, wait: n.cfg.ElectionTimeout}
	n.beginTransfer(&p.transfers, to, meta.Index, uint64(len(data)))
}

// onSnapshotReply continues after the data that the member has received. Replies that
// acknowledge nothing new are ignored, so that a duplicated message does not start a
// second sequence of chunks: a lost chunk is repeated when it is overdue. A member that
// has started again has lost the data, and receives it from the beginning.
func (n *Node) onSnapshotReply(m Message, p *progress) {
	out := &p.outgoing
	if p.state != stateSnapshot || out.data == nil || m.Index != out.meta.Index {
		return
	}
	switch {
	case m.Offset > out.acked:
		out.advance(m.Offset, n.now, n.cfg.ElectionTimeout)
	case m.Offset < out.acked && m.Offset < m.Hint:
		*out = outgoingSnapshot{meta: out.meta, data: out.data, acked: m.Offset, next: m.Offset, lastProgress: n.now, wait: n.cfg.ElectionTimeout}
	}
	p.transfers.Running.Offset = out.acked
}

// onSnapshot collects the chunks of a snapshot and installs the snapshot when the
// last chunk has been received. A snapshot that contains only committed entries is
// not needed: onSnapshot acknowledges the commit index instead.
func (n *Node) onSnapshot(m Message) {
	meta := m.Snapshot
	if meta.Index <= n.commit {
		n.endTransfer(&n.incomingTransfers, TransferUnneeded)
		n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.term, Index: n.commit})
		return
	}
	in := &n.incoming
	if in.from != m.From || in.meta.Index != meta.Index || in.meta.Term != meta.Term {
		*in = incomingSnapshot{from: m.From, meta: meta}
		n.endTransfer(&n.incomingTransfers, TransferReplaced)
		n.beginTransfer(&n.incomingTransfers, m.From, meta.Index, 0)
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
		n.incomingTransfers.Running.Offset = uint64(len(in.data))
		if m.Last {
			n.incomingTransfers.Running.Bytes = uint64(len(in.data))
			n.endTransfer(&n.incomingTransfers, TransferDone)
			n.finishSnapshot(m.From, meta, in.data)
			return
		}
	}
	n.send(Message{
		Kind: MsgSnapshotReply, To: m.From, Term: n.term,
		Index: meta.Index, Hint: m.Offset, Offset: uint64(len(in.data)),
	})
}

// finishSnapshot replaces the state and the log with a completely received
// snapshot. If the log holds the last entry of the snapshot, the state and the log
// stay and only the commit index is raised. In both cases the snapshot is
// acknowledged.
func (n *Node) finishSnapshot(from MemberID, meta SnapshotMeta, data []byte) {
	n.incoming = incomingSnapshot{}
	if t, ok := n.log.term(meta.Index); ok && t == meta.Term {
		n.commitTo(meta.Index)
	} else {
		n.log.reset(meta.Index, meta.Term)
		n.memberLists = []memberList{{index: meta.Index, members: meta.Members}}
		n.commit, n.applied, n.snapshotIndex = meta.Index, meta.Index, meta.Index
		n.install, n.installData = &meta, data
	}
	n.send(Message{Kind: MsgAppendReply, To: from, Term: n.term, Index: meta.Index})
}

// Compact tells the node that a snapshot up to meta.Index is durable. It removes
// the entries that the snapshot covers from the log, except the last of them that
// KeepEntries and KeepBytes allow, and those that a member still needs, as far as
// HoldEntries and HoldBytes allow.
func (n *Node) Compact(meta SnapshotMeta) {
	if meta.Index <= n.snapshotIndex || meta.Index > n.applied {
		return
	}
	n.snapshotIndex = meta.Index
	kept := n.log.before(meta.Index, n.cfg.KeepEntries, n.cfg.KeepBytes)
	held := n.log.before(kept, n.cfg.HoldEntries, n.cfg.HoldBytes)
	n.log.compact(max(held, min(kept, n.lowestNeeded())))
	n.trimMemberLists(n.log.base)
}

// lowestNeeded returns the last index that each active member has acknowledged, and that
// each member is being sent with a snapshot. If the entries after it were removed, a
// member that catches up slowly would need the next snapshot, and never finish.
func (n *Node) lowestNeeded() uint64 {
	lowest := n.log.last()
	for id, p := range n.peers {
		held, needed := p.match, n.recentlyActive(id)
		if p.state == stateSnapshot {
			held, needed = p.outgoing.meta.Index, p.outgoing.data != nil
		}
		if needed && held >= n.log.base {
			lowest = min(lowest, held)
		}
	}
	return lowest
}
