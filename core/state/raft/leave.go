package raft

import (
	"slices"

	"camphorridge/core/state/clock"
)

// RequestLeave asks the leader to make a standby a voter in place of this member, which
// is about to stop, unless this member knows no leader or leads itself. The request may be
// lost and must be repeated until Votes returns false. From the first call on, this member
// lets others be elected first.
func (n *Node) RequestLeave(now clock.Millis) {
	n.advanceClock(now)
	n.leaving = true
	if n.role == RoleFollower && n.leader != 0 {
		n.send(Message{Kind: MsgLeave, To: n.leader, Term: n.term})
	}
}

// Votes reports whether this member is a voter in the current member list, the last
// committed one or one in between.
func (n *Node) Votes() bool {
	_, voter := n.membership()
	return voter
}

// HasStandby reports whether the current member list contains a standby.
func (n *Node) HasStandby() bool {
	return slices.ContainsFunc(n.Members(), func(m Member) bool { return !m.Voter })
}

// LeaveChange returns the change that makes a standby a voter in place of this member.
// ok is false if this member does not lead, another change is in progress, or there are
// fewer than size other members that respond and have caught up. This member leads until
// the change is committed.
func (n *Node) LeaveChange(size int) (c MemberChange, ok bool) {
	if n.role != RoleLeader || !n.mayChangeMembers() {
		return MemberChange{}, false
	}
	others := slices.DeleteFunc(n.candidates(), func(c candidate) bool { return c.ID == n.self || !c.responsive })
	voters := chooseVoters(others, 0, size)
	return MemberChange{Kind: SetVoters, Voters: voters}, len(voters) == size
}

// onLeave notes that a member is about to stop. The note lapses after the election
// timeout: by then a member that has stopped is silent, and one that could not be replaced
// may have started again.
func (n *Node) onLeave(p *progress) {
	p.leavesUntil = n.now + n.cfg.ElectionTimeout
}

// leaves reports whether a member is about to stop.
func (n *Node) leaves(id MemberID) bool {
	p := n.peers[id]
	return p != nil && n.now < p.leavesUntil
}
