package raft

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MemberID is the random identity of a member. It is generated when the data
// folder is created and is never reused, so that a member that lost its disk
// joins as a new member. 0 means no member.
type MemberID uint64

// Member is one member of the group.
type Member struct {
	ID      MemberID
	Name    model.Process
	Zone    model.Zone
	Address string
	// Voter is set for a member of the quorum. Other members are standbys: they
	// replicate the log and can become voters at once.
	Voter bool
	// OldVoter is set only in a joint list, for the voters of the list before it.
	// Elections and commits then need a majority of the voters and one of the old
	// voters.
	OldVoter bool
}

// EntryKind is the type of a log entry.
type EntryKind int

// The types of log entry.
const (
	// EntryChange carries an encoded change of the replicated state.
	EntryChange EntryKind = iota
	// EntryNoOp is the empty entry that a new leader appends at the start of its
	// term.
	EntryNoOp
	// EntryMembers carries the member list that takes effect with this entry.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	// Index starts at 1 and increases by exactly 1 from entry to entry.
	Index uint64
	// Term never decreases from entry to entry.
	Term uint64
	Kind EntryKind
	Data []byte
	// Members is set for EntryMembers in place of Data.
	Members []Member
}

// HardState is the state of a member that must be durable before any message of
// the same Output is sent.
type HardState struct {
	// Term never decreases.
	Term uint64
	// Vote is the candidate voted for in Term; 0 means none.
	Vote MemberID
	// Commit is an index up to which all entries are known to be committed; later
	// ones may be committed too. It never decreases and need not be made durable with
	// each change.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the replicated state.
type SnapshotMeta struct {
	// Index and Term identify the last entry that the snapshot contains.
	Index   uint64
	Term    uint64
	Members []Member
}

// MessageKind is the type of a message.
type MessageKind int

// The types of message.
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
	// MsgLeave tells the leader that its sender is about to stop; see
	// Node.RequestLeave.
	MsgLeave
)

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	// Term is the current term of the sender. In MsgPreVote and in the reply that
	// grants it, Term is the next term, in which the candidate would be elected.
	Term uint64
	// Index and LogTerm identify the entry before the entries of an append, or
	// the last log entry of a candidate. In a reply to an append, Index is the last
	// acknowledged entry or, in a rejection, the Index of the append. In a reply to
	// a snapshot chunk, Index is that of the snapshot.
	Index   uint64
	LogTerm uint64
	// Commit is the commit index of the leader. In a heartbeat it is at most the
	// index of the last entry that the receiver is known to hold.
	Commit  uint64
	Entries []Entry
	// Reject is set in a reply that refuses a vote, a pre-vote, the entries of an
	// append or a message of an earlier term.
	Reject bool
	// Hint is, in the rejection of an append, the largest index at which the
	// follower's log may agree with the leader's, and LogTerm is the term of
	// that entry. In a reply to a snapshot chunk, Hint is the offset of the
	// chunk.
	Hint uint64
	// HeartbeatRound is the number of the round to which a heartbeat belongs. The
	// reply repeats it, which confirms the reads of that round.
	HeartbeatRound uint64
	Snapshot       SnapshotMeta
	// Offset, Chunk and Last are the offset in bytes and the data of a snapshot
	// chunk, and whether it is the last one. In a reply, Offset is the number
	// of bytes received.
	Offset uint64
	Chunk  []byte
	Last   bool
}

// Role is the role of a member in its current term.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

var roleNames = [...]string{"follower", "candidate", "leader"}

// String returns the name of the role as used in reports.
func (r Role) String() string {
	if r < 0 || int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}

// StoredState is the state that a member loads from its data folder at startup.
type StoredState struct {
	Self     Member
	Hard     HardState
	Snapshot SnapshotMeta
	// Entries start at Snapshot.Index+1 and have no gap.
	Entries []Entry
}

// Config holds the timing and size limits of a member.
type Config struct {
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a member starts a pre-vote. The maximum is twice that; the timeout
	// is drawn at random in between.
	ElectionTimeout clock.Millis
	// HeartbeatInterval is the time between heartbeats of the leader. New caps
	// it at a third of ElectionTimeout.
	HeartbeatInterval clock.Millis
	// MaxAppendBytes limits the size of the entries in one message. A single
	// larger entry is still sent.
	MaxAppendBytes int
	// ChunkBytes limits the data in one snapshot message.
	ChunkBytes int
	// MaxInflightBytes limits the entries, or the part of a snapshot, that are sent to a
	// member before it acknowledges them. One message that exceeds it is still sent.
	MaxInflightBytes int
	// KeepEntries and KeepBytes limit the entries covered by a snapshot that stay in
	// memory, so that a follower that lags slightly needs no snapshot.
	KeepEntries uint64
	KeepBytes   int
	// HoldEntries and HoldBytes limit the entries before these that stay while a member
	// needs them, so that a member that catches up slowly needs no second snapshot.
	HoldEntries uint64
	HoldBytes   int
	// Seed seeds the random election timeouts.
	Seed uint64
}

// Output is the work that the caller must perform, in this order: make
// Hard and Append durable, install the snapshot, call ConfirmDurable, send
// Messages, apply Committed, answer Reads. If a write fails, the caller retries
// the same output; the node returns no other output until ConfirmDurable is
// called.
type Output struct {
	// Hard is nil when the hard state need not be written.
	Hard *HardState
	// Append replaces all stored entries with an index of Append[0].Index or
	// higher.
	Append []Entry
	// Install is set when a complete snapshot was received, and InstallData is
	// its content. The snapshot replaces the state and the log.
	Install     *SnapshotMeta
	InstallData []byte
	Messages    []Message
	// Committed lists the newly committed entries. They continue, without a gap, those
	// of the previous output or the last installed snapshot.
	Committed []Entry
	// Reads lists the reads that may be answered once the entries up to their
	// Index have been applied.
	Reads []ReadReady
	// NeedSnapshot lists the members that need a snapshot; the caller passes
	// its data to ProvideSnapshot.
	NeedSnapshot []MemberID
}

// ReadReady reports that the read with the given Context may be answered once
// the entries up to Index have been applied.
type ReadReady struct {
	Context uint64
	Index   uint64
}
