package raft

import (
	"slices"

	"camphorridge/core/state/clock"
)

// promoteLag is the number of committed entries that a member may lack and
// still count as caught up: about what one round trip adds under load.
const promoteLag = 64

// memberList is a member list and the index of the entry that set it.
type memberList struct {
	index   uint64
	members []Member
}

// ChangeKind tells changes of the member list apart.
type ChangeKind int

// The kinds of membership change.
const (
	// AddMember adds a member that does not vote.
	AddMember ChangeKind = iota
	// PromoteMember makes a member that has caught up a voter.
	PromoteMember
	// RemoveMember removes a member.
	RemoveMember
)

// MemberChange is one change of the member list. Promotion and removal use
// only the member's ID.
type MemberChange struct {
	Kind   ChangeKind
	Member Member
}

// PeerStatus is what the leader knows of another member.
type PeerStatus struct {
	Member Member
	// Match is the last index known to be on the member's disk.
	Match uint64
	// RecentlyActive is true when the member was heard within an election timeout.
	RecentlyActive bool
	// CaughtUp is true when the member may be promoted.
	CaughtUp bool
}

// Members returns the member list in force. The caller must not change it.
func (n *Node) Members() []Member { return n.lists[len(n.lists)-1].members }

// MembersIndex returns the index of the entry that set the list in force; 0
// for the first list of a group.
func (n *Node) MembersIndex() uint64 { return n.lists[len(n.lists)-1].index }

// MembersPending reports whether the list in force is not committed yet.
func (n *Node) MembersPending() bool { return n.MembersIndex() > n.commit }

// Peers returns what the leader knows of the other members; nil elsewhere.
func (n *Node) Peers() []PeerStatus {
	if n.role != RoleLeader {
		return nil
	}
	var list []PeerStatus
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; p != nil {
			list = append(list, PeerStatus{Member: m, Match: p.match, RecentlyActive: n.recent(m.ID), CaughtUp: n.caughtUp(m.ID)})
		}
	}
	return list
}

// SnapshotMetaAt describes a snapshot of the state at an applied index; ok is false when
// the log no longer reaches back to it.
func (n *Node) SnapshotMetaAt(index uint64) (meta SnapshotMeta, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index < n.lists[0].index {
		return SnapshotMeta{}, false
	}
	meta = SnapshotMeta{Index: index, Term: term}
	for _, l := range n.lists {
		if l.index <= index {
			meta.Members = l.members
		}
	}
	return meta, true
}

// ChangeMembers appends one membership change on the leader; it is in force at
// once and done when committed. The error is of kind not-leader, pending
// (retry later) or invalid.
func (n *Node) ChangeMembers(c MemberChange, now clock.Millis) (index, term uint64, err error) {
	n.advance(now)
	if n.role != RoleLeader {
		return 0, 0, failf("change members", KindNotLeader, "member %x is a %s", n.self, n.role)
	}
	// Two lists that differ in more than one voter may have disjoint quorums,
	// and so may lists that two leaders started from the same one. Hence one
	// change at a time, and none before an entry of the own term.
	if n.MembersPending() || !n.ownCommitted() {
		return 0, 0, failf("change members", KindPending, "the change at index %d is not committed", n.MembersIndex())
	}
	list, err := n.changed(c)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendOwn(Entry{Kind: EntryMembers, Members: list})
	n.syncPeers()
	return index, n.term, nil
}

// changed returns the member list after a change.
func (n *Node) changed(c MemberChange) ([]Member, error) {
	const op = "change members"
	list := slices.Clone(n.Members())
	at := slices.IndexFunc(list, func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case c.Member.ID == 0:
		return nil, failf(op, KindInvalid, "the change names no member")
	case c.Kind == AddMember && at >= 0:
		return nil, failf(op, KindInvalid, "member %x is in the group", c.Member.ID)
	case c.Kind == AddMember:
		c.Member.Voter = false
		return append(list, c.Member), nil
	case at < 0:
		return nil, failf(op, KindInvalid, "member %x is not in the group", c.Member.ID)
	case c.Kind == PromoteMember && list[at].Voter:
		return nil, failf(op, KindInvalid, "member %x votes already", c.Member.ID)
	case c.Kind == PromoteMember && !n.caughtUp(c.Member.ID):
		return nil, failf(op, KindPending, "member %x has not caught up", c.Member.ID)
	case c.Kind == PromoteMember:
		list[at].Voter = true
		return list, nil
	}
	list = slices.Delete(list, at, at+1)
	if !slices.ContainsFunc(list, func(m Member) bool { return m.Voter }) {
		return nil, failf(op, KindInvalid, "member %x is the last voter", c.Member.ID)
	}
	return list, nil
}

// caughtUp reports whether a member may be promoted. It must hold the list
// that it is in: without it the member refuses its vote, and the loss of one
// other voter could leave the group without a quorum.
func (n *Node) caughtUp(id MemberID) bool {
	p := n.peers[id]
	if p == nil || !n.recent(id) || p.state == stateSnapshot {
		return false
	}
	return p.match >= n.MembersIndex() && p.match+promoteLag >= n.commit
}

func (n *Node) member(id MemberID) (Member, bool) {
	for _, m := range n.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// belongs reports whether this member is in the list in force or in the last
// committed one, and voter whether it votes in one of them. A leader that
// appended its own removal may hold the longest log: until the removal is
// committed the group may need its candidacy and its vote.
func (n *Node) belongs() (listed, voter bool) {
	for i := len(n.lists) - 1; i >= 0; i-- {
		for _, m := range n.lists[i].members {
			if m.ID == n.self {
				listed, voter = true, voter || m.Voter
			}
		}
		if n.lists[i].index <= n.commit {
			break
		}
	}
	return listed, voter
}

// syncPeers gives every other member in force a progress and drops the rest.
func (n *Node) syncPeers() {
	for _, m := range n.Members() {
		if m.ID != n.self && n.peers[m.ID] == nil {
			n.peers[m.ID] = &progress{next: n.log.last(), heard: n.now}
		}
	}
	for id := range n.peers {
		if _, ok := n.member(id); !ok {
			delete(n.peers, id)
		}
	}
}

// truncateLog drops conflicting entries and the member lists that they set.
func (n *Node) truncateLog(from uint64) {
	n.log.truncate(from)
	for len(n.lists) > 1 && n.lists[len(n.lists)-1].index >= from {
		n.lists = n.lists[:len(n.lists)-1]
	}
}

// trimLists drops the member lists that were replaced at or before an index.
func (n *Node) trimLists(index uint64) {
	for len(n.lists) > 1 && n.lists[1].index <= index {
		n.lists = n.lists[1:]
	}
}
