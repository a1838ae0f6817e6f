package raft

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MemberID is the random identity of a member. It is made with an empty data
// folder and is never reused, so that a member that lost its disk is a new
// member. 0 is no member.
type MemberID uint64

// Member is one member of the group.
type Member struct {
	ID      MemberID
	Name    model.Process
	Zone    model.Zone
	Address string
	// Voter is false while the member catches up.
	Voter bool
}

// EntryKind tells log entries apart.
type EntryKind int

// The kinds of entry.
const (
	// EntryChange carries an encoded change.
	EntryChange EntryKind = iota
	// EntryNoOp is the empty entry that starts a leader's term.
	EntryNoOp
	// EntryMembers carries the encoded member list that is in force from this
	// entry on.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	// Index grows by exactly 1 from entry to entry and starts at 1.
	Index uint64
	// Term never decreases from entry to entry.
	Term uint64
	Kind EntryKind
	Data []byte
	// Members is set for EntryMembers in place of Data.
	Members []Member
}

// HardState must be synced to disk before any message of the same output is
// sent.
type HardState struct {
	// Term only grows.
	Term uint64
	// Vote is the candidate voted for in Term; 0 for none.
	Vote MemberID
	// Commit only grows; it need not be synced with each change.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the replicated state.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot contains.
	Index   uint64
	Term    uint64
	Members []Member
}

// MessageKind tells messages apart.
type MessageKind int

// The kinds of message.
const (
	MsgPreVote MessageKind = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	MsgSnapshotReply
)

// Message passes between two members.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	Term uint64
	// Index and LogTerm are the previous entry of an append, or the last entry
	// of a candidate.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is, in a rejected append, the largest index at which the follower's
	// log may still agree; LogTerm is the term there. In a reply to a chunk it
	// is the offset of that chunk.
	Hint uint64
	// Context returns with the reply of a heartbeat; it confirms reads.
	Context  uint64
	Snapshot SnapshotMeta
	// Offset, Chunk and Last are a part of the snapshot's data.
	Offset uint64
	Chunk  []byte
	Last   bool
}

// Role is what a member does in its term.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

var roleNames = [...]string{"follower", "candidate", "leader"}

// String returns the name used in reports.
func (r Role) String() string {
	if r < 0 || int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}

// StoredState is what a member finds in its data folder at start.
type StoredState struct {
	Self     Member
	Hard     HardState
	Snapshot SnapshotMeta
	// Entries follow on Snapshot.Index without a gap.
	Entries []Entry
}

// Config sets the timing of a member.
type Config struct {
	// ElectionTimeout is the smallest time without a leader before a
	// pre-vote; the largest is twice that.
	ElectionTimeout clock.Millis
	// HeartbeatInterval is at most a third of ElectionTimeout.
	HeartbeatInterval clock.Millis
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// ChunkBytes bounds the data of one snapshot message.
	ChunkBytes int
	// KeepEntries is the number of entries that stay in memory behind a
	// snapshot, so that a member that lags a little needs no snapshot.
	KeepEntries uint64
	// Seed feeds the random election timeouts.
	Seed uint64
}

// Output is what the caller must do after a step, in this order: sync Hard
// and Append to disk, install the snapshot, call Persisted, send Messages,
// apply Committed, answer Reads. When a write fails the caller writes the same
// output again; until Persisted the node hands out no other.
type Output struct {
	// Hard is nil when the hard state did not change.
	Hard *HardState
	// Append replaces all stored entries from Append[0].Index on.
	Append []Entry
	// Install is set when a snapshot was received whole; InstallData is its
	// content. It replaces the state and the log.
	Install     *SnapshotMeta
	InstallData []byte
	Messages    []Message
	// Committed entries follow on those of the output before.
	Committed []Entry
	// Reads are the contexts of reads that may be answered once the state has
	// been applied up to ReadIndex.
	Reads []ReadReady
	// NeedSnapshot lists members that want snapshot data; the caller answers
	// with ProvideSnapshot.
	NeedSnapshot []MemberID
}

// ReadReady says that a read may be answered from the state at Index.
type ReadReady struct {
	Context uint64
	Index   uint64
}
