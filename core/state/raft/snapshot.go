package raft

import "camphorridge/core/state/clock"

// transfer is a snapshot on its way to a member; one chunk is under way at a
// time.
type transfer struct {
	meta SnapshotMeta
	// data is nil until the caller provided it.
	data []byte
	// offset is where the chunk under way starts.
	offset uint64
	// sent is the time of the last request for data or of the last chunk; 0
	// when the next one is due.
	sent clock.Millis
}

// incoming is a snapshot that arrives in chunks. A restart forgets it.
type incoming struct {
	from MemberID
	meta SnapshotMeta
	data []byte
}

// sendSnapshot asks the caller for a snapshot, or sends the next chunk. A
// member that does not answer gets nothing.
func (n *Node) sendSnapshot(id MemberID, p *progress) {
	if p.state != stateSnapshot {
		p.probe(p.next)
		p.state = stateSnapshot
	}
	if !n.recent(id) {
		p.out = transfer{}
		return
	}
	if p.out.sent != 0 && n.now-p.out.sent < 2*n.cfg.HeartbeatInterval {
		return
	}
	p.out.sent = n.now
	if p.out.data == nil {
		n.want = append(n.want, id)
		return
	}
	from := p.out.offset
	to := min(from+uint64(n.cfg.ChunkBytes), uint64(len(p.out.data)))
	n.send(Message{
		Kind: MsgSnapshot, To: id, Term: n.term, Snapshot: p.out.meta,
		Offset: from, Chunk: p.out.data[from:to:to], Last: to == uint64(len(p.out.data)),
	})
}

// ProvideSnapshot gives the data that an output's NeedSnapshot asked for. It
// is ignored when the member needs it no longer.
func (n *Node) ProvideSnapshot(to MemberID, meta SnapshotMeta, data []byte) {
	p := n.peers[to]
	if n.role != RoleLeader || p == nil || p.state != stateSnapshot || p.out.data != nil || meta.Index < n.log.base {
		return
	}
	if data == nil {
		data = []byte{}
	}
	p.out = transfer{meta: meta, data: data}
}

// onSnapshotReply moves on to the chunk that the member wants next. Answers to
// earlier chunks are ignored, so that a repeated message starts no second
// chain of chunks.
func (n *Node) onSnapshotReply(m Message, p *progress) {
	if p.state != stateSnapshot || p.out.data == nil || m.Index != p.out.meta.Index || m.Hint != p.out.offset {
		return
	}
	p.out.offset = min(m.Offset, uint64(len(p.out.data)))
	p.out.sent = 0
}

// onSnapshot collects the chunks and installs the snapshot with the last one.
func (n *Node) onSnapshot(m Message) {
	meta := m.Snapshot
	if meta.Index <= n.commit {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.term, Index: n.commit})
		return
	}
	in := &n.incoming
	if in.from != m.From || in.meta.Index != meta.Index || in.meta.Term != meta.Term {
		*in = incoming{from: m.From, meta: meta}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
		if m.Last {
			n.finishSnapshot(m.From, meta, in.data)
			return
		}
	}
	n.send(Message{
		Kind: MsgSnapshotReply, To: m.From, Term: n.term,
		Index: meta.Index, Hint: m.Offset, Offset: uint64(len(in.data)),
	})
}

// finishSnapshot replaces state and log by a whole snapshot, unless the log
// holds its last entry: then only the commit index moves.
func (n *Node) finishSnapshot(from MemberID, meta SnapshotMeta, data []byte) {
	n.incoming = incoming{}
	if t, ok := n.log.term(meta.Index); ok && t == meta.Term {
		n.commitTo(meta.Index)
	} else {
		n.log.reset(meta.Index, meta.Term)
		n.lists = []memberList{{index: meta.Index, members: meta.Members}}
		n.commit, n.applied, n.snapIndex = meta.Index, meta.Index, meta.Index
		n.install, n.installData = &meta, data
	}
	n.send(Message{Kind: MsgAppendReply, To: from, Term: n.term, Index: meta.Index})
}

// Compact tells that the caller has a snapshot up to meta.Index on disk; the
// log drops the entries that it no longer needs.
func (n *Node) Compact(meta SnapshotMeta) {
	if meta.Index <= n.snapIndex || meta.Index > n.applied {
		return
	}
	n.snapIndex = meta.Index
	if meta.Index > n.cfg.KeepEntries {
		n.log.compact(meta.Index - n.cfg.KeepEntries)
	}
	n.trimLists(n.log.base)
}
