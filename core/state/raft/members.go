package raft

import (
	"slices"

	"camphorridge/core/state/clock"
)

// maxPromotionLag is the maximum number of committed entries that a member may
// lack and still count as caught up: about as many as are appended during one
// round trip under load.
const maxPromotionLag = 64

// memberList is a member list and the index of the log entry that set it.
type memberList struct {
	index   uint64
	members []Member
}

// ChangeKind is the type of a membership change.
type ChangeKind int

// The types of membership change.
const (
	// AddMember adds a member as a standby.
	AddMember ChangeKind = iota
	// RemoveMember removes a standby.
	RemoveMember
	// SetVoters replaces the whole set of voters. Each new voter must have caught up.
	// The list that it appends is joint; once that list is committed, the leader
	// appends the list with the new voters alone.
	SetVoters
)

var changeNames = [...]string{"add", "remove", "set-voters"}

// String returns the name of the change as used in reports.
func (k ChangeKind) String() string {
	if k < 0 || int(k) >= len(changeNames) {
		return "unknown"
	}
	return changeNames[k]
}

// MemberChange is one change of the member list.
type MemberChange struct {
	Kind ChangeKind
	// Member is the member to add or to remove, for which its ID is enough.
	Member Member
	// Voters holds the IDs of the new voters for SetVoters.
	Voters []MemberID
}

// PeerStatus is the replication state of another member as tracked by the
// leader.
type PeerStatus struct {
	Member Member
	// Match is the index of the last entry known to be durable on the member.
	Match uint64
	// RecentlyActive is true if the member has replied within the election
	// timeout, or if the leader began to track it within that time.
	RecentlyActive bool
	// SilentMillis is the time since the last reply of the member, or since the leader
	// began to track it.
	SilentMillis clock.Millis
	// CaughtUp is true when the member may be promoted.
	CaughtUp bool
	// State is the mode of replication: probe, replicate or snapshot.
	State string
	// Transfers describes the snapshots that were sent to the member.
	Transfers Transfers
}

// Members returns the current member list, which may be uncommitted. The caller
// must not change it.
func (n *Node) Members() []Member { return n.memberLists[len(n.memberLists)-1].members }

// MembersIndex returns the index of the entry that set the current member list;
// 0 for the initial list of a group.
func (n *Node) MembersIndex() uint64 { return n.memberLists[len(n.memberLists)-1].index }

// MembersPending reports whether the current member list is uncommitted.
func (n *Node) MembersPending() bool { return n.MembersIndex() > n.commit }

// Peers returns the status of all other members if this member is the leader, and
// nil otherwise.
func (n *Node) Peers() []PeerStatus {
	if n.role != RoleLeader {
		return nil
	}
	var list []PeerStatus
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			list = append(list, PeerStatus{
				Member: m, Match: p.match, RecentlyActive: n.recentlyActive(m.ID), SilentMillis: n.now - p.lastContact, CaughtUp: n.caughtUp(m.ID),
				State: p.state.String(), Transfers: p.transfers,
			})
		}
	}
	return list
}

// PeersAtResignation returns the status of the other members at the time when this
// member last resigned as the leader for want of a quorum. It returns nil if it never
// did, or has led again since.
func (n *Node) PeersAtResignation() []PeerStatus { return n.peersAtResignation }

// SnapshotMetaAt returns the description of a snapshot of the state at an
// applied index. ok is false when the index is not applied or the log no longer
// reaches back to it.
func (n *Node) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index < n.memberLists[0].index {
		return SnapshotMeta{}, false
	}
	meta = SnapshotMeta{Index: index, Term: term}
	for _, l := range n.memberLists {
		if l.index <= index {
			meta.Members = l.members
		}
	}
	return meta, true
}

// ChangeMembers appends one membership change on the leader and returns the
// index and the term of its entry. The change takes effect at once and is
// complete when the entry is committed. The error has KindNotLeader, KindPending
// (retry later) or KindInvalid.
func (n *Node) ChangeMembers(c MemberChange, now clock.Millis) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return 0, 0, failf("change members", KindNotLeader, "member %x is a %s, not the leader", n.self, n.role)
	}
	// Two lists that different leaders derived from the same list may have disjoint
	// quorums. Hence only one change is allowed at a time, and none before the leader
	// has committed an entry of its own term.
	if !n.mayChangeMembers() {
		return 0, 0, failf("change members", KindPending, "the membership change at index %d, or the leader's first entry of its term, is not committed", n.MembersIndex())
	}
	list, err := n.membersAfter(c)
	if err != nil {
		return 0, 0, err
	}
	return n.appendMembers(list), n.term, nil
}

// mayChangeMembers reports whether a new leader's first entry and all membership changes
// before are complete.
func (n *Node) mayChangeMembers() bool {
	return !n.MembersPending() && !n.joint() && n.committedInTerm()
}

// ChangesWait reports whether this member leads and no membership change may be
// proposed yet.
func (n *Node) ChangesWait() bool { return n.role == RoleLeader && !n.mayChangeMembers() }

// appendMembers appends an entry with a new member list and returns its index.
func (n *Node) appendMembers(list []Member) uint64 {
	index := n.appendAsLeader(Entry{Kind: EntryMembers, Members: list})
	n.syncPeers()
	return index
}

// joint reports whether the current member list is joint.
func (n *Node) joint() bool { return slices.ContainsFunc(n.Members(), isOldVoter) }

func isVoter(m Member) bool { return m.Voter }

func isOldVoter(m Member) bool { return m.OldVoter }

// completeVoters appends the list without the old voters once the joint list is
// committed. A new leader completes the change of the one before it.
func (n *Node) completeVoters() {
	if n.role != RoleLeader || !n.joint() || n.MembersPending() || !n.committedInTerm() {
		return
	}
	list := slices.Clone(n.Members())
	for i := range list {
		list[i].OldVoter = false
	}
	n.appendMembers(list)
}

// membersAfter returns the member list after a change, without modifying the
// current one.
func (n *Node) membersAfter(c MemberChange) ([]Member, error) {
	if c.Kind == SetVoters {
		return n.membersWithVoters(c.Voters)
	}
	const op = "change members"
	list := slices.Clone(n.Members())
	at := slices.IndexFunc(list, func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case c.Member.ID == 0:
		return nil, failf(op, KindInvalid, "the member ID is 0")
	case c.Kind == AddMember && at >= 0:
		return nil, failf(op, KindInvalid, "member %x is already in the group", c.Member.ID)
	case c.Kind == AddMember:
		c.Member.Voter, c.Member.OldVoter = false, false
		return append(list, c.Member), nil
	case at < 0:
		return nil, failf(op, KindInvalid, "member %x is not in the group", c.Member.ID)
	case list[at].Voter:
		return nil, failf(op, KindInvalid, "member %x is a voter and cannot be removed", c.Member.ID)
	}
	return slices.Delete(list, at, at+1), nil
}

// membersWithVoters returns the joint list of a change to the given voters.
func (n *Node) membersWithVoters(voters []MemberID) ([]Member, error) {
	const op = "set voters"
	for _, id := range voters {
		m, ok := n.member(id)
		switch {
		case !ok:
			return nil, failf(op, KindInvalid, "member %x is not in the group", id)
		case !m.Voter && id != n.self && !n.caughtUp(id):
			return nil, failf(op, KindPending, "member %x has not caught up with the log", id)
		}
	}
	if len(voters) == 0 {
		return nil, failf(op, KindInvalid, "a group needs a voter")
	}
	list := slices.Clone(n.Members())
	for i, m := range list {
		list[i].OldVoter, list[i].Voter = m.Voter, slices.Contains(voters, m.ID)
	}
	return list, nil
}

// caughtUp reports whether a member may be promoted. The member must hold the
// entry of the current member list, which contains it: without that entry it
// refuses to vote, and the loss of one other voter could leave the group
// without a quorum.
func (n *Node) caughtUp(id MemberID) bool {
	p := n.peers[id]
	if p == nil || !n.recentlyActive(id) || p.state == stateSnapshot {
		return false
	}
	return p.match >= n.MembersIndex() && p.match+maxPromotionLag >= n.commit
}

func (n *Node) member(id MemberID) (Member, bool) {
	for _, m := range n.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// membership reports whether this member is listed in, and whether it is a voter
// in, the current member list, the last committed one or one in between. A
// leader that appended its own demotion may hold the longest log: until the
// change is committed, the group may need its candidacy and its vote.
func (n *Node) membership() (listed, voter bool) {
	for i := len(n.memberLists) - 1; i >= 0; i-- {
		for _, m := range n.memberLists[i].members {
			if m.ID == n.self {
				listed, voter = true, voter || m.Voter || m.OldVoter
			}
		}
		if n.memberLists[i].index <= n.commit {
			break
		}
	}
	return listed, voter
}

// syncPeers starts to track every other current member that is not yet in peers,
// and removes former members from peers.
func (n *Node) syncPeers() {
	for _, m := range n.Members() {
		if m.ID != n.self && n.peers[m.ID] == nil {
			n.peers[m.ID] = &progress{next: n.log.last(), lastContact: n.now}
		}
	}
	for id := range n.peers {
		if _, ok := n.member(id); !ok {
			delete(n.peers, id)
		}
	}
}

// truncateLog removes the entries with an index of from or higher and the
// member lists that they set.
func (n *Node) truncateLog(from uint64) {
	n.log.truncate(from)
	for len(n.memberLists) > 1 && n.memberLists[len(n.memberLists)-1].index >= from {
		n.memberLists = n.memberLists[:len(n.memberLists)-1]
	}
}

// trimMemberLists removes the member lists that were replaced at or before an
// index.
func (n *Node) trimMemberLists(index uint64) {
	for len(n.memberLists) > 1 && n.memberLists[1].index <= index {
		n.memberLists = n.memberLists[1:]
	}
}
