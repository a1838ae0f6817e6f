package codec

import (
	"fmt"

	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/wirepb"
)

// LogEntryToWire converts a Raft log entry to its message.
func LogEntryToWire(e raft.Entry) *wirepb.LogEntry {
	return &wirepb.LogEntry{
		Index:   e.Index,
		Term:    e.Term,
		Kind:    int32(e.Kind),
		Data:    e.Data,
		Members: mapAll(e.Members, GroupMemberToWire),
	}
}

// LogEntryFromWire converts a message to a Raft log entry. It returns an error if
// the kind is not defined, a member is not valid, or the index is 0; log indexes
// start at 1.
func LogEntryFromWire(w *wirepb.LogEntry) (raft.Entry, error) {
	const op = "log entry"
	kind, err := enumFromWire(op, "kind", w.GetKind(), raft.EntryMembers)
	if err != nil {
		return raft.Entry{}, err
	}
	if w.GetIndex() == 0 {
		return raft.Entry{}, &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("index is 0; indexes start at 1")}
	}
	members, err := tryMapAll(w.GetMembers(), GroupMemberFromWire)
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

// GroupMemberToWire converts a member of the control group to its message.
func GroupMemberToWire(m raft.Member) *wirepb.GroupMember {
	return &wirepb.GroupMember{
		Id:       uint64(m.ID),
		Name:     validUTF8(m.Name),
		Zone:     validUTF8(m.Zone),
		Address:  validUTF8(m.Address),
		Voter:    m.Voter,
		OldVoter: m.OldVoter,
	}
}

// GroupMemberFromWire converts a message to a member of the control group. It
// returns an error if the id is 0.
func GroupMemberFromWire(w *wirepb.GroupMember) (raft.Member, error) {
	if w.GetId() == 0 {
		return raft.Member{}, &Error{Op: "group member", Kind: KindMissing, Err: fmt.Errorf("id is 0; ids are greater than 0")}
	}
	return raft.Member{
		ID:       raft.MemberID(w.GetId()),
		Name:     model.Process(w.GetName()),
		Zone:     model.Zone(w.GetZone()),
		Address:  w.GetAddress(),
		Voter:    w.GetVoter(),
		OldVoter: w.GetOldVoter(),
	}, nil
}

// HardStateToWire converts the durable Raft state (term, vote and commit index)
// to its message.
func HardStateToWire(h raft.HardState) *wirepb.HardState {
	return &wirepb.HardState{Term: h.Term, Vote: uint64(h.Vote), Commit: h.Commit}
}

// HardStateFromWire converts a message to the durable Raft state.
func HardStateFromWire(w *wirepb.HardState) raft.HardState {
	return raft.HardState{Term: w.GetTerm(), Vote: raft.MemberID(w.GetVote()), Commit: w.GetCommit()}
}

// SnapshotMetaToWire converts the metadata of a snapshot to its message.
func SnapshotMetaToWire(m raft.SnapshotMeta) *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: m.Index, Term: m.Term, Members: mapAll(m.Members, GroupMemberToWire)}
}

// SnapshotMetaFromWire converts a message to the metadata of a snapshot. A nil
// message gives the zero value, which stands for no snapshot. It returns an error if
// a member is not valid.
func SnapshotMetaFromWire(w *wirepb.SnapshotMeta) (raft.SnapshotMeta, error) {
	members, err := tryMapAll(w.GetMembers(), GroupMemberFromWire)
	if err != nil {
		return raft.SnapshotMeta{}, err
	}
	return raft.SnapshotMeta{Index: w.GetIndex(), Term: w.GetTerm(), Members: members}, nil
}

// RaftMessageToWire converts a Raft message to its protobuf message. Snapshot
// metadata is included only if it is not zero.
func RaftMessageToWire(m raft.Message) *wirepb.RaftMessage {
	w := &wirepb.RaftMessage{
		Kind:    int32(m.Kind),
		From:    uint64(m.From),
		To:      uint64(m.To),
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Entries: mapAll(m.Entries, LogEntryToWire),
		Reject:  m.Reject,
		Hint:    m.Hint,
		Context: m.HeartbeatRound,
		Offset:  m.Offset,
		Chunk:   m.Chunk,
		Last:    m.Last,
	}
	if s := m.Snapshot; s.Index != 0 || s.Term != 0 || len(s.Members) > 0 {
		w.Snapshot = SnapshotMetaToWire(s)
	}
	return w
}

// RaftMessageFromWire converts a protobuf message to a Raft message. It returns an
// error if the kind is not defined, the ID of the sender or the receiver is 0, an
// entry or the metadata of the snapshot is not valid, or the indexes of the entries
// are not consecutive.
func RaftMessageFromWire(w *wirepb.RaftMessage) (raft.Message, error) {
	const op = "raft message"
	kind, err := enumFromWire(op, "kind", w.GetKind(), raft.MsgLeave)
	if err != nil {
		return raft.Message{}, err
	}
	if w.GetFrom() == 0 || w.GetTo() == 0 {
		return raft.Message{}, &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("sender or receiver is missing: from %d to %d", w.GetFrom(), w.GetTo())}
	}
	entries, err := tryMapAll(w.GetEntries(), LogEntryFromWire)
	if err != nil {
		return raft.Message{}, err
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return raft.Message{}, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("entry %d follows entry %d; allowed: consecutive indexes", entries[i].Index, entries[i-1].Index)}
		}
	}
	snapshot, err := SnapshotMetaFromWire(w.GetSnapshot())
	if err != nil {
		return raft.Message{}, err
	}
	return raft.Message{
		Kind:           kind,
		From:           raft.MemberID(w.GetFrom()),
		To:             raft.MemberID(w.GetTo()),
		Term:           w.GetTerm(),
		Index:          w.GetIndex(),
		LogTerm:        w.GetLogTerm(),
		Commit:         w.GetCommit(),
		Entries:        entries,
		Reject:         w.GetReject(),
		Hint:           w.GetHint(),
		HeartbeatRound: w.GetContext(),
		Snapshot:       snapshot,
		Offset:         w.GetOffset(),
		Chunk:          w.GetChunk(),
		Last:           w.GetLast(),
	}, nil
}
