package codec

import (
	"fmt"

	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/wirepb"
)

// EntryToWire maps a log entry.
func EntryToWire(e raft.Entry) *wirepb.LogEntry {
	return &wirepb.LogEntry{
		Index:   e.Index,
		Term:    e.Term,
		Kind:    int32(e.Kind),
		Data:    e.Data,
		Members: list(e.Members, MemberToWire),
	}
}

// EntryFromWire maps a log entry. Indexes start at 1.
func EntryFromWire(w *wirepb.LogEntry) (raft.Entry, error) {
	const op = "log entry"
	kind, err := enum(op, "kind", w.GetKind(), raft.EntryMembers)
	if err != nil {
		return raft.Entry{}, err
	}
	if w.GetIndex() == 0 {
		return raft.Entry{}, &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("index is 0")}
	}
	members, err := listFrom(w.GetMembers(), MemberFromWire)
	if err != nil {
		return raft.Entry{}, err
	}
	return raft.Entry{
		Index:   w.GetIndex(),
		Term:    w.GetTerm(),
		Kind:    kind,
		Data:    w.GetData(),
		Members: members,
	}, nil
}

// MemberToWire maps a member of the group.
func MemberToWire(m raft.Member) *wirepb.GroupMember {
	return &wirepb.GroupMember{
		Id:      uint64(m.ID),
		Name:    text(m.Name),
		Zone:    text(m.Zone),
		Address: text(m.Address),
		Voter:   m.Voter,
	}
}

// MemberFromWire maps a member of the group; its identity is required.
func MemberFromWire(w *wirepb.GroupMember) (raft.Member, error) {
	if w.GetId() == 0 {
		return raft.Member{}, &Error{Op: "group member", Kind: KindMissing, Err: fmt.Errorf("id is 0")}
	}
	return raft.Member{
		ID:      raft.MemberID(w.GetId()),
		Name:    model.Process(w.GetName()),
		Zone:    model.Zone(w.GetZone()),
		Address: w.GetAddress(),
		Voter:   w.GetVoter(),
	}, nil
}

// HardStateToWire maps a hard state.
func HardStateToWire(h raft.HardState) *wirepb.HardState {
	return &wirepb.HardState{Term: h.Term, Vote: uint64(h.Vote), Commit: h.Commit}
}

// HardStateFromWire maps a hard state.
func HardStateFromWire(w *wirepb.HardState) raft.HardState {
	return raft.HardState{Term: w.GetTerm(), Vote: raft.MemberID(w.GetVote()), Commit: w.GetCommit()}
}

// SnapshotMetaToWire maps the description of a snapshot.
func SnapshotMetaToWire(m raft.SnapshotMeta) *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: m.Index, Term: m.Term, Members: list(m.Members, MemberToWire)}
}

// SnapshotMetaFromWire maps the description of a snapshot; a missing one is
// that of no snapshot.
func SnapshotMetaFromWire(w *wirepb.SnapshotMeta) (raft.SnapshotMeta, error) {
	members, err := listFrom(w.GetMembers(), MemberFromWire)
	if err != nil {
		return raft.SnapshotMeta{}, err
	}
	return raft.SnapshotMeta{Index: w.GetIndex(), Term: w.GetTerm(), Members: members}, nil
}

// MessageToWire maps a message. The description of a snapshot is sent with
// the messages that carry one only.
func MessageToWire(m raft.Message) *wirepb.RaftMessage {
	w := &wirepb.RaftMessage{
		Kind:    int32(m.Kind),
		From:    uint64(m.From),
		To:      uint64(m.To),
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Entries: list(m.Entries, EntryToWire),
		Reject:  m.Reject,
		Hint:    m.Hint,
		Context: m.Context,
		Offset:  m.Offset,
		Chunk:   m.Chunk,
		Last:    m.Last,
	}
	if s := m.Snapshot; s.Index != 0 || s.Term != 0 || len(s.Members) > 0 {
		w.Snapshot = SnapshotMetaToWire(s)
	}
	return w
}

// MessageFromWire maps a message. The sender and the receiver are required,
// and entries must follow on each other.
func MessageFromWire(w *wirepb.RaftMessage) (raft.Message, error) {
	const op = "raft message"
	kind, err := enum(op, "kind", w.GetKind(), raft.MsgSnapshotReply)
	if err != nil {
		return raft.Message{}, err
	}
	if w.GetFrom() == 0 || w.GetTo() == 0 {
		return raft.Message{}, &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("it is from %d to %d", w.GetFrom(), w.GetTo())}
	}
	entries, err := listFrom(w.GetEntries(), EntryFromWire)
	if err != nil {
		return raft.Message{}, err
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return raft.Message{}, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("entry %d follows on entry %d", entries[i].Index, entries[i-1].Index)}
		}
	}
	snapshot, err := SnapshotMetaFromWire(w.GetSnapshot())
	if err != nil {
		return raft.Message{}, err
	}
	return raft.Message{
		Kind:     kind,
		From:     raft.MemberID(w.GetFrom()),
		To:       raft.MemberID(w.GetTo()),
		Term:     w.GetTerm(),
		Index:    w.GetIndex(),
		LogTerm:  w.GetLogTerm(),
		Commit:   w.GetCommit(),
		Entries:  entries,
		Reject:   w.GetReject(),
		Hint:     w.GetHint(),
		Context:  w.GetContext(),
		Snapshot: snapshot,
		Offset:   w.GetOffset(),
		Chunk:    w.GetChunk(),
		Last:     w.GetLast(),
	}, nil
}
