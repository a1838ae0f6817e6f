package raft

import (
	"math/rand/v2"

	"camphorridge/core/state/clock"
)

// Node is one member's part in the consensus. It is not safe for concurrent
// use: one duty owns it.
type Node struct {
	cfg    Config
	self   MemberID
	random *rand.Rand
	// now is the largest time that a call has passed; it never goes back.
	now clock.Millis

	term uint64
	vote MemberID
	role Role
	// pre is set while a candidate asks for pre-votes and has not raised its
	// term.
	pre    bool
	leader MemberID
	votes  map[MemberID]bool
	// heard is the time of the last message from the leader of the term.
	heard        clock.Millis
	electionDue  clock.Millis
	heartbeatDue clock.Millis

	log entryLog
	// commit only grows; applied follows it and counts what outputs carried.
	commit  uint64
	applied uint64
	// snapIndex is the index of the latest snapshot; at most applied.
	snapIndex uint64
	// lists holds the member lists in ascending order of index; the last is in
	// force, whether committed or not.
	lists []memberList

	// peers is set on the leader, for every other member in force.
	peers map[MemberID]*progress
	// round numbers the heartbeats that confirm reads; it only grows within a
	// term of leadership.
	round       uint64
	roundWanted bool
	reads       []waitingRead
	incoming    incoming

	messages    []Message
	ready       []ReadReady
	want        []MemberID
	install     *SnapshotMeta
	installData []byte
	// handed is the hard state that the last output carried.
	handed HardState
	// writing is true from an output until Persisted.
	writing bool
}

// New returns a member with the state found on its disk. Stored.Snapshot holds
// the first member list of a new group at index 0; it is empty for a member
// that waits to be added.
func New(cfg Config, stored StoredState, now clock.Millis) *Node {
	cfg.ElectionTimeout = max(cfg.ElectionTimeout, 3)
	cfg.HeartbeatInterval = min(max(cfg.HeartbeatInterval, 1), cfg.ElectionTimeout/3)
	cfg.MaxAppendBytes = max(cfg.MaxAppendBytes, 1)
	cfg.ChunkBytes = max(cfg.ChunkBytes, 1)
	n := &Node{
		cfg:       cfg,
		self:      stored.Self.ID,
		random:    rand.New(rand.NewPCG(cfg.Seed, uint64(stored.Self.ID))),
		now:       now,
		term:      stored.Hard.Term,
		vote:      stored.Hard.Vote,
		handed:    stored.Hard,
		applied:   stored.Snapshot.Index,
		snapIndex: stored.Snapshot.Index,
		lists:     []memberList{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}},
	}
	n.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	n.addEntries(stored.Entries)
	n.log.unsaved = n.log.last() + 1
	n.log.stable = n.log.last()
	n.commit = min(max(stored.Hard.Commit, stored.Snapshot.Index), n.log.last())
	// A crash may have kept entries of a term and lost the hard state that was
	// written with them; no vote of that term has left this member.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	n.resetElection()
	return n
}

// Leader returns the leader of the term, or 0 when it is not known.
func (n *Node) Leader() MemberID { return n.leader }

// Role returns what this member does in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Self returns this member's identity.
func (n *Node) Self() MemberID { return n.self }

// Tick tells the time. The caller calls it at least once in each heartbeat
// interval.
func (n *Node) Tick(now clock.Millis) {
	n.advance(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDue {
		n.resetElection()
		n.leader = 0
		if _, voter := n.belongs(); voter {
			n.campaign(true)
		}
	}
}

// tickLeader steps down when no quorum was heard within an election timeout,
// and sends heartbeats.
func (n *Node) tickLeader() {
	if !n.quorum(n.recent) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.heartbeatDue {
		n.broadcastHeartbeat()
	}
}

// StepDown gives up leadership or a candidacy without a change of term, for a
// member whose disk fails.
func (n *Node) StepDown() {
	if n.role != RoleFollower {
		n.becomeFollower(n.term, 0)
	}
}

// Propose appends an entry on the leader and returns its place in the log. It
// is committed only when an output says so. The error is of kind not-leader.
func (n *Node) Propose(data []byte, now clock.Millis) (index, term uint64, err error) {
	n.advance(now)
	if n.role != RoleLeader {
		return 0, 0, failf("propose", KindNotLeader, "member %x is a %s", n.self, n.role)
	}
	return n.appendOwn(Entry{Kind: EntryChange, Data: data}), n.term, nil
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.addEntries([]Entry{e})
	return e.Index
}

// addEntries appends to the log and keeps the member lists in step.
func (n *Node) addEntries(es []Entry) {
	n.log.add(es...)
	for _, e := range es {
		if e.Kind == EntryMembers {
			n.lists = append(n.lists, memberList{index: e.Index, members: e.Members})
		}
	}
}

// Step takes a message from another member. The error is of kind invalid when
// the message contradicts committed entries; the message is then dropped.
func (n *Node) Step(m Message, now clock.Millis) error {
	n.advance(now)
	if m.To != n.self || m.From == n.self || m.From == 0 {
		return nil
	}
	if m.Term > n.term && !n.takeTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.answerStale(m)
		return nil
	}
	return n.dispatch(m)
}

// takeTerm adopts the higher term of a message where the message proves that
// the term began. It reports false for a message to be dropped.
func (n *Node) takeTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if n.inLease() {
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// answerStale answers a message of an earlier term, so that its sender learns
// of the current one. Without the answer to a leader, a member that raised its
// term alone would ignore the leader forever.
func (n *Node) answerStale(m Message) {
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
			return failf("step", KindInvalid, "member %x claims to lead term %d as well", m.From, m.Term)
		}
		n.follow(m.From)
		return n.onLeader(m)
	default:
		if p := n.peers[m.From]; n.role == RoleLeader && p != nil {
			p.heard = n.now
			n.onReply(m, p)
		}
	}
	return nil
}

// onLeader handles the messages of the leader of the term.
func (n *Node) onLeader(m Message) error {
	switch {
	case m.Kind == MsgHeartbeat:
		n.commitTo(min(m.Commit, n.log.last()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Term: n.term, Context: m.Context})
	case n.install != nil:
		// Until the snapshot was handed out, entries that follow on it would
		// be written before it and lost; the leader sends them again.
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
	}
}

func (n *Node) send(m Message) {
	m.From = n.self
	n.messages = append(n.messages, m)
}

func (n *Node) advance(now clock.Millis) { n.now = max(n.now, now) }

func (n *Node) commitTo(index uint64) { n.commit = max(n.commit, index) }
