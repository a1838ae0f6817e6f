package raft

import (
	"math/rand/v2"

	"camphorridge/core/state/clock"
)

// Node is the Raft state machine of one member. It is not safe for concurrent
// use.
type Node struct {
	cfg    Config
	self   MemberID
	random *rand.Rand
	// now is the latest time passed to any call; it never decreases.
	now clock.Millis

	term uint64
	vote MemberID
	role Role
	// preVote is set while a candidate requests pre-votes and has not yet
	// incremented its term.
	preVote bool
	leader  MemberID
	votes   map[MemberID]bool
	// lastLeaderContact is the time of the last message from a leader. While this
	// member follows a leader, it refers to the leader of the current term.
	lastLeaderContact clock.Millis
	// startedAt is when a member that has been in a group started; 0 for a new one.
	startedAt        clock.Millis
	electionDeadline clock.Millis
	// leaving is set once this member is about to stop; see RequestLeave.
	leaving       bool
	nextHeartbeat clock.Millis

	log entryLog
	// commit never decreases. applied is the index of the last committed entry
	// that an Output has contained, or of a later snapshot that was loaded or received.
	commit  uint64
	applied uint64
	// snapshotIndex is the index of the latest snapshot; at most applied.
	snapshotIndex uint64
	// memberLists holds the member lists in ascending order of index. The last
	// one is in effect, whether committed or not.
	memberLists []memberList

	// peers is set on the leader and has an item for every other current member.
	peers map[MemberID]*progress
	// peersAtResignation is the status of the other members when this member last
	// resigned for want of a quorum; nil while it leads.
	peersAtResignation []PeerStatus
	// heartbeatRound is the number of the current heartbeat round, whose
	// acknowledgement by a quorum confirms reads. It never decreases while the
	// member leads.
	heartbeatRound uint64
	// roundRequested is set when pending reads need another heartbeat round.
	roundRequested bool
	pendingReads   []pendingRead
	incoming       incomingSnapshot

	// The fields from incomingTransfers to failedElection are only reported. refusals
	// holds the voters that refused the current vote or pre-vote.
	incomingTransfers Transfers
	transferChanges   uint64
	refusals          map[MemberID]bool
	failedElection    ElectionStatus

	// The fields from messages to installData hold the content of the next
	// Output.
	messages     []Message
	readyReads   []ReadReady
	needSnapshot []MemberID
	install      *SnapshotMeta
	installData  []byte
	// lastOutputHard is the hard state of the last Output that contained one;
	// initially the stored one.
	lastOutputHard HardState
	// awaitingDurable is true from a non-empty Output until ConfirmDurable is
	// called.
	awaitingDurable bool
}

// New returns a Node with the state loaded from the member's disk. For a member
// of a new group, stored.Snapshot holds the initial member list at index 0; for a
// member that has yet to be added to a group, the list is empty. Config values
// that are too small are raised, and HeartbeatInterval is capped.
func New(cfg Config, stored StoredState, now clock.Millis) *Node {
	cfg.ElectionTimeout = max(cfg.ElectionTimeout, 3)
	cfg.HeartbeatInterval = min(max(cfg.HeartbeatInterval, 1), cfg.ElectionTimeout/3)
	cfg.MaxAppendBytes = max(cfg.MaxAppendBytes, 1)
	cfg.ChunkBytes = max(cfg.ChunkBytes, 1)
	cfg.MaxInflightBytes = max(cfg.MaxInflightBytes, 1)
	n := &Node{
		cfg:            cfg,
		self:           stored.Self.ID,
		random:         rand.New(rand.NewPCG(cfg.Seed, uint64(stored.Self.ID))),
		now:            now,
		term:           stored.Hard.Term,
		vote:           stored.Hard.Vote,
		lastOutputHard: stored.Hard,
		applied:        stored.Snapshot.Index,
		snapshotIndex:  stored.Snapshot.Index,
		memberLists:    []memberList{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}},
	}
	n.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	n.appendEntries(stored.Entries)
	n.log.nextOutput = n.log.last() + 1
	n.log.lastDurable = n.log.last()
	n.commit = min(max(stored.Hard.Commit, stored.Snapshot.Index), n.log.last())
	// A crash may have preserved entries of a term but not the hard state that
	// was written with them. This member has then sent no vote in that term.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	if n.term > 0 {
		n.startedAt = now
	}
	n.resetElectionTimer()
	return n
}

// Leader returns the leader of the current term, or 0 if it is not known.
func (n *Node) Leader() MemberID { return n.leader }

// Role returns the role of this member in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Self returns the ID of this member.
func (n *Node) Self() MemberID { return n.self }

// Tick advances the time and handles election and heartbeat timeouts. It must be
// called at least once per heartbeat interval.
func (n *Node) Tick(now clock.Millis) {
	n.advanceClock(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.recordFailedElection()
		n.resetElectionTimer()
		n.leader = 0
		if _, voter := n.membership(); voter {
			n.campaign(true)
		}
	}
}

// tickLeader steps down if no quorum has been active within the election
// timeout, and otherwise sends heartbeats when they are due.
func (n *Node) tickLeader() {
	if !n.hasQuorum(n.recentlyActive) {
		n.peersAtResignation = n.Peers()
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.nextHeartbeat {
		n.broadcastHeartbeat()
	}
}

// StepDown makes a leader or candidate a follower without changing the term. It
// is for a member whose disk fails.
func (n *Node) StepDown() {
	if n.role != RoleFollower {
		n.becomeFollower(n.term, 0)
	}
}

// Propose appends an entry on the leader and returns its index and term. The
// entry is committed only when an Output lists it in Committed. The error has
// KindNotLeader, or KindPending if the leader is about to resign because it has no vote
// in the current member list: the entry would come after that list, with whose commit the
// leader resigns.
func (n *Node) Propose(data []byte, now clock.Millis) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return 0, 0, failf("propose", KindNotLeader, "member %x is a %s, not the leader", n.self, n.role)
	}
	if m, _ := n.member(n.self); !m.Voter && !m.OldVoter {
		return 0, 0, failf("propose", KindPending, "member %x is replaced as the leader", n.self)
	}
	return n.appendAsLeader(Entry{Kind: EntryChange, Data: data}), n.term, nil
}

// appendAsLeader assigns the next index and the current term to an entry, appends
// it to the log and returns its index.
func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.appendEntries([]Entry{e})
	return e.Index
}

// appendEntries appends entries to the log and records the member lists that
// they contain.
func (n *Node) appendEntries(es []Entry) {
	n.log.add(es...)
	for _, e := range es {
		if e.Kind == EntryMembers {
			n.memberLists = append(n.memberLists, memberList{index: e.Index, members: e.Members})
		}
	}
}

// Step handles a message from another member. The error has KindInvalid when the
// message contradicts committed entries, would leave a gap in the log or names a
// second leader of the term; its entries are then not appended.
func (n *Node) Step(m Message, now clock.Millis) error {
	n.advanceClock(now)
	if m.To != n.self || m.From == n.self || m.From == 0 {
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return nil
	}
	return n.dispatch(m)
}

// adoptTerm adopts the higher term of a message. It does not adopt the term of a
// pre-vote request or a granted pre-vote, because that term has not started. It
// returns false if the message must be dropped, as a vote request is while the
// leader is active.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if n.inLeaderLease() {
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// rejectStale replies to a message of an earlier term, so that its sender adopts
// the current term. Without a reply to the leader, a member whose term is ahead of
// the leader's would ignore the leader forever.
func (n *Node) rejectStale(m Message) {
	switch m.Kind {
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: n.term, Reject: true})
	case MsgVote:
		n.send(Message{Kind: MsgVoteReply, To: m.From, Term: n.term, Reject: true})
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.term, Reject: true})
	}
}

func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgVote:
		n.onVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.onVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		if n.role == RoleLeader {
			return failf("step", KindInvalid, "member %x also claims to be the leader of term %d", m.From, m.Term)
		}
		n.recordLeaderContact(m.From)
		return n.onLeaderMessage(m)
	default:
		if p := n.peers[m.From]; n.role == RoleLeader && p != nil {
			p.lastContact = n.now
			n.onReply(m, p)
		}
	}
	return nil
}

// onLeaderMessage handles a message from the leader of the current term.
func (n *Node) onLeaderMessage(m Message) error {
	switch {
	case m.Kind == MsgHeartbeat:
		n.commitTo(min(m.Commit, n.log.last()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Term: n.term, HeartbeatRound: m.HeartbeatRound})
	case n.install != nil:
		// Entries after a received snapshot must not be accepted until an
		// Output has contained the snapshot: they would be written before it
		// and lost. The leader sends them again.
	case m.Kind == MsgAppend:
		return n.onAppend(m)
	default:
		n.onSnapshot(m)
	}
	return nil
}

func (n *Node) onReply(m Message, p *progress) {
	switch m.Kind {
	case MsgAppendReply:
		n.onAppendReply(m, p)
	case MsgHeartbeatReply:
		n.onHeartbeatReply(m, p)
	case MsgSnapshotReply:
		n.onSnapshotReply(m, p)
	case MsgLeave:
		n.onLeave(p)
	}
}

func (n *Node) send(m Message) {
	m.From = n.self
	n.messages = append(n.messages, m)
}

func (n *Node) advanceClock(now clock.Millis) { n.now = max(n.now, now) }

func (n *Node) commitTo(index uint64) { n.commit = max(n.commit, index) }
