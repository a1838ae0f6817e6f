package group

import (
	"slices"

	"camphorridge/core/state/raft"
)

// reconcileMembers makes at most one membership change: one that a pending join
// needs, or the promotion of a member that has caught up. Raft allows one change at
// a time; the next ticks make the others.
func (g *Group[S, C]) reconcileMembers() {
	if g.node.Role() != raft.RoleLeader {
		g.refuseJoins()
		return
	}
	if g.node.MembersPending() {
		return
	}
	g.pendingJoins = slices.DeleteFunc(g.pendingJoins, g.advanceJoin)
	for _, p := range g.node.Peers() {
		if !p.Member.Voter && p.CaughtUp && g.tryChange(raft.PromoteMember, p.Member) == nil {
			return
		}
	}
}

// refuseJoins answers all pending joins with an error, because this member does
// not lead.
func (g *Group[S, C]) refuseJoins() {
	for _, in := range g.pendingJoins {
		in.answer(answer{err: g.notLeader(in.op)})
	}
	g.pendingJoins = nil
}

// advanceJoin performs the next step of a join and reports whether the join has
// been answered. The old ID of a member that lost its disk is removed, once it is
// no longer active, before the new one is added: in a group of three, the quorum
// then consists of the same two disks throughout.
func (g *Group[S, C]) advanceJoin(in input) bool {
	if g.node.MembersPending() {
		return false
	}
	for _, m := range g.node.Members() {
		if m.ID == in.member.ID {
			in.answer(answer{status: g.status()})
			return true
		}
	}
	if self := g.member(g.node.Self()); self.Name == in.member.Name {
		in.answer(answer{err: failf(in.op, KindInvalid, "the leader %x already has the name %q", self.ID, self.Name)})
		return true
	}
	change, member := raft.AddMember, in.member
	if old, ok := g.predecessor(in.member); ok {
		if old.RecentlyActive {
			return false
		}
		change, member = raft.RemoveMember, old.Member
	}
	err := g.joinError(g.tryChange(change, member))
	if err != nil {
		in.answer(answer{err: err})
	}
	return err != nil
}

// predecessor returns the status of the member in the list that has the same name
// as m and another ID.
func (g *Group[S, C]) predecessor(m raft.Member) (raft.PeerStatus, bool) {
	for _, p := range g.node.Peers() {
		if p.Member.Name == m.Name && p.Member.ID != m.ID {
			return p, true
		}
	}
	return raft.PeerStatus{}, false
}

// tryChange proposes one membership change and returns an error of the Raft node.
func (g *Group[S, C]) tryChange(kind raft.ChangeKind, m raft.Member) error {
	_, _, err := g.node.ChangeMembers(raft.MemberChange{Kind: kind, Member: m}, g.clock.Now())
	return err
}

// joinError translates an error of the Raft node and returns nil for one that
// allows a later retry.
func (g *Group[S, C]) joinError(err error) error {
	if err == nil {
		return nil
	}
	e := g.translate("join", err).(*Error)
	if e.Kind == KindPending {
		return nil
	}
	return e
}
